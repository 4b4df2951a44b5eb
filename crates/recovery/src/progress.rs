//! Progress of a new leader in confirming the tasks that it found recorded.

use roaring::RoaringBitmap;
use std::collections::BTreeMap;

/// How a recorded task was resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Its worker reports the recorded attempt as active.
    Agreed,
    /// Its worker reports that it ended.
    Ended,
    /// A heartbeat of its worker proves that it is not on the machine.
    Gone,
    /// Its machine was terminated, which ended all tasks on it.
    MachineTerminated,
}

/// Numbers of tasks that a recovery has resolved so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Recorded tasks whose worker reports the recorded attempt as active.
    pub agreed: u64,
    /// Recorded tasks whose end was reported but not recorded.
    pub ended: u64,
    /// Recorded tasks that are proven not to be on their machine.
    pub gone: u64,
    /// Recorded tasks whose machine was terminated. Logged as `machine_returned`.
    pub machine_returned: u64,
    /// Tasks that ran without a recorded placement and were adopted.
    pub adopted: u64,
    /// Tasks that completed without a recorded placement and are recorded as finished.
    pub finished_unwritten: u64,
    /// Tasks without a recorded placement that are being stopped.
    pub stopped: u64,
}

/// Summary of a completed recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Number of recorded tasks when the recovery started.
    pub recorded: u64,
    /// Numbers of resolved tasks, with and without a recorded placement.
    pub counts: Counts,
    /// Time from the start of the recovery until the summary was taken, in microseconds.
    pub duration_us: u64,
}

/// The recorded tasks that neither a heartbeat nor the termination of their machine has resolved yet.
///
/// A task whose worker has not sent a heartbeat is unconfirmed: that is evidence neither for nor against the record.
#[derive(Debug, Default)]
pub struct Progress {
    started_at: u64,
    recorded: u64,
    unconfirmed: BTreeMap<String, RoaringBitmap>,
    unconfirmed_count: u64,
    counts: Counts,
    summary_taken: bool,
}

impl Progress {
    /// Starts a recovery at time `now`, in microseconds, with all recorded tasks as pairs of job id and task index.
    pub fn begin<'a>(recorded: impl Iterator<Item = (&'a str, u32)>, now: u64) -> Progress {
        let mut progress = Progress {
            started_at: now,
            ..Progress::default()
        };
        for (job, index) in recorded {
            let tasks = progress.unconfirmed.entry(job.to_owned()).or_default();
            progress.recorded += u64::from(tasks.insert(index));
        }
        progress.unconfirmed_count = progress.recorded;
        progress
    }

    /// Marks a recorded task as resolved. Only the first resolution of a task is counted.
    pub fn resolve(&mut self, job: &str, index: u32, resolution: Resolution) {
        let Some(tasks) = self.unconfirmed.get_mut(job) else {
            return;
        };
        if !tasks.remove(index) {
            return;
        }
        if tasks.is_empty() {
            self.unconfirmed.remove(job);
        }
        self.unconfirmed_count -= 1;
        let count = match resolution {
            Resolution::Agreed => &mut self.counts.agreed,
            Resolution::Ended => &mut self.counts.ended,
            Resolution::Gone => &mut self.counts.gone,
            Resolution::MachineTerminated => &mut self.counts.machine_returned,
        };
        *count += 1;
    }

    /// Counts a task that was reported without a recorded placement, unless the summary was taken already.
    pub fn count_unrecorded(&mut self, verdict: crate::UnrecordedVerdict) {
        if self.summary_taken {
            return;
        }
        match verdict {
            crate::UnrecordedVerdict::Adopted => self.counts.adopted += 1,
            crate::UnrecordedVerdict::FinishedUnwritten => self.counts.finished_unwritten += 1,
            v if v.is_stopped() => self.counts.stopped += 1,
            _ => {}
        }
    }

    /// Returns the number of recorded tasks that are not resolved yet.
    pub fn unconfirmed(&self) -> u64 {
        self.unconfirmed_count
    }

    /// Returns whether the recovery is in progress, which it is until its summary is taken.
    pub fn is_in_progress(&self) -> bool {
        !self.summary_taken
    }

    /// Returns the numbers of tasks resolved so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the summary once all recorded tasks are resolved. Returns `None` before that and on every later call.
    pub fn take_summary(&mut self, now: u64) -> Option<Summary> {
        if self.summary_taken || self.unconfirmed_count > 0 {
            return None;
        }
        self.summary_taken = true;
        Some(Summary {
            recorded: self.recorded,
            counts: self.counts,
            duration_us: now.saturating_sub(self.started_at),
        })
    }
}
