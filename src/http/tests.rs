use crate::futures::{join_all, timeout};
use crate::http::server::RESPONSE_TIMEOUT;
use crate::http::{Client, HttpError, HttpRequest, HttpResponse, serve};
use crate::net::Listener;
use crate::units::Micros;
use futures_lite::{AsyncReadExt, future};
use http_types::Method;
use std::cell::Cell;
use std::error::Error;
use std::io;
use std::time::Duration;

// A response computed before a pause of this process must not be sent after it, because another controller may have
// sent newer information in the meantime.
#[test]
fn response_is_not_sent_after_its_client_has_given_up() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let has_slept = Cell::new(false);
        let server = async {
            for _ in 0..2 {
                let stream = listener.accept().await.unwrap();
                let handle = |_: HttpRequest| async {
                    if !has_slept.replace(true) {
                        std::thread::sleep(Duration::from(RESPONSE_TIMEOUT + Micros::millis(1)));
                    }
                    HttpResponse {
                        close: true,
                        ..HttpResponse::error(200, "fine")
                    }
                };
                serve(stream, || Micros::secs(60), handle).await;
            }
        };
        let calls = async {
            let call = || client.call(Method::Get, "/ready", None, Micros::secs(30));
            assert!(matches!(call().await, Err(HttpError::NoAnswer(_))));
            assert_eq!(call().await.expect("a response").0, 200);
        };
        future::zip(server, calls).await;
    });
}

#[test]
fn error_body_is_one_json_object_with_the_reason() {
    let body = |reason| String::from_utf8(HttpResponse::error(400, reason).body).expect("UTF-8");
    assert_eq!(body("no such job"), r#"{"error":"no such job"}"#);
    assert_eq!(body("a \"b\"\n"), r#"{"error":"a \"b\"\n"}"#);
    let busy = HttpResponse::retry_later(429, "full", 2);
    assert_eq!((busy.status, busy.retry_after), (429, Some(2)));
    assert_eq!(busy.body, br#"{"error":"full"}"#);
}

#[test]
fn refused_connection_is_reported_as_not_sent() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        drop(listener);
        let result = client.call(Method::Get, "/ready", None, Micros::secs(30));
        let error = result.await.expect_err("no listener");
        assert!(matches!(error, HttpError::NotSent(_)), "{error:?}");
        assert_eq!(
            error.to_string(),
            "not sent: Connection refused (os error 111)"
        );
        let source = error.source().expect("the connection's error");
        let source = source.downcast_ref::<io::Error>().expect("an I/O error");
        assert_eq!(source.kind(), io::ErrorKind::ConnectionRefused);
        assert_eq!(error.reason().to_string(), source.to_string());
    });
}

#[test]
fn connection_closed_before_the_response_is_reported_as_no_answer() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let server = async {
            let mut stream = listener.accept().await.unwrap();
            // Reads the request, because closing a connection with unread bytes resets it.
            let len = stream.read(&mut [0; 1024]).await.unwrap();
            assert!(len > 0);
        };
        let call = client.call(Method::Get, "/ready", None, Micros::secs(30));
        let ((), result) = future::zip(server, call).await;
        let error = result.expect_err("no response");
        assert!(matches!(error, HttpError::NoAnswer(_)), "{error:?}");
        assert_eq!(error.to_string(), "no answer: connection closed");
    });
}

#[test]
fn join_all_returns_outputs_in_the_order_of_the_futures() {
    let after = |ms| async move {
        crate::clock::sleep(Micros::millis(ms)).await;
        ms
    };
    let outputs = async_io::block_on(join_all(vec![after(20), after(1), after(10)]));
    assert_eq!(outputs, [20, 1, 10]);
}

#[test]
fn timeout_returns_none_once_the_limit_has_passed() {
    async_io::block_on(async {
        let limit = Micros::millis(1);
        assert_eq!(timeout(limit, future::pending::<()>()).await, None);
        assert_eq!(timeout(limit, async { 7 }).await, Some(7));
    });
}
