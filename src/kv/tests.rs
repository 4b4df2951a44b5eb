use super::error::{FailureCause, KvError, MalformedResponse};
use super::response::Response;
use super::retransmit::{MIN_RETRANSMIT, RetransmitTimer};
use super::transaction::{Change, Condition};
use super::wire;
use crate::http::HttpError;
use crate::units::Micros;
use serde_json::{Value, json};
use std::error::Error;

// Guards against copies of every transaction where the state service is slow, and against a wait that a service which is
// well again does not shorten.
#[test]
fn the_wait_before_a_transaction_is_sent_again_follows_what_answers_take() {
    let mut time = RetransmitTimer::default();
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        time.observe(Micros::millis(6));
    }
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
    for _ in 0..20 {
        time.observe(Micros::millis(700));
        time.observe(Micros::millis(900));
    }
    assert!(time.retransmit_after() > Micros::millis(900));
    for _ in 0..40 {
        time.observe(Micros::millis(6));
    }
    assert_eq!(time.retransmit_after(), MIN_RETRANSMIT);
}

// Guards against bytes on the wire that differ from those of earlier releases, whose objects had their fields in order.
#[test]
fn requests_have_the_bytes_that_earlier_releases_sent() {
    let when = [
        Condition {
            key: "r/leader".into(),
            version: 7,
        },
        Condition::absent("r/end/j-1".into()),
    ];
    let leased = Change::Put {
        key: "r/leader".into(),
        value: json!({"node": "n-1", "lease": 3}),
        lease: Some(3),
    };
    let delete = Change::Delete {
        key: "r/job/j-1".into(),
    };
    let writes = [Change::put("r/term".into(), json!("n-1")), leased, delete];
    let bytes = wire::transaction(&when, &writes).expect("a body");
    let text = String::from_utf8(bytes).expect("text");
    let expected = concat!(
        r#"{"when":[{"k":"r/leader","stamp":7},{"k":"r/end/j-1","stamp":0}],"#,
        r#""writes":[{"data":"n-1","write":"r/term"},"#,
        r#"{"data":{"lease":3,"node":"n-1"},"tenure":3,"write":"r/leader"},{"delete":"r/job/j-1"}]}"#,
    );
    assert_eq!(text, expected);
    let sorted: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        sorted.to_string(),
        expected,
        "fields stand in their names' order"
    );
    let grant = wire::grant(Micros::secs(4)).expect("a body");
    assert_eq!(grant, br#"{"ttlMs":4000}"#);
}

fn failure(result: Result<(u16, Vec<u8>), HttpError>) -> KvError {
    match Response::classify(result) {
        Err(error) => error,
        Ok(response) => response.unexpected(),
    }
}

// Guards against log lines that change with the types behind them, and against a refusal taken for an unknown outcome.
#[test]
fn errors_tell_certain_from_unknown_outcomes_and_print_as_ever() {
    let text = |error: KvError| (error.to_string(), format!("{error:?}"));
    let expect = |error, display: &str, debug: &str| {
        assert_eq!(text(error), (display.to_owned(), debug.to_owned()));
    };
    expect(
        failure(Ok((503, Vec::new()))),
        "refused: status 503",
        r#"Refused("status 503")"#,
    );
    expect(
        failure(Ok((500, Vec::new()))),
        "no answer: status 500",
        r#"Unknown("status 500")"#,
    );
    expect(
        failure(Err(HttpError::NotSent("connecting timed out".into()))),
        "refused: connecting timed out",
        r#"Refused("connecting timed out")"#,
    );
    expect(
        failure(Err(HttpError::NoAnswer("timed out".into()))),
        "no answer: timed out",
        r#"Unknown("timed out")"#,
    );
    expect(
        failure(Ok((418, b"short \"and\" stout".to_vec()))),
        "malformed: status 418 short \"and\" stout",
        r#"Malformed("status 418 short \"and\" stout")"#,
    );
    expect(
        failure(Ok((400, b"no such lease".to_vec()))),
        "no such lease",
        "NoLease",
    );
}

#[test]
fn errors_keep_their_source() {
    let lost = failure(Err(HttpError::NoAnswer("timed out".into())));
    assert!(matches!(
        &lost,
        KvError::Unknown(FailureCause::Transport(HttpError::NoAnswer(_)))
    ));
    let source = lost.source().and_then(Error::source).expect("a source");
    assert_eq!(source.to_string(), "no answer: timed out");
    let response = Response {
        status: 200,
        body: b"{".to_vec(),
    };
    let garbled = response.parse::<wire::Revision>().err().expect("an error");
    assert!(matches!(
        garbled,
        KvError::Malformed(MalformedResponse::Json(_))
    ));
}
