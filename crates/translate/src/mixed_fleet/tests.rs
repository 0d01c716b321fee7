use super::*;

const OLD: Sides = Sides { old: true, new: false };
const NEW: Sides = Sides { old: false, new: true };
const BOTH: Sides = Sides { old: true, new: true };

fn mapping(name: &str) -> Mapping {
    let path = format!("{}/../../deploy/translate/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    crate::mapping::read(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn old(mapping: &Mapping, text: &str, serving: Sides) -> Result<Plan, String> {
    let message = mapping.old.decode(MessageKind::Request, text.as_bytes(), Limits::default()).unwrap();
    plan_old_request(mapping, &message, serving)
}

const RAIN: &str = "DESK=0042&NUM=1&STN=KTPA&OBSDT=202612010805&WHAT=R&RAIN=1.51&URGENT=Y&CLERK=Ann";

#[test]
fn old_request_is_sent_where_nothing_is_lost() {
    let correction = mapping("correction");
    let sides = |text: &str, serving| old(&correction, text, serving).map(|plan| plan.sides);
    assert_eq!(sides(RAIN, BOTH), Ok(BOTH));
    assert_eq!(sides(RAIN, OLD), Ok(BOTH), "a new server may become available while the request waits");
    assert_eq!(sides(RAIN, NEW), Ok(NEW));
    // 50 degF is 10 degC. 51 degF has no finite decimal in degC and is rounded.
    let with_loss = RAIN.replace("WHAT=R&RAIN=1.51", "WHAT=T&TEMP=51");
    assert_eq!(sides(&with_loss, BOTH), Ok(OLD), "translation to new servers would lose something");
    let plan = old(&correction, &with_loss, NEW).unwrap();
    assert_eq!((plan.sides, plan.notices.len()), (NEW, 1), "the loss must have a notice");
    assert_eq!(old(&correction, &with_loss, BOTH).unwrap().notices, []);
    // New York's clocks skipped this local time, so no point in time corresponds to it.
    let skipped_hour = RAIN.replace("202612010805", "202603080230");
    assert_eq!(sides(&skipped_hour, BOTH), Ok(OLD));
    assert!(sides(&skipped_hour, NEW).is_err());
}

#[test]
fn new_request_is_sent_to_old_servers_only_with_their_key() {
    let correction = mapping("correction");
    let plan = old(&correction, RAIN, BOTH).unwrap();
    let (bytes, key) = (plan.translated.unwrap(), plan.key.unwrap());
    let back = plan_new_request(&correction, &bytes, Some(&key), BOTH);
    assert_eq!((back.sides, back.translated.as_deref()), (BOTH, Some(RAIN.as_bytes())));
    for key in [None, Some("own")] {
        assert_eq!(plan_new_request(&correction, &bytes, key, BOTH).sides, NEW);
    }
    assert_eq!(
        plan_new_request(&correction, &bytes, Some(&key), NEW).translated,
        None,
        "no old server needs the translation"
    );
    assert_eq!(
        plan_new_request(&correction, b"{", Some(&key), BOTH).sides,
        NEW,
        "an invalid request is left to new servers to refuse"
    );
}
