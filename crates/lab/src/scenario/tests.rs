use super::*;

#[test]
fn a_class_that_nobody_can_say_in_both_dialects_is_a_fault() {
    let source = include_str!("../../../../scenarios/mixed-rolling.toml");
    assert!(parse(source).is_ok_and(|scenario| scenario.dialects.is_some()));
    let faults = parse(&source.replace("\"lookup\"", "\"search\"")).err().unwrap_or_default();
    let said: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(said.len() == 1 && said[0].contains("class search has no worked mapping"), "{said:?}");
}

#[test]
fn a_scenario_is_read_and_its_faults_have_places() {
    let source = include_str!("../../../../scenarios/rolling-release.toml");
    let scenario = parse(source).expect("sound");
    assert_eq!((scenario.fleet.servers, scenario.events.len()), (12, 36));
    assert!(scenario.events.windows(2).all(|pair| pair[0].at <= pair[1].at));
    for (old, new, fault) in [
        ("servers = 12", "servers = 0", "fleet.servers: found 0; wanted how many servers"),
        ("servers = 12", "servers = 3", "times: goes beyond the last of 3"),
        ("\"drain\"", "\"drown\"", "found \"drown\"; wanted one of kill"),
        ("[clients]", "[client]", "client: no such key"),
    ] {
        let faults = parse(&source.replace(old, new)).expect_err(new);
        assert!(faults.iter().any(|f| f.to_string().contains(fault)), "{new}: {faults:?}");
    }
}
