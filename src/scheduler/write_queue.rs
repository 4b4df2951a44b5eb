//! The order in which changed chunks are written.

use super::job_spec::Priority;
use crate::ids::JobId;
use crate::units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// A chunk queued for writing. Chunks are ordered by the priority of their job, highest first, then by job id and
/// number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedChunk {
    priority: Reverse<Priority>,
    pub(super) job: JobId,
    pub(super) chunk: u32,
}

impl QueuedChunk {
    pub(super) fn new(priority: Priority, job: &JobId, chunk: u32) -> QueuedChunk {
        QueuedChunk {
            priority: Reverse(priority),
            job: job.clone(),
            chunk,
        }
    }
}

/// Chunks to write: first those of jobs that have ended, then the others in the order of [`QueuedChunk`].
///
/// Invariant: the change of a job that has ended is written before any change of a job that has not. A user is told
/// that a job is cancelled only once the removal of its placements is written. In the order of priorities, that
/// removal would never be written while changes of jobs with a higher priority use up the write rate.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    of_ended_jobs: BTreeSet<QueuedChunk>,
    of_active_jobs: BTreeSet<QueuedChunk>,
}

impl WriteQueue {
    /// Adds a chunk. `has_ended` tells whether its job has ended.
    pub(super) fn insert(&mut self, queued: QueuedChunk, has_ended: bool) {
        if has_ended {
            self.of_active_jobs.remove(&queued);
            self.of_ended_jobs.insert(queued);
        } else if !self.of_ended_jobs.contains(&queued) {
            self.of_active_jobs.insert(queued);
        }
    }

    /// Adds chunks of jobs that have not ended.
    pub(super) fn extend(&mut self, queued_chunks: Vec<QueuedChunk>) {
        for queued in queued_chunks {
            self.insert(queued, false);
        }
    }

    /// Removes and returns the chunk to write next.
    pub(super) fn pop_first(&mut self) -> Option<QueuedChunk> {
        let of_ended_job = self.of_ended_jobs.pop_first();
        of_ended_job.or_else(|| self.of_active_jobs.pop_first())
    }

    /// Returns a job that has ended and has a chunk to write, if there is one.
    pub(super) fn ended_job(&self) -> Option<&JobId> {
        self.of_ended_jobs.first().map(|queued| &queued.job)
    }

    /// Removes all chunks of a job.
    pub(super) fn remove_job(&mut self, job: &JobId, priority: Priority) {
        let first = QueuedChunk::new(priority, job, 0);
        let last = QueuedChunk::new(priority, job, u32::MAX);
        for queue in [&mut self.of_ended_jobs, &mut self.of_active_jobs] {
            let range = queue.range(first.clone()..=last.clone());
            let queued_chunks: Vec<QueuedChunk> = range.cloned().collect();
            for queued in queued_chunks {
                queue.remove(&queued);
            }
        }
    }
}

/// Chunks whose writes are deferred to be batched with others of their job, ordered by the time of their change.
///
/// Without this queue, every batch would examine each chunk of a job with 100,000 tasks again, only to find that its
/// write is still deferred.
#[derive(Debug, Default)]
pub(super) struct DeferredChunks {
    by_change: BTreeSet<(Micros, QueuedChunk)>,
    changed_at: HashMap<JobId, HashMap<u32, Micros>>,
}

impl DeferredChunks {
    /// Adds a chunk that changed at `changed_at`.
    pub(super) fn insert(&mut self, queued: QueuedChunk, changed_at: Micros) {
        let chunks = self.changed_at.entry(queued.job.clone()).or_default();
        chunks.insert(queued.chunk, changed_at);
        self.by_change.insert((changed_at, queued));
    }

    /// Removes a chunk.
    pub(super) fn remove(&mut self, queued: &QueuedChunk) {
        let Some(chunks) = self.changed_at.get_mut(&queued.job) else {
            return;
        };
        if let Some(changed_at) = chunks.remove(&queued.chunk) {
            self.by_change.remove(&(changed_at, queued.clone()));
        }
        if chunks.is_empty() {
            self.changed_at.remove(&queued.job);
        }
    }

    /// Removes and returns the chunks that changed at or before `time`.
    pub(super) fn take_until(&mut self, time: Micros) -> Vec<QueuedChunk> {
        let mut taken = Vec::new();
        while let Some((changed_at, queued)) = self.by_change.first()
            && *changed_at <= time
        {
            let queued = queued.clone();
            self.remove(&queued);
            taken.push(queued);
        }
        taken
    }

    /// Removes and returns the chunks of a job.
    pub(super) fn take_job(&mut self, job: &JobId, priority: Priority) -> Vec<QueuedChunk> {
        let chunks = self.changed_at.get(job).into_iter().flatten();
        let queued_chunks: Vec<QueuedChunk> = chunks
            .map(|(chunk, _)| QueuedChunk::new(priority, job, *chunk))
            .collect();
        for queued in &queued_chunks {
            self.remove(queued);
        }
        queued_chunks
    }
}

#[cfg(test)]
mod tests;
