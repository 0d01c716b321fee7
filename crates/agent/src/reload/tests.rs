//! The numbers of request classes across reloads.

use super::*;
use std::net::SocketAddr;

/// A plan with these classes, each given by its name and its deadline in milliseconds.
fn plan_with_classes(classes: &[(&str, u32)]) -> ServingPlan {
    let class = |(name, deadline_ms): &(&str, u32)| {
        format!(
            r#"{{"name":"{name}","effect":"idempotent","aimMs":10,"deadlineMs":{deadline_ms},"points":1}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let file = serde_json::from_str(&format!(r#"{{"classes":[{}]}}"#, classes.join(","))).unwrap();
    let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
    crate::config::platform_plan(&file, discovery)
}

/// A number must never be reused for another class: a request in flight would be treated by the settings of that class.
#[test]
fn a_number_is_used_for_one_class_only() {
    let metrics = Rc::new(Metrics::default());
    let mut registry = ClassRegistry::new(Rc::clone(&metrics));
    let mut numbers_after = |classes: &[(&str, u32)]| {
        let classes = registry.update(&plan_with_classes(classes));
        classes.iter().map(|class| class.id.0).collect::<Vec<_>>()
    };
    assert_eq!(numbers_after(&[("a", 100), ("b", 100)]), [0, 1]);
    assert_eq!(numbers_after(&[("b", 100), ("a", 200)]), [1, 2], "b is unchanged, a has new settings");
    assert_eq!(numbers_after(&[("b", 100)]), [1]);
    assert_eq!(
        numbers_after(&[("a", 100), ("b", 100)]),
        [3, 1],
        "a is configured again and gets a new number"
    );
    let counters = &registry.current[0].counters;
    assert!(
        Rc::ptr_eq(&metrics.class_counters("a"), counters),
        "a class of the same name keeps its counters"
    );
}
