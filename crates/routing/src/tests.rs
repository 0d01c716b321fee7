use super::*;

fn strings(items: &[&str]) -> Vec<String> {
    items.iter().map(std::string::ToString::to_string).collect()
}

fn rule(name: &str, pool: usize, conditions: Conditions) -> Rule {
    Rule { name: name.into(), priority: 0, conditions, pool }
}

fn classes(items: &[&str]) -> Conditions {
    Conditions { classes: strings(items), ..Conditions::default() }
}

fn tenants(items: &[&str]) -> Conditions {
    Conditions { tenants: strings(items), ..Conditions::default() }
}

fn paths(items: &[&str]) -> Conditions {
    Conditions { paths: strings(items), ..Conditions::default() }
}

#[test]
fn the_first_matching_rule_selects_the_pool() {
    let mut east = classes(&["read"]);
    east.labels.insert("x-region".into(), strings(&["east", "north"]));
    let table =
        Table::new(vec![rule("east", 2, east), rule("reads", 1, classes(&["read", "find"]))], Some(0))
            .unwrap();
    let route = |class: &str, region: &str| {
        let labels = |name: &str| (name == "x-region").then_some(region);
        table.route(&Attributes { front: "http", class, labels: Some(&labels), ..Attributes::default() })
    };
    assert_eq!(route("read", "east"), Some(2));
    assert_eq!(route("read", "west"), Some(1));
    assert_eq!(route("find", "east"), Some(1));
    assert_eq!(route("copy", "east"), Some(0));
    assert_eq!(Table::new(vec![], None).unwrap().route(&Attributes::default()), None);
}

#[test]
fn a_path_pattern_matches_whole_segments() {
    for (pattern, path, matches) in [
        ("/a", "/a", true),
        ("/a", "/a/b", false),
        ("/a/*", "/a", true),
        ("/a/*", "/a/b", true),
        ("/a/*", "/ab", false),
        ("/*", "/x", true),
    ] {
        assert_eq!(path_matches(pattern, path), matches, "{pattern} {path}");
    }
}

/// A rule is unreachable if several rules together match all of its requests, or if one with a higher priority does.
#[test]
fn an_unreachable_rule_is_reported() {
    let unreachable = |rules: Vec<Rule>| match &Table::new(rules, None).unwrap_err()[..] {
        [TableError::Unreachable { rule, shadowed_by }] => (rule.1.clone(), shadowed_by.clone()),
        other => panic!("{other:?}"),
    };
    let split = vec![
        rule("a", 1, classes(&["a"])),
        rule("b", 1, classes(&["b"])),
        rule("both", 1, classes(&["a", "b"])),
    ];
    assert_eq!(unreachable(split), ("both".into(), strings(&["a", "b"])));
    let wide = Rule { priority: 1, ..rule("all", 0, Conditions::default()) };
    assert_eq!(unreachable(vec![rule("some", 1, tenants(&["t"])), wide]), ("some".into(), strings(&["all"])));
    let parent_first = vec![rule("top", 1, paths(&["/a/*"])), rule("leaf", 2, paths(&["/a/b"]))];
    assert_eq!(unreachable(parent_first).0, "leaf");
    // In the reverse order the first rule is a special case of the second, and both are reachable.
    assert!(
        Table::new(vec![rule("leaf", 2, paths(&["/a/b"])), rule("top", 1, paths(&["/a/*"]))], None).is_ok()
    );
}

#[test]
fn overlapping_rules_are_reported_unless_priorities_or_pools_resolve_them() {
    let rules = vec![rule("reads", 1, classes(&["read"])), rule("court", 2, tenants(&["court"]))];
    match &Table::new(rules.clone(), None).unwrap_err()[..] {
        [TableError::Overlap { first, second, example }] => {
            assert_eq!((first.0, second.0), (0, 1));
            assert_eq!(example, "class read, tenant court");
        }
        other => panic!("{other:?}"),
    }
    let mut prioritized = rules.clone();
    prioritized[1].priority = 1;
    let table = Table::new(prioritized, None).unwrap();
    assert_eq!(table.rules()[0].name, "court");
    let mut same_pool = rules;
    same_pool[1].pool = 1;
    assert!(Table::new(same_pool, None).is_ok());
}

#[test]
fn rules_with_too_many_cases_are_refused() {
    let values: Vec<String> = (0..600).map(|number| number.to_string()).collect();
    let wide = Conditions { classes: values.clone(), tenants: values, ..Conditions::default() };
    assert!(matches!(
        Table::new(vec![rule("wide", 0, wide)], None).unwrap_err()[..],
        [TableError::TooManyCases { .. }]
    ));
}
