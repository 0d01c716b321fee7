use super::*;

#[test]
fn a_refusal_is_one_in_each_form_and_says_when() {
    let refused = Trouble::Refused(Some(Duration::from_millis(1200)));
    for form in [Form::Json, Form::Soap, Form::Form, Form::Table] {
        let told = refused.tell(form);
        assert_eq!((told.status, told.retry_after), (503, Some(2)), "{form:?}");
        assert!(String::from_utf8_lossy(&told.body).contains('2'), "{form:?}");
        assert_eq!(is_refusal(told.status, &told.body), form != Form::Json, "{form:?}");
    }
}

#[test]
fn a_failure_never_looks_like_a_refusal() {
    for form in [Form::Json, Form::Soap, Form::Form, Form::Table] {
        for trouble in [Trouble::Failed("x \"<&".into()), Trouble::Wrong("é".into())] {
            let told = trouble.tell(form);
            assert!(!matches!(told.status, 200..=299 | 429 | 503), "{form:?}");
            assert!(!is_refusal(503, &told.body), "whatever the status says");
        }
    }
    let problem = Trouble::Failed("a \"b\"".into()).tell(Form::Json).body;
    let problem: serde_json::Value = serde_json::from_slice(&problem).unwrap();
    assert_eq!(problem["detail"], "It may have run. a \"b\"");
}
