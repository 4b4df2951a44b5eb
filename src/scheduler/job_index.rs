//! Which jobs and tasks a round must look at, so that it does not look at all.
//!
//! Each set may hold more than it says, never less: whoever reads it checks the job or the task itself, and what is no
//! more so is dropped when it is met.

use super::ids::{JobId, TaskId};
use super::job::Job;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs with waiting tasks, jobs for which room is being made, and tasks that are being stopped.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    waiting: BTreeSet<JobId>,
    claimants: BTreeSet<JobId>,
    stopping: BTreeSet<TaskId>,
}

impl JobIndex {
    /// The number of a job's waiting tasks may have changed.
    pub(super) fn note_waiting(&mut self, job: &Job) {
        if job.waiting() == 0 {
            self.waiting.remove(&job.spec.id);
        } else if !self.waiting.contains(&job.spec.id) {
            self.waiting.insert(job.spec.id.clone());
        }
    }

    /// A job is gone.
    pub(super) fn forget(&mut self, id: &JobId) {
        self.waiting.remove(id);
        self.claimants.remove(id);
    }

    /// Jobs with waiting tasks.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &JobId> {
        self.waiting.iter()
    }

    /// How many jobs have waiting tasks.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Room is being made for a job.
    pub(super) fn note_claimant(&mut self, id: &JobId) {
        self.claimants.insert(id.clone());
    }

    /// Jobs for which room is being made.
    pub(super) fn claimants(&self) -> impl Iterator<Item = &JobId> {
        self.claimants.iter()
    }

    /// A task is being stopped.
    pub(super) fn note_stopping(&mut self, task: TaskId) {
        self.stopping.insert(task);
    }

    /// Tasks that are being stopped.
    pub(super) fn stopping(&self) -> impl Iterator<Item = &TaskId> {
        self.stopping.iter()
    }

    /// Drops what is no more so.
    pub(super) fn prune(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.claimants
            .retain(|id| jobs.get(id).is_some_and(|j| !j.claims.is_empty()));
        self.stopping.retain(|task| {
            let job = jobs.get(&task.job);
            let placement = job.and_then(|j| j.placement(task.index));
            placement.is_some_and(|p| p.stopping.is_some())
        });
    }
}
