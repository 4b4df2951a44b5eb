//! A job's status, as users read it.

use super::View;
use crate::scheduler::{JobEnd, JobId, JobOutcome};
use serde::Serialize;

/// The status of a job none of whose tasks is placed.
pub const PENDING: &str = "pending";
/// The status of a job with tasks on machines.
pub const RUNNING: &str = "running";
/// The status of a job that completed.
pub const DONE: &str = "done";
/// The status of a cancelled job.
pub const ABORTED: &str = "aborted";

/// A job's status in the users' interface.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// [`PENDING`], [`RUNNING`], [`DONE`] or [`ABORTED`].
    pub status: &'static str,
    /// Tasks completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl View {
    /// Returns a job's status, or nothing if this view does not know the job.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        match self.end(id) {
            Some(end) => Some(ended(id, end)),
            None if self.jobs.contains_key(id) => Some(self.unfinished(id)),
            None => None,
        }
    }

    /// The status of an accepted job that has not ended.
    fn unfinished(&self, id: &JobId) -> JobStatus {
        let (mut done, mut running) = (0, 0);
        for chunk in self.chunks.get(id).into_iter().flat_map(|c| c.values()) {
            done += chunk.value.finished.count_ones();
            running += chunk.value.live.len() as u32;
        }
        JobStatus {
            id: id.clone(),
            status: if running > 0 { RUNNING } else { PENDING },
            done,
            running,
        }
    }
}

fn ended(id: &JobId, end: JobEnd) -> JobStatus {
    let status = match end.outcome {
        JobOutcome::Done => DONE,
        JobOutcome::Aborted => ABORTED,
    };
    JobStatus {
        id: id.clone(),
        status,
        done: end.done,
        running: 0,
    }
}
