use super::*;

const SOUND: &str = "[[budget]]\nof = \"servers\"\nby = \"site\"\nmost = 1\n[[budget]]\nof = \"agents\"\nby = \"all\"\nmost = \"25%\"\n\
                         [[server]]\nname = \"s1\"\nsite = \"east\"\n[[server]]\nname = \"s2\"\nsite = \"west\"\nkind = \"m\"\ncell = \"4\"\n";

#[test]
fn budgets_are_read_and_every_fault_has_its_place() {
    assert_eq!(
        parse(include_str!("../../../../../deploy/budgets.toml")).expect("the example").servers.len(),
        3
    );
    let rules = parse(SOUND).expect("sound");
    assert_eq!((rules.rules.len(), rules.servers["s2"].cell.as_str()), (2, "4"));
    assert_eq!(rules.rules[1].limit, Limit::Share(0.25));
    let faulty = SOUND.replace("most = 1", "most = \"many\"").replace("by = \"all\"", "by = \"cell\"");
    let lines =
        |text: &str| parse(text).expect_err("faults").iter().map(ToString::to_string).collect::<Vec<_>>();
    let told = lines(&faulty);
    assert!(told.len() == 1 && told[0].starts_with("4:8: budget[0].most"), "{told:?}");
    let told = lines(&SOUND.replace("by = \"all\"", "by = \"cell\"").replace("\"s2\"", "\"s1\""));
    assert!(told.len() == 1 && told[0].starts_with("13:8: server[1].name"), "{told:?}");
    let told = lines(&SOUND.replace("by = \"all\"", "by = \"cell\""));
    assert!(told.len() == 1 && told[0].starts_with("7:6: budget[1].by"), "{told:?}");
}
