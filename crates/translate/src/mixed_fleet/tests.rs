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
fn an_old_request_goes_where_nothing_of_it_is_lost() {
    let correction = mapping("correction");
    let sides = |text: &str, serving| old(&correction, text, serving).map(|plan| plan.sides);
    assert_eq!(sides(RAIN, BOTH), Ok(BOTH));
    assert_eq!(sides(RAIN, OLD), Ok(BOTH), "a new server may come while it waits");
    assert_eq!(sides(RAIN, NEW), Ok(NEW));
    // 50 degF is 10 degC; 51 degF has no end, and is rounded.
    let warm = RAIN.replace("WHAT=R&RAIN=1.51", "WHAT=T&TEMP=51");
    assert_eq!(sides(&warm, BOTH), Ok(OLD), "new servers would get less of it");
    let plan = old(&correction, &warm, NEW).unwrap();
    assert_eq!((plan.sides, plan.notices.len()), (NEW, 1), "with a notice");
    assert_eq!(old(&correction, &warm, BOTH).unwrap().notices, []);
    // A moment that New York's clocks skipped is none.
    let never = RAIN.replace("202612010805", "202603080230");
    assert_eq!(sides(&never, BOTH), Ok(OLD));
    assert!(sides(&never, NEW).is_err());
}

#[test]
fn a_new_request_goes_to_old_servers_only_with_the_key_that_they_know() {
    let correction = mapping("correction");
    let plan = old(&correction, RAIN, BOTH).unwrap();
    let (bytes, key) = (plan.translated.unwrap(), plan.key.unwrap());
    let back = plan_new_request(&correction, &bytes, Some(&key), BOTH);
    assert_eq!((back.sides, back.translated.as_deref()), (BOTH, Some(RAIN.as_bytes())));
    for key in [None, Some("own")] {
        assert_eq!(plan_new_request(&correction, &bytes, key, BOTH).sides, NEW);
    }
    assert_eq!(plan_new_request(&correction, &bytes, Some(&key), NEW).translated, None, "nobody needs it");
    assert_eq!(plan_new_request(&correction, b"{", Some(&key), BOTH).sides, NEW, "theirs to refuse");
}
