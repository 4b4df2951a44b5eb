//! The connections of other controllers to this one.

use super::frame::{read_frame, write_frame};
use super::messages::{Frame, PeerReply, PeerRequest};
use crate::http::timeout;
use crate::net::Stream;
use crate::units::Micros;
use std::future::Future;

/// How long an idle connection is kept open by the side that answers.
const IDLE_TIMEOUT: Micros = Micros::secs(60);

/// Serves one connection of another controller until it ends, idles too long or sends a broken frame.
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
