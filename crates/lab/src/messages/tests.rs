use super::*;

const BOTH: Sides = Sides { old: true, new: true };

/// Each message written by hand becomes the other one written by hand, in all twelve ways, and a changed byte is seen.
#[test]
fn what_is_said_by_hand_in_both_dialects_is_the_same() {
    let messages = MessageCorpus::new(WORKED.iter().map(|(name, _)| *name)).unwrap();
    for call in 0..500 {
        for class in 0..3 {
            for side in [Side::Old, Side::New] {
                let asked = messages.encode_request(class, call, side, false, BOTH).unwrap();
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                assert_eq!(asked.sides(), BOTH, "{}", text(&asked.own));
                let said = asked.message(side.other()).unwrap();
                let meant =
                    ExpectedExchange { number: call as u64 }.request(messages.classes[class].0, side.other());
                assert_eq!(text(said), meant);
                assert!(messages.is_expected_request(class, call, side.other(), said));
                assert!(!messages.is_expected_request(class, call + 1, side.other(), said));
                let keys = [side, side.other()].map(|side| {
                    messages.key_at_server(class, side, asked.message(side).unwrap(), asked.key())
                });
                assert_eq!(keys[0], keys[1], "servers of both know its repeats by one key");
                assert_eq!(keys[0].is_some(), class == 1);

                let answer = messages.response(class, call, side);
                let there = messages.translate_response(class, side, &answer).unwrap();
                assert_eq!(text(&there), text(&messages.response(class, call, side.other())));
                assert!(messages.is_expected_response(class, call, side.other(), &there));
                assert!(!messages.is_expected_response(class, call + 1, side.other(), &there));
            }
        }
        let own = messages.encode_request(1, call, Side::New, true, BOTH).unwrap();
        assert_eq!((own.sides(), own.message(Side::Old)), (Sides { old: false, new: true }, None));
    }
}
