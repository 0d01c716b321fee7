use super::*;

const BOTH: Sides = Sides { old: true, new: true };

/// The emulator could not distinguish a wrong translation from a wrong expectation if the generated messages of both dialects
/// differed in meaning. The test translates the requests and responses of all three classes in both directions.
#[test]
fn generated_messages_of_both_dialects_are_translations_of_each_other() {
    let messages = MessageCorpus::new(MAPPINGS.iter().map(|(name, _)| *name)).unwrap();
    for call in 0..500 {
        for class in 0..3 {
            for side in [Side::Old, Side::New] {
                let request = messages.encode_request(class, call, side, false, BOTH).unwrap();
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                assert_eq!(request.sides(), BOTH, "{}", text(&request.original));
                let translated = request.message(side.other()).unwrap();
                let expected =
                    ExpectedExchange { number: call as u64 }.request(messages.classes[class].0, side.other());
                assert_eq!(text(translated), expected);
                assert!(messages.is_expected_request(class, call, side.other(), translated));
                assert!(!messages.is_expected_request(class, call + 1, side.other(), translated));
                let keys = [side, side.other()].map(|side| {
                    messages.key_at_server(class, side, request.message(side).unwrap(), request.key())
                });
                assert_eq!(keys[0], keys[1], "servers of both dialects use the same key");
                assert_eq!(keys[0].is_some(), class == 1);

                let response = messages.response(class, call, side);
                let translated_response = messages.translate_response(class, side, &response).unwrap();
                assert_eq!(text(&translated_response), text(&messages.response(class, call, side.other())));
                assert!(messages.is_expected_response(class, call, side.other(), &translated_response));
                assert!(!messages.is_expected_response(class, call + 1, side.other(), &translated_response));
            }
        }
        let other_key = messages.encode_request(1, call, Side::New, true, BOTH).unwrap();
        assert_eq!(
            (other_key.sides(), other_key.message(Side::Old)),
            (Sides { old: false, new: true }, None)
        );
    }
}
