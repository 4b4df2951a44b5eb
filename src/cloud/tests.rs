use crate::cloud::wire::{ProvisionBody, TerminateBody, parse_response};
use crate::cloud::{Cloud, CloudError, ProvisioningRequest};
use crate::http::{FailureCause, HttpError, HttpRequest, HttpResponse, MalformedResponse, serve};
use crate::net::Listener;
use crate::scheduler::MachineId;
use crate::units::Micros;
use futures_lite::{FutureExt, future};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::error::Error;
use std::future::Future;

fn request() -> ProvisioningRequest {
    ProvisioningRequest {
        request_name: "r-7-\"12\"".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
    }
}

fn machine_ids() -> [MachineId; 2] {
    ["m-1", "m-2"].map(|name| MachineId(name.into()))
}

#[test]
fn provisioning_body_equals_the_json_value_byte_for_byte() {
    let request = request();
    let bytes = serde_json::to_string(&ProvisionBody::from(&request)).expect("JSON");
    let expected = json!({"charter": request.request_name, "rig": request.machine_type, "yard": request.zone,
        "loaners": request.spot, "howMany": request.count});
    assert_eq!(bytes, expected.to_string());
    assert_eq!(
        bytes,
        r#"{"charter":"r-7-\"12\"","howMany":3,"loaners":true,"rig":"g8","yard":"a"}"#
    );
}

#[test]
fn termination_body_equals_the_json_value_byte_for_byte() {
    let machines = machine_ids();
    let bytes = serde_json::to_string(&TerminateBody {
        machines: &machines,
    })
    .expect("JSON");
    assert_eq!(bytes, json!({ "hosts": machines }).to_string());
    assert_eq!(bytes, r#"{"hosts":["m-1","m-2"]}"#);
}

#[test]
fn stored_form_of_a_provisioning_request_is_stable() {
    assert_eq!(
        serde_json::to_string(&request()).expect("JSON"),
        r#"{"charter":"r-7-\"12\"","rig":"g8","zone":"a","spot":true,"count":3}"#
    );
}

#[test]
fn error_texts_are_stable() {
    let text = |status, body: &[u8]| {
        let error = parse_response::<Vec<u8>>(status, body).expect_err("a failure");
        error.to_string()
    };
    assert_eq!(text(503, b"no capacity here"), "no capacity");
    assert_eq!(text(503, b"later"), "refused: status 503");
    assert_eq!(text(429, b""), "refused: status 429");
    assert_eq!(text(500, b"no capacity"), "no answer: status 500");
    assert_eq!(text(404, b"gone"), "malformed: status 404 gone");
    assert_eq!(text(204, b"\xff"), "malformed: status 204 \u{fffd}");
    assert_eq!(
        text(200, b"[1"),
        "malformed: EOF while parsing a list at line 1 column 2"
    );
    assert_eq!(
        text(200, b""),
        "malformed: invalid type: null, expected a sequence at line 1 column 4"
    );
    let not_sent = CloudError::from_transport(HttpError::NotSent("connecting timed out".into()));
    assert_eq!(not_sent.to_string(), "refused: connecting timed out");
    let no_answer = CloudError::from_transport(HttpError::NoAnswer("timed out".into()));
    assert_eq!(no_answer.to_string(), "no answer: timed out");
}

#[test]
fn errors_keep_their_sources() {
    let no_answer = CloudError::from_transport(HttpError::NoAnswer("timed out".into()));
    let source = no_answer
        .source()
        .and_then(Error::source)
        .expect("a source");
    assert!(source.is::<HttpError>());
    assert!(matches!(
        parse_response::<Value>(429, b""),
        Err(CloudError::Refused(FailureCause::Status(429)))
    ));
    assert!(matches!(
        parse_response::<Value>(200, b"{"),
        Err(CloudError::Malformed(MalformedResponse::Json(_)))
    ));
}

#[test]
fn empty_body_of_a_termination_is_a_success() {
    assert_eq!(
        parse_response::<Value>(200, b"").expect("an empty body is accepted"),
        Value::Null
    );
}

/// Runs `work` with a client of a server that sends `responses` in this order. Returns the output of `work` and the
/// requests that the server received.
fn call_with_responses<Fut: Future>(
    responses: &[(u16, &str)],
    work: impl FnOnce(Cloud) -> Fut,
) -> (Fut::Output, Vec<String>) {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let received = RefCell::new(Vec::new());
        let handle = |request: HttpRequest| {
            let mut received = received.borrow_mut();
            let (status, body) = responses[received.len()];
            received.push(format!(
                "{} {}?{} {}",
                request.method,
                request.path,
                request.query,
                String::from_utf8_lossy(&request.body)
            ));
            future::ready(HttpResponse {
                status,
                body: body.into(),
                retry_after: None,
                close: false,
            })
        };
        let server = async {
            loop {
                let stream = listener.accept().await.unwrap();
                serve(stream, || Micros::secs(60), handle).await;
            }
        };
        let cloud = Cloud::new(listener.local_addr().unwrap(), 1_000.0);
        let output = work(cloud).or(server).await;
        (output, received.into_inner())
    })
}

#[test]
fn list_is_read_page_by_page_and_a_refused_page_is_retried() {
    let machine = |name: &str| json!({"nameId": name, "rig": "g8", "yard": "a", "loaners": false, "status": "reserved", "ageS": 1.5});
    let first = json!({"hosts": [machine("m-1"), machine("m-2")], "more": true}).to_string();
    let second = json!({"hosts": [machine("m-3")]}).to_string();
    let responses = [
        (200, first.as_str()),
        (429, ""),
        (429, ""),
        (429, ""),
        (200, &second),
    ];
    let (list, received) = call_with_responses(&responses, async |cloud| cloud.list().await);
    let names: Vec<String> = list
        .expect("a list")
        .into_iter()
        .map(|l| l.machine.0)
        .collect();
    assert_eq!(names, ["m-1", "m-2", "m-3"]);
    let (first, next) = ("GET /hosts?page=500 ", "GET /hosts?from=m-2&page=500 ");
    assert_eq!(received, [first, next, next, next, next]);
}

#[test]
fn page_refused_four_times_fails_the_list() {
    let (list, received) = call_with_responses(&[(429, ""); 4], async |cloud| cloud.list().await);
    assert!(matches!(list, Err(CloudError::Refused(_))));
    assert_eq!(received.len(), 4);
}

#[test]
fn provisioning_and_termination_are_sent_as_one_request_each() {
    let responses = [(200, r#"{"hosts":["m-1","m-2"]}"#), (200, "")];
    let (machines, received) = call_with_responses(&responses, async |cloud| {
        let machines = cloud.provision(&request()).await.expect("machines");
        cloud.terminate(&machines).await.expect("terminated");
        machines
    });
    assert_eq!(machines, machine_ids());
    assert_eq!(
        received,
        [
            r#"POST /hosts? {"charter":"r-7-\"12\"","howMany":3,"loaners":true,"rig":"g8","yard":"a"}"#,
            r#"POST /hosts/return? {"hosts":["m-1","m-2"]}"#,
        ]
    );
}
