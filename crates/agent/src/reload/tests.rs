use super::*;

fn plan(classes: &[(&str, u32)]) -> Plan {
    let class = |(name, ms): &(&str, u32)| {
        format!(r#"{{"name":"{name}","effect":"idempotent","aimMs":10,"deadlineMs":{ms},"points":1}}"#)
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let file = serde_json::from_str(&format!(r#"{{"classes":[{}]}}"#, classes.join(","))).unwrap();
    crate::config::plan(&file, ([127, 0, 0, 1], 1).into())
}

/// A number must never come to mean another class: a request under way would be given its terms.
#[test]
fn a_number_is_given_to_one_class_only() {
    let metrics = Rc::new(Metrics::default());
    let mut classes = Classes::new(Rc::clone(&metrics));
    let mut numbers = |list: &[(&str, u32)]| {
        let classes = classes.revise(&plan(list));
        classes.iter().map(|c| c.id.0).collect::<Vec<_>>()
    };
    assert_eq!(numbers(&[("a", 100), ("b", 100)]), [0, 1]);
    assert_eq!(numbers(&[("b", 100), ("a", 200)]), [1, 2], "b is as it was, a has new terms");
    assert_eq!(numbers(&[("b", 100)]), [1]);
    assert_eq!(numbers(&[("a", 100), ("b", 100)]), [3, 1], "a is back and its old number is not");
    assert!(
        Rc::ptr_eq(&metrics.class("a"), &classes.present[0].counters),
        "under its name it goes on counting"
    );
}
