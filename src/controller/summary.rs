//! The periodic summary of a controller's counters in the log.

use super::Controller;
use crate::clock::Clock;
use crate::units::Micros;
use log::info;
use std::cell::Cell;

/// Time between two summaries.
const SUMMARY_INTERVAL: Micros = Micros::secs(10);

/// Decides when the next summary is due.
pub(super) struct SummarySchedule {
    last_at: Cell<Micros>,
}

impl SummarySchedule {
    pub(super) fn new(now: Micros) -> SummarySchedule {
        SummarySchedule {
            last_at: Cell::new(now),
        }
    }

    /// Returns whether a summary is due, and if so records that it is written.
    fn take_due(&self, now: Micros) -> bool {
        let is_due = now.since(self.last_at.get()) >= SUMMARY_INTERVAL;
        if is_due {
            self.last_at.set(now);
        }
        is_due
    }
}

impl Controller {
    /// Logs what the counters show since the last summary, if the next one is due.
    pub(super) fn log_summary_if_due(&self) {
        if self.summary_schedule.take_due(Clock.now()) {
            self.log_store_summary();
            self.log_answer_summary();
        }
    }

    /// Logs who leads, what was read from the key-value store and when, and whether read barriers passed.
    fn log_store_summary(&self) {
        let store = &self.shared.store;
        let status = self.shared.membership.cluster_status();
        let leader = status.leader.as_deref().unwrap_or("none");
        let (revision, loaded) = {
            let view = store.view.borrow();
            (view.revision, view.loaded)
        };
        info!(
            "event=store_summary leader={leader} token={} leads={} reachable={} loaded={loaded} revision={revision} view_age={} listings={} failed_listings={} watches={} failed_watches={} compacted={} barriers_passed={} barriers_failed={}",
            status.token,
            status.leads,
            status.state_reachable,
            store.view_age(),
            store.stats.listings.take(),
            store.stats.failed_listings.take(),
            store.stats.watches.take(),
            store.stats.failed_watches.take(),
            store.stats.compacted_watches.take(),
            store.stats.passed_barriers.take(),
            store.stats.failed_barriers.take(),
        );
    }

    /// Logs which requests of users and workers were answered, and why others were not.
    fn log_answer_summary(&self) {
        let commits = &self.users.commits;
        info!(
            "event=answer_summary answered={} unavailable={} commits={} commits_refused={} commits_waiting={} commit_window={} heartbeats={} starts={} stops={}",
            self.users.stats.answered.take(),
            self.users.stats.take_unavailable(),
            commits.stats.completed.take(),
            commits.stats.refused.take(),
            commits.waiting(),
            commits.window(),
            self.workers.stats.responses.take(),
            self.workers.stats.starts.take(),
            self.workers.stats.stops.take(),
        );
    }
}
