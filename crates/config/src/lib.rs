//! Reads the TOML configuration files of the agent and of the coordinator processes, for installations other than the
//! platform. All faults of a file are reported together, each with its line, column and key, the value that was found and
//! the one that is wanted. A file with any fault is rejected as a whole.
//!
//! In addresses (`listen`, `discovery`, `address`), and nowhere else, `${NAME}` is replaced by an environment variable.
//!
//! ```
//! let text = r#"
//! [[class]]
//! name = "lookup"
//! effect = "idempotent"
//! aim_ms = 200
//! deadline_ms = 1000
//!
//! [[pool]]
//! name = "records"
//! membership = "static"
//! server = [{ name = "s1", address = "127.0.0.1:8081" }]
//!
//! [[front]]
//! name = "main"
//! listen = "127.0.0.1:8080"
//! "#;
//! let file = heronhoist_config::parse(text, &|_| None).expect("valid");
//! assert_eq!(file.pools[0].servers[0].name, "s1");
//! let faults = heronhoist_config::parse(&text.replace("200", "\"soon\""), &|_| None).unwrap_err();
//! assert_eq!(faults[0].to_string(), "5:10: class[0].aim_ms: found \"soon\"; wanted milliseconds above 0");
//! ```

mod coordinator;
mod file;
pub mod reader;

pub use coordinator::{is_coordinator_config, parse_coordinator_config, CoordinatorConfig, Fleet};
pub use file::{parse, AgentConfig, Front, LogFormat, Membership, Pool, Protocol, Server, ServerState};
pub use reader::{EffectiveValue, Environment, Fault, Source};
