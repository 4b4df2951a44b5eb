//! Real sockets on loopback: listeners, stand-ins that answer from a function, and users.

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

/// A listener on a loopback address of its own.
///
/// Guards against a controller that can't listen again, as a connection that was opened meanwhile has its port: those begin at
/// 127.0.0.1.
pub async fn listen() -> (Listener, SocketAddr) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed) + (std::process::id() << 8);
    let [_, a, b, c] = next.to_be_bytes();
    let own = SocketAddr::from(([127, a | 1, b, c], 0));
    let listener = Listener::bind(own).await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    (listener, addr)
}

/// Serves a listener by a function.
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

/// A user, or a worker, of one controller.
pub struct User(pub Client);

impl User {
    /// Asks once; nothing where no answer came.
    async fn try_call(&self, method: Method, path: &str, body: &str) -> Option<(u16, Value)> {
        let body = (method == Method::Post).then(|| body.as_bytes().to_vec());
        let answer = self.0.call(method, path, body, Micros::secs(20)).await;
        let (status, bytes) = answer.ok()?;
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    }

    /// Asks once; there must be an answer.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> (u16, Value) {
        self.try_call(method, path, body).await.expect("an answer")
    }

    /// Asks until the answer is this one; the test's own time limit ends a wait that never would.
    pub async fn until(
        &self,
        method: Method,
        path: &str,
        body: &str,
        good: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        loop {
            if let Some((status, value)) = self.try_call(method, path, body).await
                && good(status, &value)
            {
                return value;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}
