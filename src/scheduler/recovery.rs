//! Progress of a new leader's recovery: counts and logs which recorded placements are confirmed.
//!
//! The comparison itself is part of handling heartbeats (`reconciliation`) and uses `ravenhead-recovery`.

use super::events::SchedulerEvent;
use super::{Scheduler, live_tasks};
use crate::ids::TaskId;
use crate::units::Micros;
use ravenhead_recovery::{Progress, Resolution, UnrecordedVerdict};

/// Interval at which progress is logged.
const PROGRESS_INTERVAL: Micros = Micros::secs(10);

/// A recovery in progress.
#[derive(Debug)]
pub(super) struct Recovery {
    progress: Progress,
    logged_at: Micros,
}

impl Scheduler {
    /// Starts to count confirmations of the recorded placements, if the recovery report is enabled.
    pub fn begin_recovery(&mut self, now: Micros) {
        if !self.config.recovery_report {
            return;
        }
        let recorded = self.jobs.iter().flat_map(|(id, job)| {
            let placed = live_tasks(job);
            placed.map(|(index, _)| (id.0.as_str(), index))
        });
        let progress = Progress::begin(recorded, now.0);
        self.events.push(SchedulerEvent::RecoveryStarted {
            token: self.token,
            recorded: progress.unconfirmed(),
        });
        self.recovery = Some(Recovery {
            progress,
            logged_at: now,
        });
    }

    /// Records that a placement is confirmed or known to be gone.
    pub(super) fn confirm(&mut self, task: &TaskId, resolution: Resolution) {
        if let Some(recovery) = &mut self.recovery {
            recovery
                .progress
                .resolve(&task.job.0, task.index, resolution);
        }
    }

    /// Counts a reported task that has no recorded placement.
    pub(super) fn count_unrecorded(&mut self, verdict: UnrecordedVerdict) {
        if let Some(recovery) = &mut self.recovery {
            recovery.progress.found(verdict);
        }
    }

    /// Logs the progress of the recovery or, once it is complete, its summary.
    pub(super) fn report_recovery(&mut self, now: Micros) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if let Some(summary) = recovery.progress.take_summary(now.0) {
            self.events.push(SchedulerEvent::RecoveryCompleted {
                token: self.token,
                recorded: summary.recorded,
                after: Micros(summary.took),
                counts: summary.counts,
            });
            self.recovery = None;
        } else if now.since(recovery.logged_at) >= PROGRESS_INTERVAL {
            recovery.logged_at = now;
            self.events.push(SchedulerEvent::RecoveryProgress {
                token: self.token,
                unconfirmed: recovery.progress.unconfirmed(),
                counts: recovery.progress.counts(),
            });
        }
    }
}
