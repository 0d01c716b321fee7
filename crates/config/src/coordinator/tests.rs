use super::*;

#[test]
fn a_single_process_needs_only_a_name_an_address_and_a_disk() {
    let text = "[council]\nfleet = \"gulf\"\nlisten = \"127.0.0.1:7101\"\ndisk = \"c1.redb\"\n";
    let config = parse_coordinator_config(text, &|_| None).expect("valid");
    assert_eq!(config.peers, [("c1".to_string(), "127.0.0.1:7101".parse().expect("an address"))]);
    assert_eq!((config.lease_duration, config.max_clock_drift), (Duration::from_secs(9), 0.01));
    assert!(is_coordinator_config(text));
}

#[test]
fn every_fault_of_a_coordinator_config_is_reported_with_its_position() {
    let text = "[council]\nfleet = \"g/1\"\nname = \"c9\"\nlisten = \"there\"\ndisk = \"x\"\nlease_ms = 400\nmore = 1\n\
                    peer = [{ name = \"c1\", address = \"127.0.0.1:1\" }, { name = \"c1\", address = \"127.0.0.1:2\" }]\n";
    let faults = parse_coordinator_config(text, &|_| None).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for (position, part) in
        [("2:9", "fleet"), ("4:10", "listen"), ("6:12", "lease_ms"), ("7:1", "more"), ("8:", "second time")]
    {
        assert!(
            lines.iter().any(|line| line.starts_with(position) && line.contains(part)),
            "{position} {part}: {lines:#?}"
        );
    }
}
