use super::*;

#[test]
fn rejection_is_recognizable_in_each_form_and_has_retry_after() {
    let rejected = RequestFailure::Rejected(Some(Duration::from_millis(1200)));
    for form in [Form::Json, Form::Soap, Form::Form, Form::Table] {
        let response = rejected.to_response(form);
        assert_eq!((response.status, response.retry_after), (503, Some(2)), "{form:?}");
        assert!(String::from_utf8_lossy(&response.body).contains('2'), "{form:?}");
        assert_eq!(is_rejection(response.status, &response.body), form != Form::Json, "{form:?}");
    }
}

#[test]
fn failure_never_looks_like_a_rejection() {
    for form in [Form::Json, Form::Soap, Form::Form, Form::Table] {
        for failure in [RequestFailure::Failed("x \"<&".into()), RequestFailure::BadRequest("é".into())] {
            let response = failure.to_response(form);
            assert!(!matches!(response.status, 200..=299 | 429 | 503), "{form:?}");
            assert!(!is_rejection(503, &response.body), "the body alone must not look like a rejection");
        }
    }
    let problem = RequestFailure::Failed("a \"b\"".into()).to_response(Form::Json).body;
    let problem: serde_json::Value = serde_json::from_slice(&problem).unwrap();
    assert_eq!(problem["detail"], "It may have run. a \"b\"");
}
