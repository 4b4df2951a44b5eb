//! Pending writes, in batches, and what follows from a batch's outcome.
//!
//! Only one batch is in flight at a time; the controller reports its outcome before it requests the next.

use super::Scheduler;
use super::job::Job;
use super::job_spec::Priority;
use super::machine::CachedImage;
use super::records::{CHUNK_SIZE, ChunkRecord};
use crate::ids::{JobId, MachineId};
use crate::revision::Revision;
use crate::units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Maximum of changes of one write, those that remove records aside.
const MAX_OPS_PER_WRITE: usize = 3;
/// Where writes are short, finishes wait so long for others of their job.
const MAX_FINISH_DELAY: Micros = Micros::secs(10);
/// Machines whose images go into one batch.
const IMAGES_PER_BATCH: usize = 4;

/// Something to be written down, conditional on the leader key.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// A chunk's record.
    Chunk {
        /// The job.
        job: JobId,
        /// The chunk's number.
        chunk: u32,
        /// Its record.
        record: ChunkRecord,
        /// The version that it replaces.
        version: Revision,
        /// Whether tasks are newly placed by it, so that the job must not be over.
        places: bool,
    },
    /// The end of a job whose tasks are all finished.
    Done {
        /// The job.
        job: JobId,
        /// Its number of tasks.
        tasks: u32,
    },
    /// The end of a job of one chunk with its last finishes, which leaves nothing else of it.
    Whole {
        /// The job.
        job: JobId,
        /// Its number of tasks.
        tasks: u32,
        /// The version of its chunk, which goes.
        version: Revision,
    },
    /// The images that a machine has, for the next leader; none: the machine is gone.
    Images {
        /// The machine.
        machine: MachineId,
        /// Its images with their sizes.
        images: Option<Vec<CachedImage>>,
    },
    /// Removal of the records of a job that has ended and has no task left.
    Forget {
        /// The job.
        job: JobId,
        /// Its chunks with their versions.
        chunks: Vec<(u32, Revision)>,
        /// Whether these are the last ones, so that the submission's record goes as well.
        whole: bool,
    },
}

impl Write {
    /// How many puts and deletes it takes.
    pub fn ops(&self) -> usize {
        match self {
            Write::Chunk { .. } | Write::Done { .. } | Write::Images { .. } => 1,
            Write::Whole { version, .. } => 2 + usize::from(*version > Revision::NONE),
            Write::Forget { chunks, whole, .. } => chunks.len() + usize::from(*whole),
        }
    }

    /// The job it concerns, if any.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Write::Chunk { job, .. }
            | Write::Done { job, .. }
            | Write::Whole { job, .. }
            | Write::Forget { job, .. } => Some(job),
            Write::Images { .. } => None,
        }
    }
}

/// A chunk's place among those to be written: by its job's priority, the highest first, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChunkPlace {
    priority: Reverse<Priority>,
    job: JobId,
    chunk: u32,
}

impl ChunkPlace {
    pub(super) fn new(priority: Priority, job: &JobId, chunk: u32) -> ChunkPlace {
        ChunkPlace {
            priority: Reverse(priority),
            job: job.clone(),
            chunk,
        }
    }
}

/// Chunks whose changes wait for others of their job, those that changed first in front.
///
/// Guards against looking at every chunk of a job of a hundred thousand tasks again for each batch, only to find that it
/// still waits.
#[derive(Debug, Default)]
pub(super) struct Deferred {
    by_change: BTreeSet<(Micros, ChunkPlace)>,
    changed_at: HashMap<JobId, HashMap<u32, Micros>>,
}

impl Deferred {
    fn insert(&mut self, place: ChunkPlace, changed_at: Micros) {
        let chunks = self.changed_at.entry(place.job.clone()).or_default();
        chunks.insert(place.chunk, changed_at);
        self.by_change.insert((changed_at, place));
    }

    /// A chunk waits no more.
    pub(super) fn remove(&mut self, place: &ChunkPlace) {
        let Some(chunks) = self.changed_at.get_mut(&place.job) else {
            return;
        };
        if let Some(changed_at) = chunks.remove(&place.chunk) {
            self.by_change.remove(&(changed_at, place.clone()));
        }
        if chunks.is_empty() {
            self.changed_at.remove(&place.job);
        }
    }

    /// The chunks that changed at or before this time wait no more.
    fn take_until(&mut self, time: Micros) -> Vec<ChunkPlace> {
        let mut taken = Vec::new();
        while let Some((changed_at, place)) = self.by_change.first()
            && *changed_at <= time
        {
            let place = place.clone();
            self.remove(&place);
            taken.push(place);
        }
        taken
    }

    /// The chunks of a job wait no more.
    fn take_job(&mut self, job: &JobId, priority: Priority) -> Vec<ChunkPlace> {
        let chunks = self.changed_at.get(job).into_iter().flatten();
        let places: Vec<ChunkPlace> = chunks
            .map(|(chunk, _)| ChunkPlace::new(priority, job, *chunk))
            .collect();
        for place in &places {
            self.remove(place);
        }
        places
    }
}

impl Scheduler {
    /// A job's changes are written as soon as can be from now on.
    pub(super) fn stop_deferring(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let places = self.deferred.take_job(id, job.spec.priority);
            self.dirty.extend(places);
        }
    }

    /// What is to be written next, at most `ops` puts and deletes and about `bytes`; where writes are `short` only what
    /// users and workers wait for.
    ///
    /// Only one batch may be in flight: its outcome must be reported before the next is requested.
    pub fn next_batch(&mut self, ops: usize, bytes: usize, short: bool) -> Vec<Write> {
        let mut batch = Vec::new();
        let mut left = ops;
        let mut size = 0;
        let waited_enough = if short {
            self.last_event_at.since(MAX_FINISH_DELAY)
        } else {
            self.last_event_at
        };
        let ready = self.deferred.take_until(waited_enough);
        self.dirty.extend(ready);
        while left >= MAX_OPS_PER_WRITE && size < bytes {
            let Some(place) = self.dirty.pop_first() else {
                break;
            };
            self.count_steps(1);
            if short && let Some(changed_at) = self.deferrable_since(&place.job, place.chunk) {
                self.deferred.insert(place, changed_at);
                continue;
            }
            let (id, number) = (place.job, place.chunk);
            if let Some(whole) = self.whole_end(&id) {
                left -= whole.ops();
                batch.push(whole);
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
            left -= 1;
            batch.push(Write::Chunk {
                places: chunk.live.values().any(|p| !p.committed),
                job: id,
                chunk: number,
                record,
                version: chunk.version,
            });
        }
        self.add_ends(&mut batch, &mut left);
        if short {
            return batch;
        }
        self.add_images(&mut batch, &mut left);
        if batch.is_empty() {
            self.add_forgets(&mut batch, left);
        }
        batch
    }

    /// Returns when a chunk changed if its write may be deferred: its job goes on, nothing is newly placed, and it is recent.
    ///
    /// Guards against the finishes of many short tasks, each written by itself, that use up the writes for which starts
    /// wait. What is not written yet is still in the workers' heartbeats, as it is not cleared before.
    fn deferrable_since(&self, id: &JobId, number: u32) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let chunk = job.chunks.get(&number)?;
        let waits = !job.ending
            && job.done < job.spec.tasks
            && chunk.live.values().all(|p| p.committed)
            && self.last_event_at.since(chunk.changed_at) < MAX_FINISH_DELAY;
        waits.then_some(chunk.changed_at)
    }

    /// The end of a job of one chunk whose tasks are all finished, with nothing left of it: three changes in place of five,
    /// as users may submit jobs of one task by the thousand.
    fn whole_end(&mut self, id: &JobId) -> Option<Write> {
        let job = self.jobs.get_mut(id)?;
        let finished = job.done == job.spec.tasks && job.live == 0;
        if !finished || job.ending || job.spec.tasks > CHUNK_SIZE {
            return None;
        }
        let chunk = job.chunks.get_mut(&0).filter(|c| c.dirty)?;
        chunk.dirty = false;
        job.ending = true;
        self.guarantees.mark_stale(&job.spec.team);
        Some(Write::Whole {
            job: id.clone(),
            tasks: job.spec.tasks,
            version: chunk.version,
        })
    }

    /// Images seen on machines, a few at a time as they matter least.
    fn add_images(&mut self, batch: &mut Vec<Write>, left: &mut usize) {
        let mut room = IMAGES_PER_BATCH.min(*left);
        while room > 0 {
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
            room -= 1;
            *left -= 1;
            batch.push(Write::Images { machine, images });
        }
    }

    /// What an earlier leader knew of a machine's images.
    pub fn inherit_images(&mut self, machine: &MachineId, images: &[CachedImage]) {
        self.known_images.insert(machine.clone(), images.to_vec());
    }

    /// Ends of jobs whose every finish is written.
    fn add_ends(&mut self, batch: &mut Vec<Write>, left: &mut usize) {
        for id in &self.finished {
            if *left == 0 {
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
                *left -= 1;
                batch.push(Write::Done {
                    job: id.clone(),
                    tasks: job.spec.tasks,
                });
            }
        }
    }

    /// Removal of what nobody needs any more, when there is nothing else to write.
    fn add_forgets(&mut self, batch: &mut Vec<Write>, ops: usize) {
        let mut left = ops;
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
            // A large job's chunks go in several steps; its own record goes last.
            let whole = chunks.len() < ops;
            chunks.truncate(ops.saturating_sub(1));
            let write = Write::Forget {
                job: id.clone(),
                chunks,
                whole,
            };
            if write.ops() > left {
                return;
            }
            left -= write.ops();
            batch.push(write);
        }
    }

    /// A batch was applied at this revision.
    pub fn batch_applied(&mut self, batch: &[Write], version: Revision) {
        for write in batch {
            match write {
                Write::Chunk {
                    job, chunk, record, ..
                } => self.chunk_applied(job, *chunk, record, version),
                Write::Done { job, .. } => {
                    self.finished.remove(job);
                }
                Write::Whole { job, .. } => {
                    self.finished.remove(job);
                    self.forget_applied(job, &[], true);
                }
                Write::Images { .. } => {}
                Write::Forget { job, chunks, whole } => self.forget_applied(job, chunks, *whole),
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

    fn forget_applied(&mut self, id: &JobId, chunks: &[(u32, Revision)], whole: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (number, _) in chunks {
            job.chunks.remove(number);
        }
        if whole && let Some(job) = self.jobs.remove(id) {
            self.guarantees.remove(&job);
            self.job_index.remove(id);
            self.terminal.remove(id);
            self.drop_changes(&job);
        }
    }

    /// Nothing of a job that is gone is written any more.
    fn drop_changes(&mut self, job: &Job) {
        let (id, priority) = (&job.spec.id, job.spec.priority);
        self.deferred.take_job(id, priority);
        let all = ChunkPlace::new(priority, id, 0)..=ChunkPlace::new(priority, id, u32::MAX);
        let places: Vec<ChunkPlace> = self.dirty.range(all).cloned().collect();
        for place in places {
            self.dirty.remove(&place);
        }
    }

    /// The end of a job was not written after all.
    fn resume_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = job.end.is_some();
            self.guarantees.mark_stale(&job.spec.team);
        }
        self.update_waiting(id);
    }

    /// A batch was certainly not applied.
    pub fn batch_dropped(&mut self, batch: &[Write]) {
        for write in batch {
            match write {
                Write::Chunk { job, chunk, .. } => {
                    self.mark_dirty(job, *chunk);
                }
                Write::Whole { job, .. } => {
                    self.resume_job(job);
                    self.mark_dirty(job, 0);
                }
                Write::Done { job, .. } => self.resume_job(job),
                Write::Images { machine, .. } => {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.written_images.clear();
                    }
                    self.unwritten_images.insert(machine.clone());
                }
                Write::Forget { .. } => {}
            }
        }
    }
}
