//! The agent's own program between scripted peers on loopback.

mod budgets;
mod bulk;
mod clients;
mod close_delimited;
mod common;
mod floods;
#[path = "../support/golden.rs"]
mod golden;
mod handover;
mod idle_connections;
mod invalid_responses;
mod legacy;
mod limits;
mod lists;
mod memory;
mod metrics_page;
mod mixed;
mod no_route;
mod ops;
mod outcomes;
mod pools;
mod reload;
mod repeated_ids;
mod reused_addresses;
mod shutdown;
mod shutdown_streaming;
mod silences;
mod slow_responses;
mod start_times;
mod suspension;
mod suspension_timeouts;
mod upload_deadlines;
