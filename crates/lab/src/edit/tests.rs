use super::*;

const SOURCE: &str = include_str!("../../../../scenarios/rolling-release.toml");

#[test]
fn a_key_is_set_by_its_path() {
    let mut source = ScenarioSource::new(SOURCE).expect("TOML");
    source.set("agents.count", "7").expect("a path");
    source.set("class.1.work_ms", "3.5").expect("an index in a list");
    source.set("class.0.name", "look").expect("a bare word");
    let scenario = source.scenario().expect("a valid scenario");
    assert_eq!(
        (scenario.agents, scenario.classes[1].work, scenario.classes[0].name.as_str()),
        (7, 3500, "look")
    );
    assert!(source.set("class.name", "x").is_err() && source.set("name.x", "1").is_err());
    source.set("agents.cuont", "7").expect("a path");
    assert!(source.scenario().expect_err("no such key").contains("agents.cuont"));
}

/// A scenario that fails only with a drain and more than four agents is reduced to just these.
#[test]
fn a_failing_scenario_is_reduced_to_what_makes_it_fail() {
    let source = ScenarioSource::new(SOURCE).expect("TOML");
    let mut fails =
        |s: &Scenario| s.agents > 4 && s.events.iter().any(|event| event.kind == scenario::EventKind::Drain);
    let (small, tried) = minimize(&source, 500, &mut fails);
    let scenario = small.scenario().expect("a valid scenario");
    assert!(tried < 500);
    assert_eq!((scenario.agents, scenario.classes.len()), (5, 1));
    assert!(scenario.events.iter().all(|event| event.kind == scenario::EventKind::Drain));
    assert!(scenario.duration < 1_000_000 && scenario.fleet.servers < 13);
}
