//! The agent's own configuration file, for installations other than the platform: TOML, read by what is wanted of it.
//! Every fault is found at once, with its line, column and key, what stands there and what is wanted. A file with a
//! fault is no configuration at all.
//!
//! `${NAME}` stands for a variable of the environment in addresses (`listen`, `discovery`, `address`) and nowhere else.
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
//! name = "desk"
//! listen = "127.0.0.1:8080"
//! "#;
//! let file = heronhoist_config::parse(text, &|_| None).expect("sound");
//! assert_eq!(file.pools[0].servers[0].name, "s1");
//! let faults = heronhoist_config::parse(&text.replace("200", "\"soon\""), &|_| None).unwrap_err();
//! assert_eq!(faults[0].to_string(), "5:10: class[0].aim_ms: found \"soon\"; wanted milliseconds above 0");
//! ```

mod council;
mod file;
pub mod reader;

pub use council::{is_coordinator_config, parse_coordinator_config, CoordinatorConfig, Fleet};
pub use file::{parse, AgentConfig, Front, LogFormat, Membership, Pool, Protocol, Server, ServerState};
pub use reader::{EffectiveValue, Environment, Fault, Source};
