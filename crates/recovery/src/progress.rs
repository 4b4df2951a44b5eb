//! How far a new leader is in confirming what it found recorded.

use roaring::RoaringBitmap;
use std::collections::BTreeMap;

/// How a recorded task was confirmed, or what became of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Its worker reports it as recorded.
    Agreed,
    /// Its worker reports its end.
    Ended,
    /// Its worker proved that it is not there.
    Gone,
    /// Its machine went back, with everything on it.
    MachineReturned,
}

/// What a recovery found so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Recorded tasks that their workers report.
    pub agreed: u64,
    /// Recorded tasks whose end was reported and not written.
    pub ended: u64,
    /// Recorded tasks that are proven to be off their machine.
    pub gone: u64,
    /// Recorded tasks that went with their machine.
    pub machine_returned: u64,
    /// Tasks that ran without a record and were taken over.
    pub adopted: u64,
    /// Tasks that had completed without a record.
    pub finished_unwritten: u64,
    /// Tasks without a record that were told to stop.
    pub stopped: u64,
}

/// A recovery that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Recorded tasks at its beginning.
    pub recorded: u64,
    /// What became of them, and what else was found.
    pub counts: Counts,
    /// Microseconds from its beginning to the last confirmation.
    pub took: u64,
}

/// The recorded tasks that no heartbeat, and no return of their machine, has confirmed yet.
///
/// A task whose worker has not reported is unconfirmed, which is neither agreement nor disagreement.
#[derive(Debug, Default)]
pub struct Progress {
    began: u64,
    recorded: u64,
    unconfirmed: BTreeMap<String, RoaringBitmap>,
    left: u64,
    counts: Counts,
    is_told: bool,
}

impl Progress {
    /// Begins at a time in microseconds with the recorded tasks: their jobs and numbers.
    pub fn begin<'a>(recorded: impl Iterator<Item = (&'a str, u32)>, now: u64) -> Progress {
        let mut progress = Progress {
            began: now,
            ..Progress::default()
        };
        for (job, index) in recorded {
            let tasks = progress.unconfirmed.entry(job.to_owned()).or_default();
            progress.recorded += u64::from(tasks.insert(index));
        }
        progress.left = progress.recorded;
        progress
    }

    /// A recorded task was confirmed; only the first time counts.
    pub fn resolve(&mut self, job: &str, index: u32, how: Resolution) {
        let Some(tasks) = self.unconfirmed.get_mut(job) else {
            return;
        };
        if !tasks.remove(index) {
            return;
        }
        if tasks.is_empty() {
            self.unconfirmed.remove(job);
        }
        self.left -= 1;
        let count = match how {
            Resolution::Agreed => &mut self.counts.agreed,
            Resolution::Ended => &mut self.counts.ended,
            Resolution::Gone => &mut self.counts.gone,
            Resolution::MachineReturned => &mut self.counts.machine_returned,
        };
        *count += 1;
    }

    /// A task without a record was found. Only what is found before the recovery has ended counts.
    pub fn found(&mut self, verdict: crate::UnrecordedVerdict) {
        if self.is_told {
            return;
        }
        match verdict {
            crate::UnrecordedVerdict::Adopted => self.counts.adopted += 1,
            crate::UnrecordedVerdict::FinishedUnwritten => self.counts.finished_unwritten += 1,
            v if v.is_stopped() => self.counts.stopped += 1,
            _ => {}
        }
    }

    /// Recorded tasks that are not confirmed yet.
    pub fn unconfirmed(&self) -> u64 {
        self.left
    }

    /// Whether the recovery is not ended, or its summary was not taken yet.
    pub fn is_under_way(&self) -> bool {
        !self.is_told
    }

    /// What was found so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The summary, once: as soon as nothing is unconfirmed.
    pub fn take_summary(&mut self, now: u64) -> Option<Summary> {
        if self.is_told || self.left > 0 {
            return None;
        }
        self.is_told = true;
        Some(Summary {
            recorded: self.recorded,
            counts: self.counts,
            took: now.saturating_sub(self.began),
        })
    }
}
