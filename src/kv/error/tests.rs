use super::KvError;
use crate::http::{FailureCause, HttpError, MalformedResponse};
use crate::kv::response::Response;
use std::error::Error;

fn error_of(result: Result<(u16, Vec<u8>), HttpError>) -> KvError {
    match Response::classify(result) {
        Err(error) => error,
        Ok(response) => response.unexpected(),
    }
}

// Pins the error texts in log lines, which must not change when a variant is renamed, and checks that a refusal is not
// classified as an unknown outcome.
#[test]
fn errors_distinguish_refused_from_unknown_and_keep_their_text() {
    let text = |error: KvError| (error.to_string(), format!("{error:?}"));
    let expect = |error, display: &str, debug: &str| {
        assert_eq!(text(error), (display.to_owned(), debug.to_owned()));
    };
    expect(
        error_of(Ok((503, Vec::new()))),
        "refused: status 503",
        r#"Refused("status 503")"#,
    );
    expect(
        error_of(Ok((500, Vec::new()))),
        "no answer: status 500",
        r#"Unknown("status 500")"#,
    );
    expect(
        error_of(Err(HttpError::NotSent("connecting timed out".into()))),
        "refused: connecting timed out",
        r#"Refused("connecting timed out")"#,
    );
    expect(
        error_of(Err(HttpError::NoAnswer("timed out".into()))),
        "no answer: timed out",
        r#"Unknown("timed out")"#,
    );
    expect(
        error_of(Ok((418, b"short \"and\" stout".to_vec()))),
        "malformed: status 418 short \"and\" stout",
        r#"Malformed("status 418 short \"and\" stout")"#,
    );
    expect(
        error_of(Ok((400, b"no such lease".to_vec()))),
        "no such lease",
        "NoLease",
    );
}

#[test]
fn errors_keep_their_source() {
    let unanswered = error_of(Err(HttpError::NoAnswer("timed out".into())));
    assert!(matches!(
        &unanswered,
        KvError::Unknown(FailureCause::Transport(HttpError::NoAnswer(_)))
    ));
    let source = unanswered
        .source()
        .and_then(Error::source)
        .expect("a source");
    assert_eq!(source.to_string(), "no answer: timed out");
    let response = Response {
        status: 200,
        body: b"{".to_vec(),
    };
    let malformed = response.parse::<bool>().expect_err("an error");
    assert!(matches!(
        malformed,
        KvError::Malformed(MalformedResponse::Json(_))
    ));
}
