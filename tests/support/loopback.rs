//! Real sockets on the loopback interface: listeners, stand-in services that answer from a function, and HTTP clients.

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::Method;
use ravenhead::http::{Client, HttpRequest, HttpResponse, serve};
use ravenhead::net::Listener;
use ravenhead::units::Micros;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Binds a listener to an unused address in 127.0.0.0/8.
///
/// The address is never 127.0.0.1, the local address of outgoing connections. Otherwise such a connection could be
/// given the port of a controller that is down, and the controller could not listen on it again.
pub async fn listen() -> (Listener, SocketAddr) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed) + (std::process::id() << 8);
    let [_, a, b, c] = next.to_be_bytes();
    let unused = SocketAddr::from(([127, a | 1, b, c], 0));
    let listener = Listener::bind(unused).await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    (listener, addr)
}

/// Accepts connections on a listener and answers each request with `answer`.
pub async fn stand_in(
    ex: &LocalExecutor<'_>,
    listener: Listener,
    answer: Rc<dyn Fn(&HttpRequest) -> HttpResponse>,
) {
    loop {
        let stream = listener.accept().await.expect("a connection");
        let answer = answer.clone();
        ex.spawn(async move {
            let handle = |call| {
                let reply = answer(&call);
                async move { reply }
            };
            serve(stream, || Micros::secs(60), handle).await
        })
        .detach();
    }
}

/// HTTP client of one controller, for a user's or a worker's requests.
pub struct User(pub Client);

impl User {
    /// Sends one request. Returns `None` if there is no response.
    async fn try_call(&self, method: Method, path: &str, body: &str) -> Option<(u16, Value)> {
        let body = (method == Method::Post).then(|| body.as_bytes().to_vec());
        let response = self.0.call(method, path, body, Micros::secs(20)).await;
        let (status, bytes) = response.ok()?;
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    }

    /// Sends one request and panics if there is no response.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> (u16, Value) {
        self.try_call(method, path, body).await.expect("a response")
    }

    /// Repeats a request until `is_expected` accepts the response, and returns the response's body. There is no timeout
    /// here: the test's own time limit applies.
    pub async fn until(
        &self,
        method: Method,
        path: &str,
        body: &str,
        is_expected: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        loop {
            if let Some((status, value)) = self.try_call(method, path, body).await
                && is_expected(status, &value)
            {
                return value;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}
