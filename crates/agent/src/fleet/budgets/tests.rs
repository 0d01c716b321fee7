use super::*;

const VALID: &str = "[[budget]]\nof = \"servers\"\nby = \"site\"\nmost = 1\n[[budget]]\nof = \"agents\"\nby = \"all\"\nmost = \"25%\"\n\
                         [[server]]\nname = \"s1\"\nsite = \"east\"\n[[server]]\nname = \"s2\"\nsite = \"west\"\nkind = \"m\"\ncell = \"4\"\n";

#[test]
fn budgets_are_parsed_and_each_fault_has_its_location() {
    assert_eq!(
        parse(include_str!("../../../../../deploy/budgets.toml"))
            .expect("the example file is valid")
            .servers
            .len(),
        3
    );
    let rules = parse(VALID).expect("valid rules");
    assert_eq!((rules.rules.len(), rules.servers["s2"].cell.as_str()), (2, "4"));
    assert_eq!(rules.rules[1].limit, Limit::Share(0.25));
    let faulty = VALID.replace("most = 1", "most = \"many\"").replace("by = \"all\"", "by = \"cell\"");
    let lines = |text: &str| {
        parse(text).expect_err("invalid rules").iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let messages = lines(&faulty);
    assert!(messages.len() == 1 && messages[0].starts_with("4:8: budget[0].most"), "{messages:?}");
    let messages = lines(&VALID.replace("by = \"all\"", "by = \"cell\"").replace("\"s2\"", "\"s1\""));
    assert!(messages.len() == 1 && messages[0].starts_with("13:8: server[1].name"), "{messages:?}");
    let messages = lines(&VALID.replace("by = \"all\"", "by = \"cell\""));
    assert!(messages.len() == 1 && messages[0].starts_with("7:6: budget[1].by"), "{messages:?}");
}
