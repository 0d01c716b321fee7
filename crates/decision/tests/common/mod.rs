//! Shared test helpers: an observer that checks the four rules of a balancer, a test harness, and endpoint lists.
#![allow(dead_code, missing_docs, unused_imports)]

mod harness;
mod observer;

pub use harness::Harness;
pub use observer::Observer;

use heronhoist_decision::*;

/// Returns the server to which `actions` send a request.
pub fn target_in(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}

/// Returns `n` warm servers. Server `i` is in zone `i % zones` and cell `i % cells`.
pub fn fleet(n: u32, zones: u32, cells: u32) -> Vec<Endpoint> {
    (0..n)
        .map(|i| Endpoint {
            zone: ZoneId(i % zones),
            cell: CellId(i % cells),
            ..Endpoint::serving(ServerId(i))
        })
        .collect()
}

/// Returns `n` servers in zone 0 and cell 0 that started at `started_at`.
pub fn warming_fleet(n: u32, started_at: Time) -> Vec<Endpoint> {
    fleet(n, 1, 1).into_iter().map(|endpoint| Endpoint { started_at: Some(started_at), ..endpoint }).collect()
}

/// Returns default settings with one request class.
pub fn single_class(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        latency_objective: Span::from_ms(200.0),
        deadline: Span::from_ms(800.0),
        ..Class::default()
    }
}

/// Returns every effect, with each deduplication scope and this window.
pub fn every_effect(window_ms: f64) -> [Effect; 5] {
    [
        Effect::Idempotent,
        Effect::AtMostOnce,
        deduplicated(DeduplicationScope::All, window_ms),
        deduplicated(DeduplicationScope::Zone, window_ms),
        deduplicated(DeduplicationScope::Cell, window_ms),
    ]
}

pub fn deduplicated(scope: DeduplicationScope, window_ms: f64) -> Effect {
    Effect::Deduplicated { scope, window: Span::from_ms(window_ms) }
}
