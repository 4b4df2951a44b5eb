use super::*;
use crate::net::Listener;
use futures_lite::future;
use std::time::Duration;

// Guards against answers from before a pause: another controller may have told something newer meanwhile.
#[test]
fn an_answer_that_nobody_waits_for_any_more_is_not_sent() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let client = Client::new(listener.local_addr().unwrap());
        let slept = std::cell::Cell::new(false);
        let server = async {
            for _ in 0..2 {
                let stream = listener.accept().await.unwrap();
                let handle = |_: HttpRequest| async {
                    if !slept.replace(true) {
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
        let asking = async {
            let ask = || client.call(Method::Get, "/ready", None, Micros::secs(30));
            assert!(matches!(ask().await, Err(HttpError::NoAnswer(_))));
            assert_eq!(ask().await.expect("an answer").0, 200);
        };
        future::zip(server, asking).await;
    });
}
