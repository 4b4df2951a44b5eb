//! Which questions of users are answered, and why others are not.

use crate::metrics::{Counter, ReasonCounter};
use crate::scheduler::JobId;
use crate::store::BarrierFailure;
use crate::units::Micros;
use log::warn;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;

/// Time after which a job about which no question was answered is reported in the log.
const UNANSWERED_LIMIT: Micros = Micros::secs(60);
/// Time without a question after which a job is no longer watched: its user asks another controller, or not any more.
const QUESTION_INTERVAL_LIMIT: Micros = Micros::secs(30);
/// Maximum number of jobs that are watched.
const MAX_WATCHED_JOBS: usize = 10_000;

/// Why a request of a user is answered 503.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Unavailable {
    /// The read barrier did not pass, so the view may lack what another controller has answered from.
    Barrier(BarrierFailure),
    /// Stored state was lost and is being rebuilt.
    Rebuilding,
    /// The job is cancelled, but its tasks are not proven to be off their machines.
    CancellationUnproven,
    /// The outcome of a submission or cancellation is not certain, or it was not sent in time.
    CommitUncertain,
    /// The view does not show a committed cancellation yet.
    CommitNotVisible,
    /// A job that exists is not in the view.
    JobNotVisible,
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unavailable::Barrier(failure) => failure.fmt(f),
            Unavailable::Rebuilding => f.write_str("rebuilding"),
            Unavailable::CancellationUnproven => f.write_str("cancellation_unproven"),
            Unavailable::CommitUncertain => f.write_str("commit_uncertain"),
            Unavailable::CommitNotVisible => f.write_str("commit_not_visible"),
            Unavailable::JobNotVisible => f.write_str("job_not_visible"),
        }
    }
}

/// A job whose questions are not answered.
struct Unanswered {
    since: Micros,
    last_question_at: Micros,
    is_logged: bool,
}

/// Counts answers to users for the log, and reports jobs about which no question is answered.
#[derive(Default)]
pub struct AnswerStats {
    /// Questions, submissions and cancellations that were answered.
    pub answered: Counter,
    /// Questions, submissions and cancellations that were answered 503.
    pub(super) unavailable: ReasonCounter<Unavailable>,
    unanswered: RefCell<HashMap<JobId, Unanswered>>,
}

impl AnswerStats {
    /// Returns the numbers of requests that were answered 503, by reason, and starts again without any.
    pub fn take_unavailable(&self) -> impl fmt::Display + use<> {
        self.unavailable.take()
    }

    /// Records that a question about a job was answered.
    pub(super) fn record_answer(&self, job: &JobId) {
        self.answered.increment();
        self.unanswered.borrow_mut().remove(job);
    }

    /// Records that a question about a job was not answered, and reports the job if none was for
    /// [`UNANSWERED_LIMIT`].
    pub(super) fn record_unavailable(&self, job: &JobId, reason: Unavailable, now: Micros) {
        self.unavailable.increment(reason);
        let mut unanswered = self.unanswered.borrow_mut();
        if unanswered.len() >= MAX_WATCHED_JOBS {
            unanswered.retain(|_, u| now.since(u.last_question_at) < QUESTION_INTERVAL_LIMIT);
        }
        if unanswered.len() >= MAX_WATCHED_JOBS {
            return;
        }
        let entry = unanswered.entry(job.clone()).or_insert(Unanswered {
            since: now,
            last_question_at: now,
            is_logged: false,
        });
        if now.since(entry.last_question_at) >= QUESTION_INTERVAL_LIMIT {
            entry.since = now;
        }
        entry.last_question_at = now;
        let waited = now.since(entry.since);
        if waited >= UNANSWERED_LIMIT && !entry.is_logged {
            entry.is_logged = true;
            warn!("event=question_unanswered job={job} for={waited} reason={reason}");
        }
    }
}

#[cfg(test)]
mod tests;
