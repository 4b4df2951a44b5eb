//! Future combinators: a timeout, and concurrent execution of several futures.

use crate::clock::sleep;
use crate::units::Micros;
use futures_lite::{FutureExt, future};
use std::future::Future;
use std::task::Poll;

/// Runs `work` for at most `limit`. Returns its output, or `None` if it did not complete in time; `work` is then
/// dropped.
pub async fn timeout<T>(limit: Micros, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            sleep(limit).await;
            None
        })
        .await
}

/// Runs the futures concurrently and returns their outputs in the order of `work`.
pub async fn join_all<T>(work: Vec<impl Future<Output = T>>) -> Vec<T> {
    let mut tasks: Vec<_> = work.into_iter().map(|w| (Box::pin(w), None)).collect();
    future::poll_fn(|cx| {
        for (work, output) in tasks.iter_mut().filter(|(_, output)| output.is_none()) {
            if let Poll::Ready(value) = work.as_mut().poll(cx) {
                *output = Some(value);
            }
        }
        if tasks.iter().any(|(_, output)| output.is_none()) {
            return Poll::Pending;
        }
        let outputs = tasks.iter_mut().filter_map(|(_, output)| output.take());
        Poll::Ready(outputs.collect())
    })
    .await
}
