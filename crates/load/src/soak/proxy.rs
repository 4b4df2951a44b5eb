//! Connections from one controller to another, which can be cut. What is sent meanwhile is held back and delivered
//! afterwards.

use super::spawner::Spawner;
use async_io::Timer;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use ravenhead::net::{Listener, Stream};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a cut connection is looked at again.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to `target` until it is dropped with the executor; `is_cut` holds them back. Returns the address
/// to connect to.
pub(super) async fn listen(
    spawner: &Spawner,
    target: SocketAddr,
    is_cut: Rc<Cell<bool>>,
) -> io::Result<SocketAddr> {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 8, 3], 0))).await?;
    let address = listener.local_addr()?;
    let connections = spawner.clone();
    let accept = async move {
        while let Ok(client) = listener.accept().await {
            let is_cut = is_cut.clone();
            connections.spawn(forward(client, target, is_cut)).detach();
        }
    };
    spawner.spawn(accept).detach();
    Ok(address)
}

async fn forward(client: Stream, target: SocketAddr, is_cut: Rc<Cell<bool>>) {
    wait_until_open(&is_cut).await;
    let Ok(server) = Stream::connect(target).await else {
        return;
    };
    let requests = copy(client.clone(), server.clone(), &is_cut);
    let replies = copy(server, client, &is_cut);
    future::or(requests, replies).await;
}

async fn wait_until_open(is_cut: &Cell<bool>) {
    while is_cut.get() {
        Timer::after(CUT_CHECK_INTERVAL).await;
    }
}

async fn copy(mut from: Stream, mut to: Stream, is_cut: &Cell<bool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(bytes) = from.read(&mut buffer).await else {
            return;
        };
        wait_until_open(is_cut).await;
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
