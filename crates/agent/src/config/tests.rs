use super::*;

const SETTINGS: &str = r#"{"classes":[{"name":"read","aimMs":200.0,"deadlineMs":400.0,"points":1.0}]}"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text.as_bytes(), AddressOverrides::default())
}

#[test]
fn addresses_seed_and_limits_are_read() {
    let text = format!(
        r#"{{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","settings":{SETTINGS},
            "limits":{{"sockets":1024,"cores":1.0}},"peers":[]}}"#
    );
    let config = parse(&text).expect("a valid file");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    for processes in 1..=3 {
        let limits = config.limits().for_processes(processes);
        let descriptors = limits.clients.max_open + limits.upstream.connections + RESERVED_DESCRIPTORS;
        assert!(descriptors * processes <= 1024, "{processes}");
    }
    let small = text.replace("\"cores\"", "\"memory_mb\":32,\"cores\"");
    let small = parse(&small).expect("a valid file");
    let limits = small.limits().for_processes(1);
    let memory = limits.clients.max_open as f64 * MAX_CLIENT_BYTES + limits.upstream.body_bytes as f64;
    assert!(memory <= 16.0 * 1024.0 * 1024.0 && limits.clients.max_open > 250);
    assert!(small.limits().for_processes(2).upstream.body_bytes * 2 <= limits.upstream.body_bytes);
    let overridden = Config::parse(
        text.as_bytes(),
        AddressOverrides { listen: Some("127.0.0.2:90".into()), ..AddressOverrides::default() },
    )
    .expect("a valid file");
    assert_eq!(overridden.fronts[0].listen.to_string(), "127.0.0.2:90");
}

/// A reloaded file that has lost a key must be rejected, with the name of the key, or a default would replace its value.
#[test]
fn a_reloaded_file_must_be_complete() {
    let text = r#"{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","known":{"rev":1,"targets":[]},"settings":{
            "classes":[{"name":"read","effect":"idempotent","aimMs":200.0,"deadlineMs":400.0,"points":1.0}],
            "limits":{"maxAttempts":3},"rules":{"coldShare":0.3}}}"#;
    let old = parse_json(text.as_bytes()).expect("valid JSON");
    let check = |text: &str| Config::check_reload(&old, text.as_bytes());
    let moved = check(&text.replace("127.0.0.1:81", "127.0.0.1:82")).expect("a valid file");
    assert_eq!(moved.plan.pools[0].endpoints, PoolEndpoints::Discovery(([127, 0, 0, 1], 82).into()));
    assert!(check(&text.replace(r#""known":{"rev":1,"targets":[]},"#, "")).is_ok());
    for (old, new, fault) in [
        (text, "", "empty"),
        (text, " \n", "empty"),
        (text, &text[..text.len() / 2], "not a configuration"),
        (text, "[]", "missing"),
        ("\"discovery\"", "\"discover\"", "discovery is missing"),
        ("\"settings\"", "\"setting\"", "settings is missing"),
        ("\"classes\"", "\"class\"", "settings.classes is missing"),
        ("\"maxAttempts\"", "\"attempts\"", "settings.limits.maxAttempts is missing"),
        ("\"coldShare\"", "\"cold\"", "settings.rules.coldShare is missing"),
        ("\"deadlineMs\"", "\"deadline\"", "deadlineMs of a class is missing"),
        ("\"effect\"", "\"affect\"", "effect of a class is missing"),
        ("400.0", "0", "deadline"),
        ("400.0", "-400.0", "deadline"),
        ("400.0", "null", "not a configuration"),
        ("400.0", "\"soon\"", "not a configuration"),
        ("\"maxAttempts\":3", "\"maxAttempts\":0", "attempt"),
        ("\"maxAttempts\":3", "\"maxAttempts\":-1", "not a configuration"),
        ("\"maxAttempts\":3", "\"maxAttempts\":null", "maxAttempts"),
    ] {
        let error = check(&text.replace(old, new)).err().expect(new);
        assert!(error.contains(fault), "{new}: {error}");
    }
}

#[test]
fn an_invalid_file_is_rejected_with_a_reason() {
    let with = |rest: &str| parse(&format!(r#"{{"settings":{SETTINGS}{rest}}}"#)).err().expect("an error");
    assert!(parse("{").err().expect("an error").contains("not a configuration"));
    assert!(with("").contains("no listen address"));
    assert!(with(r#","listen":"here:80""#).contains("here:80"));
    let few = with(r#","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","limits":{"sockets":9}"#);
    assert!(few.contains("at least"), "{few}");
    assert!(parse(r#"{"settings":{"classes":[]}}"#).err().expect("an error").contains("class"));
}

/// Every key of the platform's file must be read; each value here differs from the default of an absent key.
#[test]
fn all_keys_of_the_platforms_file_are_read() {
    let text = format!(
        r#"{{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","ops":"127.0.0.1:82","seed":"1f",
            "limits":{{"sockets":777,"memory_mb":33.5}},
            "known":{{"rev":5,"all":true,"targets":[{{"uid":"s1","endpoint":"127.0.0.1:83","state":"SERVING"}}]}},
            "settings":{SETTINGS}}}"#
    );
    let config = parse(&text).expect("a valid file");
    assert_eq!(config.fronts[0].listen.to_string(), "127.0.0.1:80");
    assert_eq!(config.plan.pools[0].endpoints, PoolEndpoints::Discovery(([127, 0, 0, 1], 81).into()));
    assert_eq!(config.ops, Some(([127, 0, 0, 1], 82).into()));
    assert_eq!(config.seed, 0x1f);
    assert_eq!((config.limits.sockets, config.limits.memory_mb), (Some(777), Some(33.5)));
    let known = config.known.expect("a list");
    assert_eq!((known.version, known.is_complete, known.endpoints[0].name.as_str()), (5, true, "s1"));
    let config = parse(&text).expect("a valid file");
    let entries: Vec<String> = config.entries().into_iter().map(|(key, _, _)| key).collect();
    for key in ["listen", "discovery", "ops", "seed", "limits.sockets", "limits.memory_mb", "known.rev"] {
        assert!(entries.iter().any(|entry| entry == key), "{key}: {entries:?}");
    }
}
