//! Batches of pending writes, and how their outcomes are applied.
//!
//! Only one batch is in flight at a time: the controller reports its outcome before it requests the next one.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::job::Job;
use super::machine::CachedImage;
use super::records::{CHUNK_SIZE, ChunkRecord};
use super::write_queue::QueuedChunk;
use crate::ids::{JobId, MachineId};
use crate::revision::Revision;
use crate::units::Micros;

/// Maximum number of operations in one write, except [`Write::Remove`].
const MAX_OPS_PER_WRITE: usize = 3;
/// While writes are limited, maximum time for which the write of a finished task is delayed to batch it with others of
/// its job.
const MAX_FINISH_DELAY: Micros = Micros::secs(10);
/// Maximum number of machines whose images are written in one batch.
const IMAGES_PER_BATCH: usize = 4;

/// A change to stored state. Every write has the compare-and-set condition that the leader key is unchanged.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Writes the record of a chunk.
    Chunk {
        /// Job that the chunk belongs to.
        job: JobId,
        /// Number of the chunk within the job.
        chunk: u32,
        /// Content to be written.
        record: ChunkRecord,
        /// Version of the record that is replaced.
        version: Revision,
        /// Whether the record contains new placements. If so, the write also requires that the job has not ended.
        has_new_placements: bool,
    },
    /// Writes the end of a job whose tasks have all finished.
    Done {
        /// Job that has ended.
        job: JobId,
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// Writes the end of a job with a single chunk together with its last completions, and deletes its other records.
    DoneAndRemove {
        /// Job that has ended.
        job: JobId,
        /// Number of tasks of the job.
        tasks: u32,
        /// Version of the chunk's record, which is deleted.
        version: Revision,
    },
    /// Writes the images present on a machine, for the next leader.
    Images {
        /// Machine that has the images.
        machine: MachineId,
        /// Images with their sizes; `None` if the machine is gone and the record is to be deleted.
        images: Option<Vec<CachedImage>>,
    },
    /// Deletes records of a job that has ended and has no tasks on machines.
    Remove {
        /// Job that has ended.
        job: JobId,
        /// Numbers and versions of the chunks to delete.
        chunks: Vec<(u32, Revision)>,
        /// Whether these are the last chunks, so that the record of the submission is deleted as well.
        is_last: bool,
    },
}

impl Write {
    /// Returns the number of put and delete operations in the write.
    pub fn ops(&self) -> usize {
        match self {
            Write::Chunk { .. } | Write::Done { .. } | Write::Images { .. } => 1,
            Write::DoneAndRemove { version, .. } => 2 + usize::from(*version > Revision::NONE),
            Write::Remove {
                chunks, is_last, ..
            } => chunks.len() + usize::from(*is_last),
        }
    }

    /// Returns the job that the write concerns, if any.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Write::Chunk { job, .. }
            | Write::Done { job, .. }
            | Write::DoneAndRemove { job, .. }
            | Write::Remove { job, .. } => Some(job),
            Write::Images { .. } => None,
        }
    }
}

impl Scheduler {
    /// Moves the deferred chunks of a job to the queue for the next batches.
    pub(super) fn stop_deferring(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let queued_chunks = self.deferred.take_job(id, job.spec.priority);
            self.write_queue.extend(queued_chunks);
        }
    }

    /// Returns the next batch of writes, with at most `max_ops` put and delete operations and about `max_bytes` bytes.
    /// If `write_limited`, it contains only writes that users or workers wait for.
    ///
    /// Only one batch may be in flight: its outcome must be reported before the next one is requested.
    pub fn next_batch(
        &mut self,
        max_ops: usize,
        max_bytes: usize,
        write_limited: bool,
    ) -> Vec<Write> {
        let mut batch = Vec::new();
        let mut remaining_ops = max_ops;
        let mut size = 0;
        let latest_ready_change = if write_limited {
            self.last_event_at.since(MAX_FINISH_DELAY)
        } else {
            self.last_event_at
        };
        let ready = self.deferred.take_until(latest_ready_change);
        self.write_queue.extend(ready);
        while remaining_ops >= MAX_OPS_PER_WRITE && size < max_bytes {
            let Some(queued) = self.write_queue.pop_first() else {
                break;
            };
            self.count_steps(1);
            if write_limited
                && let Some(changed_at) = self.deferrable_since(&queued.job, queued.chunk)
            {
                self.deferred.insert(queued, changed_at);
                continue;
            }
            let (id, number) = (queued.job, queued.chunk);
            if let Some(completion) = self.completion_in_one_write(&id) {
                remaining_ops -= completion.ops();
                batch.push(completion);
                continue;
            }
            let Some(chunk) = self
                .jobs
                .get_mut(&id)
                .and_then(|j| j.chunks.get_mut(&number))
            else {
                continue;
            };
            if !chunk.dirty {
                continue;
            }
            chunk.dirty = false;
            let record = chunk.record();
            size += 200 + record.live.len() * 40;
            remaining_ops -= 1;
            batch.push(Write::Chunk {
                has_new_placements: chunk.live.values().any(|p| !p.committed),
                job: id,
                chunk: number,
                record,
                version: chunk.version,
            });
        }
        self.check_ended_jobs_first(&batch);
        self.add_completions(&mut batch, &mut remaining_ops);
        if write_limited {
            return batch;
        }
        self.add_images(&mut batch, &mut remaining_ops);
        if batch.is_empty() {
            self.add_removals(&mut batch, remaining_ops);
        }
        batch
    }

    /// Checks the invariant of [`WriteQueue`](super::write_queue::WriteQueue) for a batch: it has changes of active jobs
    /// only if no change of an ended job waits.
    fn check_ended_jobs_first(&mut self, batch: &[Write]) {
        let has_ended = |id: &JobId| self.jobs.get(id).is_none_or(|job| job.end.is_some());
        let has_active = batch.iter().filter_map(Write::job).any(|id| !has_ended(id));
        if has_active && let Some(job) = self.write_queue.ended_job().cloned() {
            debug_assert!(false, "a change of {job}, which has ended, is deferred");
            self.events.push(SchedulerEvent::EndedJobDeferred { job });
        }
    }

    /// Returns the time at which a chunk changed if its write may be deferred: its job continues, it has no new
    /// placements, and the change is recent.
    ///
    /// Without deferral, separate writes for the completions of many short tasks would use up the write rate that the
    /// starts of other tasks need. Completions that are not written yet remain in the workers' heartbeats, as they are
    /// cleared only after the write.
    fn deferrable_since(&self, id: &JobId, number: u32) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let chunk = job.chunks.get(&number)?;
        let is_deferrable = !job.ending
            && job.done < job.spec.tasks
            && chunk.live.values().all(|p| p.committed)
            && self.last_event_at.since(chunk.changed_at) < MAX_FINISH_DELAY;
        is_deferrable.then_some(chunk.changed_at)
    }

    /// Returns the write that ends a job with a single chunk and deletes its other records, or `None` if the job has
    /// more chunks or unfinished tasks. This takes three operations rather than five, which matters as users may submit
    /// thousands of jobs with one task.
    fn completion_in_one_write(&mut self, id: &JobId) -> Option<Write> {
        let job = self.jobs.get_mut(id)?;
        let finished = job.done == job.spec.tasks && job.live == 0;
        if !finished || job.ending || job.spec.tasks > CHUNK_SIZE {
            return None;
        }
        let chunk = job.chunks.get_mut(&0).filter(|c| c.dirty)?;
        chunk.dirty = false;
        job.ending = true;
        self.guarantees.mark_stale(&job.spec.team);
        Some(Write::DoneAndRemove {
            job: id.clone(),
            tasks: job.spec.tasks,
            version: chunk.version,
        })
    }

    /// Adds writes of the images on machines. They are not urgent, so each batch contains only a few.
    fn add_images(&mut self, batch: &mut Vec<Write>, remaining_ops: &mut usize) {
        let mut remaining_images = IMAGES_PER_BATCH.min(*remaining_ops);
        while remaining_images > 0 {
            let Some(machine) = self.unwritten_images.pop_first() else {
                return;
            };
            let images = match self.machines.get_mut(&machine) {
                Some(m) if m.images_are_written() => continue,
                Some(m) => {
                    m.written_images = m.image_names();
                    Some(m.images.clone())
                }
                None => None,
            };
            remaining_images -= 1;
            *remaining_ops -= 1;
            batch.push(Write::Images { machine, images });
        }
    }

    /// Takes over the images of a machine that an earlier leader recorded.
    pub fn inherit_images(&mut self, machine: &MachineId, images: &[CachedImage]) {
        self.known_images.insert(machine.clone(), images.to_vec());
    }

    /// Adds the ends of jobs for which all completions of tasks have been written.
    fn add_completions(&mut self, batch: &mut Vec<Write>, remaining_ops: &mut usize) {
        for id in &self.finished {
            if *remaining_ops == 0 {
                return;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let written: u32 = job
                .chunks
                .values()
                .map(|c| c.finished_committed.count_ones())
                .sum();
            if !job.ending && written == job.spec.tasks {
                job.ending = true;
                self.guarantees.mark_stale(&job.spec.team);
                *remaining_ops -= 1;
                batch.push(Write::Done {
                    job: id.clone(),
                    tasks: job.spec.tasks,
                });
            }
        }
    }

    /// Adds the removal of records that are no longer needed. Called only if there is nothing else to write.
    fn add_removals(&mut self, batch: &mut Vec<Write>, max_ops: usize) {
        let mut remaining_ops = max_ops;
        for id in &self.terminal {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let mut chunks: Vec<(u32, Revision)> = job
                .chunks
                .iter()
                .filter(|(_, c)| c.version > Revision::NONE)
                .map(|(n, c)| (*n, c.version))
                .collect();
            // The chunks of a large job are deleted in several steps, the record of its submission in the last one.
            let is_last = chunks.len() < max_ops;
            chunks.truncate(max_ops.saturating_sub(1));
            let write = Write::Remove {
                job: id.clone(),
                chunks,
                is_last,
            };
            if write.ops() > remaining_ops {
                return;
            }
            remaining_ops -= write.ops();
            batch.push(write);
        }
    }

    /// Applies the outcome of a batch that was written at revision `version`.
    pub fn batch_applied(&mut self, batch: &[Write], version: Revision) {
        for write in batch {
            match write {
                Write::Chunk {
                    job, chunk, record, ..
                } => self.chunk_applied(job, *chunk, record, version),
                Write::Done { job, .. } => {
                    self.finished.remove(job);
                }
                Write::DoneAndRemove { job, .. } => {
                    self.finished.remove(job);
                    self.removal_applied(job, &[], true);
                }
                Write::Images { .. } => {}
                Write::Remove {
                    job,
                    chunks,
                    is_last,
                } => self.removal_applied(job, chunks, *is_last),
            }
        }
    }

    fn chunk_applied(&mut self, id: &JobId, number: u32, record: &ChunkRecord, version: Revision) {
        let Some(chunk) = self
            .jobs
            .get_mut(id)
            .and_then(|j| j.chunks.get_mut(&number))
        else {
            return;
        };
        chunk.version = version;
        chunk.finished_committed = record.finished;
        for (i, _, attempt) in &record.live {
            if let Some(p) = chunk.live.get_mut(i)
                && p.attempt == *attempt
            {
                p.committed = true;
            }
        }
    }

    fn removal_applied(&mut self, id: &JobId, chunks: &[(u32, Revision)], is_last: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (number, _) in chunks {
            job.chunks.remove(number);
        }
        if is_last && let Some(job) = self.jobs.remove(id) {
            self.guarantees.remove(&job);
            self.job_index.remove(id);
            self.terminal.remove(id);
            self.discard_writes(&job);
        }
    }

    /// Puts the unwritten changes of a job that has ended before those of all other jobs.
    pub(super) fn expedite_writes(&mut self, id: &JobId) {
        self.stop_deferring(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for (number, _) in job.chunks.iter().filter(|(_, chunk)| chunk.dirty) {
            let queued = QueuedChunk::new(job.spec.priority, id, *number);
            self.write_queue.insert(queued, true);
        }
    }

    /// Discards the pending writes of a job that has been removed.
    fn discard_writes(&mut self, job: &Job) {
        let (id, priority) = (&job.spec.id, job.spec.priority);
        self.deferred.take_job(id, priority);
        self.write_queue.remove_job(id, priority);
    }

    /// Reverts the transition of a job to its end after the write of the end was not applied.
    fn revert_end(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = job.end.is_some();
            self.guarantees.mark_stale(&job.spec.team);
        }
        self.update_waiting(id);
    }

    /// Queues the changes of a batch again after it is known that the batch was not applied.
    pub fn batch_not_applied(&mut self, batch: &[Write]) {
        for write in batch {
            match write {
                Write::Chunk { job, chunk, .. } => {
                    self.mark_dirty(job, *chunk);
                }
                Write::DoneAndRemove { job, .. } => {
                    self.revert_end(job);
                    self.mark_dirty(job, 0);
                }
                Write::Done { job, .. } => self.revert_end(job),
                Write::Images { machine, .. } => {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.written_images.clear();
                    }
                    self.unwritten_images.insert(machine.clone());
                }
                Write::Remove { .. } => {}
            }
        }
    }
}
