use super::*;
use heronhoist_routing::Attributes;

const VALID: &str = r#"
default_pool = "records"

[log]
level = "info,heronhoist::attempt=debug"

[ops]
listen = "${OPS}"

[[class]]
name = "lookup"
effect = "idempotent"
aim_ms = 200
deadline_ms = 1000

[[class]]
name = "correction"
effect = "deduplicated"
dedup_group = "cell"
dedup_window_ms = 600
aim_ms = 400
deadline_ms = 2000.5

[[tenant]]
name = "courts"
fraction = 0.5

[[pool]]
name = "records"
membership = "static"
[[pool.server]]
name = "s1"
address = "127.0.0.1:8081"
[[pool.server]]
name = "s2"
address = "127.0.0.1:${PORT}"
zone = "b"
state = "draining"

[[pool]]
name = "copies"
membership = "platform"
discovery = "127.0.0.1:8500"

[[front]]
name = "desk"
listen = "127.0.0.1:8080"

[[route]]
name = "east copies"
path = ["/copies/*"]
label = { "X-Region" = "east" }
pool = "copies"
"#;

fn environment(name: &str) -> Option<String> {
    match name {
        "OPS" => Some("127.0.0.1:9090".into()),
        "PORT" => Some("8082".into()),
        _ => None,
    }
}

#[test]
fn a_valid_file_is_read_with_the_source_of_each_value() {
    let file = parse(VALID, &environment).expect("valid");
    assert_eq!(file.ops_address, address("127.0.0.1:9090"));
    assert_eq!(file.classes, ["lookup", "correction"]);
    let effect = Effect::Deduplicated { scope: DeduplicationScope::Cell, window: Span::from_ms(600.0) };
    assert_eq!(file.pools[1].settings.classes[1].effect, effect);
    assert_eq!(file.pools[0].settings.drain_grace, Span::from_ms(500.0));
    let second = &file.pools[0].servers[1];
    assert_eq!((second.address.port(), second.state), (8082, ServerState::Draining));
    assert_eq!(file.pools[0].zones, ["", "b"]);
    assert_eq!(file.pools[1].membership, Membership::Platform(address("127.0.0.1:8500").unwrap()));
    let labels = |name: &str| (name == "x-region").then_some("east");
    let request = Attributes { path: "/copies/7", labels: Some(&labels), ..Attributes::default() };
    assert_eq!((file.routes.route(&request), file.routes.default_pool()), (Some(1), Some(0)));
    let source = |key: &str| {
        file.effective_values.iter().find(|value| value.key == key).expect(key).source.to_string()
    };
    assert_eq!(source("class[0].aim_ms"), "line 13");
    assert_eq!(source("ops.listen"), "line 8, ${OPS}");
    assert_eq!(source("limits.sockets"), "default");
    let value = |key: &str| &file.effective_values.iter().find(|value| value.key == key).expect(key).value;
    assert_eq!(value("class[1].effect"), "\"deduplicated\"");
    assert_eq!(
        (value("log.format").as_str(), value("ops.listen").as_str()),
        ("\"text\"", "\"127.0.0.1:9090\"")
    );
}

/// Each fault contains the position, the key, the found value and the wanted one. A file with a fault is rejected as a whole.
#[test]
fn every_fault_is_reported_with_its_position() {
    for (old, new, fault) in [
        ("aim_ms = 200", "aim_ms = \"soon\"", "13:10: class[0].aim_ms: found \"soon\"; wanted milliseconds"),
        ("aim_ms = 200", "aim_ms = 0", "found 0; wanted milliseconds above 0"),
        ("aim_ms = 200", "aim_ms = -1", "found -1"),
        ("aim_ms = 200", "aim_ms = nan", "found nan"),
        ("aim_ms = 200", "aim_ms = 99999999999999999999", "found 99999999999999999999"),
        ("aim_ms = 200", "aim_ms = 3000", "class[0].aim_ms: found 3000; wanted no more than deadline_ms"),
        ("aim_ms = 200", "", "10:1: class[0].aim_ms: found nothing; wanted milliseconds"),
        (
            "aim_ms = 200",
            "aim_ms = 200\naims = 3",
            "14:1: class[0].aims: no such key; there are aim_ms, deadline_ms",
        ),
        ("name = \"correction\"", "name = \"lookup\"", "class[1].name: found \"lookup\" a second time"),
        ("dedup_group = \"cell\"", "", "class[1].dedup_group: found nothing"),
        ("\"static\"", "\"dns\"", "found \"dns\"; wanted \"static\" or \"platform\""),
        ("${PORT}", "${NONE}", "found ${NONE}, which is not set in the environment"),
        ("${PORT}", "${PORT", "wanted } after ${"),
        ("name = \"s1\"", "name = \"${PORT}\"", "found \"${PORT}\"; wanted a name"),
        ("discovery = \"127.0.0.1:8500\"", "", "pool[1].discovery: found nothing"),
        ("pool = \"copies\"", "pool = \"others\"", "wanted one of the pools records, copies"),
        ("\"/copies/*\"", "\"copies\"", "route[0].path: found a list of 1"),
        ("listen = \"127.0.0.1:8080\"", "listen = \"${OPS}\"", "found 127.0.0.1:9090 a second time"),
        ("info,heronhoist", "loud,heronhoist", "log.level: found"),
        ("[[front]]", "[front]", "found a table; wanted tables [[front]]"),
        ("[log]", "[log", "invalid TOML"),
        (VALID, "", "class: found none; wanted one [[class]] at least"),
    ] {
        let text = VALID.replace(old, new);
        assert_ne!(text, VALID, "{old} occurs in the file");
        let faults = parse(&text, &environment).expect_err(new);
        let messages: Vec<String> = faults.iter().map(Fault::to_string).collect();
        assert!(
            messages.iter().any(|line| line.contains(fault)),
            "{new}: {messages:?} does not contain {fault}"
        );
    }
}

#[test]
fn all_faults_are_reported_together_in_the_order_of_their_positions() {
    let text = VALID.replace("aim_ms = 200", "aim_ms = 0").replace("0.5", "2").replace("\"static\"", "1");
    let faults = parse(&text, &environment).unwrap_err();
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["class[0].aim_ms", "tenant[0].fraction", "pool[0].membership"]);
}

#[test]
fn an_unreachable_route_is_a_fault_at_its_position() {
    let text = format!("{VALID}\n[[route]]\nname = \"all copies\"\npath = \"/copies/a\"\nlabel = {{ x-region = \"east\" }}\npool = \"records\"\n");
    let faults = parse(&text, &environment).unwrap_err();
    assert_eq!(faults[0].key, "route[1]");
    assert!(faults[0].message.contains("no request reaches route \"all copies\""), "{}", faults[0]);
}
