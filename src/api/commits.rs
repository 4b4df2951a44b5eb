//! Commits of users' requests: submissions and cancellations.

mod limiter;

use crate::clock::{Clock, sleep};
use crate::futures::timeout;
use crate::kv::{Change, Condition, KvClient, KvError, Outcome};
use crate::metrics::Counter;
use crate::store::StateCache;
use crate::units::Micros;
use limiter::CommitLimiter;
use log::debug;
use std::rc::Rc;

/// Time during which a commit is tried, its wait for others included.
const COMMIT_TIMEOUT: Micros = Micros::millis(1_500);
/// Pause before a commit without a certain outcome is sent again.
const COMMIT_RETRY_INTERVAL: Micros = Micros::millis(60);

/// Counters of the commits, for the log.
#[derive(Default)]
pub struct CommitStats {
    /// Commits with a certain outcome.
    pub completed: Counter,
    /// Commits that the key-value store refused.
    pub refused: Counter,
}

/// Commits the transactions of users' requests.
///
/// Invariant: when the key-value store refuses commits, fewer of them are sent, however many users wait. The requests
/// that every answer depends on, such as lease renewals, watches and read barriers, compete with them for the store's
/// request rate.
pub struct UserCommits {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    limiter: CommitLimiter,
    /// Counters for the log.
    pub stats: CommitStats,
}

impl UserCommits {
    /// Creates the commits of a controller that has not sent any.
    pub fn new(kv: Rc<KvClient>, store: Rc<StateCache>) -> UserCommits {
        UserCommits {
            clock: Clock,
            kv,
            store,
            limiter: CommitLimiter::new(),
            stats: CommitStats::default(),
        }
    }

    /// Returns the number of commits that wait until they may be sent.
    pub fn waiting(&self) -> usize {
        self.limiter.waiting()
    }

    /// Returns the number of commits that may be in flight.
    pub fn window(&self) -> usize {
        self.limiter.window()
    }

    /// Commits a transaction with retries; returns `None` if there is no certain outcome in time.
    ///
    /// An attempt without a response may have been applied, or may still be applied later. Retrying the same
    /// transaction then fails on the key that the first attempt wrote, which the caller treats as "already exists".
    pub(super) async fn commit(
        &self,
        conditions: &[Condition],
        writes: &[Change],
    ) -> Option<Outcome> {
        let deadline = self.clock.now() + COMMIT_TIMEOUT;
        let losses_before = self.store.losses_found();
        loop {
            let remaining = deadline.since(self.clock.now());
            let permit = timeout(remaining, self.limiter.acquire()).await?;
            let result = self.kv.txn_with_retransmit(conditions, writes).await.0;
            match result {
                // The committed write may already be lost, so the user has to retry.
                Ok(_) if self.kv.has_evidence() || self.store.losses_found() != losses_before => {
                    return None;
                }
                Ok(outcome) => {
                    permit.complete();
                    self.stats.completed.increment();
                    self.store.mark_reachable();
                    return Some(outcome);
                }
                Err(KvError::Refused(e)) => {
                    permit.refuse();
                    self.stats.refused.increment();
                    debug!("event=commit_refused error={e:?}");
                }
                Err(e) => {
                    drop(permit);
                    debug!("event=commit_unanswered error={e}");
                    sleep(COMMIT_RETRY_INTERVAL).await;
                }
            }
            if self.clock.now() >= deadline || !self.store.reachable() {
                return None;
            }
        }
    }
}
