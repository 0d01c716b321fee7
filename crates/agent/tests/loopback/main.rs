//! The agent's own program between scripted peers on loopback.

mod budgets;
mod bulk;
mod clients;
mod close_delimited;
mod common;
#[path = "../support/golden.rs"]
mod golden;
mod handover;
mod idle_connections;
mod invalid_responses;
mod legacy;
mod limits;
mod lists;
mod metrics_page;
mod mixed;
mod no_route;
mod ops;
mod outcomes;
mod pools;
mod reload;
mod shutdown;
mod shutdown_streaming;
mod silences;
mod start_times;
mod suspension;
mod suspension_timeouts;
mod upload_deadlines;
