use super::*;

#[test]
fn a_class_without_a_mapping_is_a_fault_with_mixed_dialects() {
    let source = include_str!("../../../../scenarios/mixed-rolling.toml");
    assert!(parse(source).is_ok_and(|scenario| scenario.dialects.is_some()));
    let faults = parse(&source.replace("\"lookup\"", "\"search\"")).err().unwrap_or_default();
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(
        messages.len() == 1 && messages[0].contains("class search has no worked mapping"),
        "{messages:?}"
    );
}

#[test]
fn a_scenario_is_read_and_its_faults_have_positions() {
    let source = include_str!("../../../../scenarios/rolling-release.toml");
    let scenario = parse(source).expect("a valid scenario");
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
