//! Indexes of the jobs and tasks that a scheduling cycle must examine, so that it need not examine all of them.
//!
//! Each set may contain stale entries but never lacks a valid one: readers check the job or the task itself, and drop
//! stale entries when they come across them.

use super::job::Job;
use crate::ids::{JobId, TaskId};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs with waiting tasks, jobs with pending reservations, and tasks that are being stopped.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    waiting: BTreeSet<JobId>,
    /// Jobs with waiting tasks by the time of their next retry, or an earlier time.
    retries: BTreeSet<(Micros, JobId)>,
    pending_reservations: BTreeSet<JobId>,
    stopping: BTreeSet<TaskId>,
}

impl JobIndex {
    /// Updates the index after the number of a job's waiting tasks may have changed.
    pub(super) fn update_waiting(&mut self, job: &Job) {
        if job.waiting() == 0 {
            self.waiting.remove(&job.spec.id);
        } else if !self.waiting.contains(&job.spec.id) {
            self.waiting.insert(job.spec.id.clone());
            self.schedule(job);
        }
    }

    /// Schedules a job with waiting tasks at its next retry, which may be earlier than before.
    pub(super) fn schedule(&mut self, job: &Job) {
        self.retries
            .insert((job.next_offer_at, job.spec.id.clone()));
    }

    /// Removes and returns the jobs that are due to be offered, and the number of entries examined. The caller must
    /// schedule these jobs again after offering them.
    pub(super) fn take_due(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        now: Micros,
    ) -> (BTreeSet<JobId>, usize) {
        let mut due = BTreeSet::new();
        let mut steps = 0;
        while let Some((at, _)) = self.retries.first()
            && *at <= now
            && let Some((_, id)) = self.retries.pop_first()
        {
            steps += 1;
            let Some(job) = jobs.get(&id).filter(|j| j.waiting() > 0) else {
                continue;
            };
            if job.next_offer_at > now {
                self.schedule(job);
            } else {
                due.insert(id);
            }
        }
        (due, steps)
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.waiting.remove(id);
        self.pending_reservations.remove(id);
    }

    /// Returns the jobs with waiting tasks.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &JobId> {
        self.waiting.iter()
    }

    /// Returns the number of jobs with waiting tasks.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a job with a pending reservation.
    pub(super) fn add_pending_reservation(&mut self, id: &JobId) {
        self.pending_reservations.insert(id.clone());
    }

    /// Returns the jobs with pending reservations.
    pub(super) fn pending_reservations(&self) -> impl Iterator<Item = &JobId> {
        self.pending_reservations.iter()
    }

    /// Adds a task that is being stopped.
    pub(super) fn add_stopping(&mut self, task: TaskId) {
        self.stopping.insert(task);
    }

    /// Returns the tasks that are being stopped.
    pub(super) fn stopping(&self) -> impl Iterator<Item = &TaskId> {
        self.stopping.iter()
    }

    /// Removes stale entries from the pending reservations and the tasks being stopped.
    pub(super) fn prune(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.pending_reservations
            .retain(|id| jobs.get(id).is_some_and(|j| !j.reservations.is_empty()));
        self.stopping.retain(|task| {
            let job = jobs.get(&task.job);
            let placement = job.and_then(|j| j.placement(task.index));
            placement.is_some_and(|p| p.stopping.is_some())
        });
    }
}
