//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. The caller passes it events ([`Event`]) with their time
//! ([`Time`]), and the balancer returns actions to carry out ([`Action`]). It never reads a clock, opens a
//! socket or starts a thread. For each request it compares the server that it chose last with a few servers
//! drawn uniformly at random, by the number of its own requests in flight to each.
//!
//! ```
//! use heronhoist_decision::*;
//!
//! let class = Class {
//!     latency_objective: Span::from_ms(100.0),
//!     deadline: Span::from_ms(400.0),
//!     ..Class::default()
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The endpoint list arrives ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::EndpointList(EndpointUpdate::Complete(servers)), &mut actions);
//!
//! // ... and then a request: the balancer chooses a server for it.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod api;
mod policy;

pub use api::*;
pub use policy::Balancer;

/// Includes the README, so that its example is compiled and run as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
