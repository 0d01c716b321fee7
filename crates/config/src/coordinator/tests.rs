use super::*;

#[test]
fn one_process_on_one_file_needs_no_more_than_a_name_an_address_and_a_disk() {
    let text = "[council]\nfleet = \"gulf\"\nlisten = \"127.0.0.1:7101\"\ndisk = \"c1.redb\"\n";
    let council = parse_coordinator_config(text, &|_| None).expect("sound");
    assert_eq!(council.peers, [("c1".to_string(), "127.0.0.1:7101".parse().expect("one"))]);
    assert_eq!((council.lease_duration, council.max_clock_drift), (Duration::from_secs(9), 0.01));
    assert!(is_coordinator_config(text));
}

#[test]
fn every_fault_of_a_council_is_told_with_its_place() {
    let text = "[council]\nfleet = \"g/1\"\nname = \"c9\"\nlisten = \"there\"\ndisk = \"x\"\nlease_ms = 400\nmore = 1\n\
                    peer = [{ name = \"c1\", address = \"127.0.0.1:1\" }, { name = \"c1\", address = \"127.0.0.1:2\" }]\n";
    let faults = parse_coordinator_config(text, &|_| None).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for (begin, word) in
        [("2:9", "fleet"), ("4:10", "listen"), ("6:12", "lease_ms"), ("7:1", "more"), ("8:", "second time")]
    {
        assert!(lines.iter().any(|l| l.starts_with(begin) && l.contains(word)), "{begin} {word}: {lines:#?}");
    }
}
