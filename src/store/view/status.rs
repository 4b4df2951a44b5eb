//! The job status returned by the user API.

use super::View;
use crate::scheduler::{JobEnd, JobId, JobOutcome};
use serde::Serialize;

/// Status of a job that has not ended and has no task placed on a machine.
pub const PENDING: &str = "pending";
/// Status of a job with at least one task placed on a machine.
pub const RUNNING: &str = "running";
/// Status of a job whose tasks have all completed.
pub const DONE: &str = "done";
/// Status of a cancelled job.
pub const ABORTED: &str = "aborted";

/// The status of a job in the user API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobStatus {
    /// The id of the job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// [`PENDING`], [`RUNNING`], [`DONE`] or [`ABORTED`].
    pub status: &'static str,
    /// Number of tasks completed.
    pub done: u32,
    /// Number of tasks placed on machines.
    pub running: u32,
}

impl View {
    /// Returns the status of a job, or `None` if the view does not contain the job.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        match self.end(id) {
            Some(end) => Some(ended_status(id, end)),
            None if self.jobs.contains_key(id) => Some(self.active_status(id)),
            None => None,
        }
    }

    /// Returns the status of an accepted job that has not ended.
    fn active_status(&self, id: &JobId) -> JobStatus {
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

fn ended_status(id: &JobId, end: JobEnd) -> JobStatus {
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
