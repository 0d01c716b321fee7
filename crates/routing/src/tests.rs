use super::*;

fn list(items: &[&str]) -> Vec<String> {
    items.iter().map(std::string::ToString::to_string).collect()
}

fn rule(name: &str, pool: usize, conditions: Conditions) -> Rule {
    Rule { name: name.into(), priority: 0, conditions, pool }
}

fn classes(items: &[&str]) -> Conditions {
    Conditions { classes: list(items), ..Conditions::default() }
}

fn tenants(items: &[&str]) -> Conditions {
    Conditions { tenants: list(items), ..Conditions::default() }
}

fn paths(items: &[&str]) -> Conditions {
    Conditions { paths: list(items), ..Conditions::default() }
}

#[test]
fn the_first_rule_that_matches_names_the_pool() {
    let mut east = classes(&["read"]);
    east.labels.insert("x-region".into(), list(&["east", "north"]));
    let table =
        Table::new(vec![rule("east", 2, east), rule("reads", 1, classes(&["read", "find"]))], Some(0))
            .unwrap();
    let of = |class: &str, region: &str| {
        let labels = |name: &str| (name == "x-region").then_some(region);
        table.route(&Attributes { front: "http", class, labels: Some(&labels), ..Attributes::default() })
    };
    assert_eq!(of("read", "east"), Some(2));
    assert_eq!(of("read", "west"), Some(1));
    assert_eq!(of("find", "east"), Some(1));
    assert_eq!(of("copy", "east"), Some(0));
    assert_eq!(Table::new(vec![], None).unwrap().route(&Attributes::default()), None);
}

#[test]
fn a_path_pattern_ends_at_a_border() {
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

/// Also where several rules only together take everything, and where a wider one of higher priority does.
#[test]
fn a_rule_that_nothing_reaches_is_found() {
    let unreachable = |rules: Vec<Rule>| match &Table::new(rules, None).unwrap_err()[..] {
        [TableError::Unreachable { rule, shadowed_by }] => (rule.1.clone(), shadowed_by.clone()),
        other => panic!("{other:?}"),
    };
    let split = vec![
        rule("a", 1, classes(&["a"])),
        rule("b", 1, classes(&["b"])),
        rule("both", 1, classes(&["a", "b"])),
    ];
    assert_eq!(unreachable(split), ("both".into(), list(&["a", "b"])));
    let wide = Rule { priority: 1, ..rule("all", 0, Conditions::default()) };
    assert_eq!(unreachable(vec![rule("some", 1, tenants(&["t"])), wide]), ("some".into(), list(&["all"])));
    let below = vec![rule("top", 1, paths(&["/a/*"])), rule("leaf", 2, paths(&["/a/b"]))];
    assert_eq!(unreachable(below).0, "leaf");
    // The other way round the first is a special case, and both are reached.
    assert!(
        Table::new(vec![rule("leaf", 2, paths(&["/a/b"])), rule("top", 1, paths(&["/a/*"]))], None).is_ok()
    );
}

#[test]
fn rules_that_disagree_are_found_unless_one_has_priority_or_they_agree() {
    let rules = vec![rule("reads", 1, classes(&["read"])), rule("court", 2, tenants(&["court"]))];
    match &Table::new(rules.clone(), None).unwrap_err()[..] {
        [TableError::Overlap { first, second, example }] => {
            assert_eq!((first.0, second.0), (0, 1));
            assert_eq!(example, "class read, tenant court");
        }
        other => panic!("{other:?}"),
    }
    let mut first = rules.clone();
    first[1].priority = 1;
    let table = Table::new(first, None).unwrap();
    assert_eq!(table.rules()[0].name, "court");
    let mut agree = rules;
    agree[1].pool = 1;
    assert!(Table::new(agree, None).is_ok());
}

#[test]
fn more_cases_than_can_be_checked_are_refused() {
    let many: Vec<String> = (0..600).map(|n| n.to_string()).collect();
    let wide = Conditions { classes: many.clone(), tenants: many, ..Conditions::default() };
    assert!(matches!(
        Table::new(vec![rule("wide", 0, wide)], None).unwrap_err()[..],
        [TableError::TooManyCases { .. }]
    ));
}
