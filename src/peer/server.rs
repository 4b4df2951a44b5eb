//! The server side of the protocol between controllers.

use super::frame::{read_frame, write_frame};
use super::messages::{Frame, PeerReply, PeerRequest};
use crate::futures::timeout;
use crate::net::Stream;
use crate::units::Micros;
use std::future::Future;

/// How long the server keeps an idle connection open.
const IDLE_TIMEOUT: Micros = Micros::secs(60);

/// Serves one connection of another controller until it is closed, is idle too long or sends an invalid frame.
pub async fn serve<F, Fut>(mut stream: Stream, handle: F)
where
    F: Fn(Frame<PeerRequest>) -> Fut,
    Fut: Future<Output = Frame<PeerReply>>,
{
    while let Some(Ok(frame)) = timeout(IDLE_TIMEOUT, read_frame(&mut stream)).await {
        let reply = handle(frame).await;
        if !matches!(
            timeout(IDLE_TIMEOUT, write_frame(&mut stream, &reply)).await,
            Some(Ok(()))
        ) {
            return;
        }
    }
}
