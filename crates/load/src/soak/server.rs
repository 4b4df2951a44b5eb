//! Serves HTTP connections of stand-ins.

use super::spawner::Spawner;
use ravenhead::http::{HttpRequest, HttpResponse, serve};
use ravenhead::net::Listener;
use ravenhead::units::Micros;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// How long a connection may stay idle.
const IDLE_LIMIT: Micros = Micros::secs(120);

/// Returns a loopback address with a port that is free at the moment. Clients connect from other loopback addresses.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.8.1:0")?.local_addr()
}

/// Listens on a free loopback address and answers all requests in the background.
pub(super) async fn listen<F, Fut>(spawner: &Spawner, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(HttpRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Listener::bind(SocketAddr::from(([127, 0, 8, 2], 0))).await?;
    let address = listener.local_addr()?;
    let connections = spawner.clone();
    let accept = async move {
        while let Ok(stream) = listener.accept().await {
            let handler = handler.clone();
            let connection = async move { serve(stream, || IDLE_LIMIT, handler).await };
            connections.spawn(connection).detach();
        }
    };
    spawner.spawn(accept).detach();
    Ok(address)
}
