//! Commits batches of the scheduler's writes as transactions that are conditional on the leader key, and retries each
//! until its outcome is certain.

use super::RETRY_PAUSE;
use crate::clock::{Clock, sleep};
use crate::kv::{Change, Condition, KvClient, KvError, Lookup, Outcome, Urgency};
use crate::revision::Revision;
use crate::scheduler::{JobEnd, JobId, JobOutcome, Write};
use crate::store::{StateCache, StoreKey, encode};
use crate::term::{LeaderTerm, TermEnd};
use log::{debug, info, warn};
use serde_json::Value;
use std::collections::BTreeMap;

/// Commits the write batches of a leader term.
pub(super) struct BatchWriter<'a> {
    pub(super) clock: Clock,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) term: &'a LeaderTerm,
}

/// A batch that is being written, with the state that its transmissions share.
struct PendingBatch<'b> {
    batch: &'b [Write],
    /// The Unix time in microseconds that is stored in its records.
    at: u64,
    /// Whether a transmission got no answer, so that it may have been applied or may still be.
    is_uncertain: bool,
}

impl BatchWriter<'_> {
    /// Writes a batch, retrying until its outcome is certain.
    ///
    /// # Errors
    ///
    /// Returns the reason why the term ends, if a conflict or the key-value store's answer requires that.
    pub(super) async fn write(&self, batch: &[Write]) -> Result<(), TermEnd> {
        let mut pending = PendingBatch {
            batch,
            at: self.clock.unix_time(),
            is_uncertain: false,
        };
        let transaction = Transaction::new(self.term.leader_condition(), batch, pending.at);
        let Transaction {
            conditions,
            changes,
        } = &transaction;
        loop {
            let (outcome, was_retransmitted) =
                self.kv.txn_with_retransmit(conditions, changes).await;
            pending.is_uncertain |= was_retransmitted;
            match outcome {
                Ok(Outcome::Applied(revision)) => {
                    self.store.mark_reachable();
                    self.store.record_commits(revision, changes);
                    self.on_applied(batch, revision);
                    return Ok(());
                }
                Ok(Outcome::Conflict(failed)) => {
                    self.store.mark_reachable();
                    return self.resolve_conflict(&pending, &failed).await;
                }
                Err(KvError::Refused(e)) => debug!("event=write_refused error={e:?}"),
                Err(e @ (KvError::Malformed(_) | KvError::LeaseNotFound | KvError::Compacted)) => {
                    warn!("event=write_failed error={:?}", e.to_string());
                    return Err(TermEnd::WriteRejected);
                }
                Err(KvError::Unknown(e)) => {
                    debug!("event=write_unanswered error={e:?}");
                    pending.is_uncertain = true;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Tells the scheduler that a batch was applied at a revision, so that the tasks it places may be started.
    fn on_applied(&self, batch: &[Write], revision: Revision) {
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_applied(batch, revision);
        for write in batch {
            if let Write::Done { job, tasks } | Write::DoneAndRemove { job, tasks, .. } = write {
                info!("event=job_done job={job} tasks={tasks}");
            }
        }
    }

    /// Handles a conflict: the term has ended, a job of the batch had ended, or an earlier transmission was applied.
    async fn resolve_conflict(
        &self,
        pending: &PendingBatch<'_>,
        failed: &[String],
    ) -> Result<(), TermEnd> {
        if failed.contains(&StoreKey::Leader.to_string()) {
            return Err(TermEnd::LeaderKeyChanged);
        }
        if pending.is_uncertain
            && let Some(revision) = self.find_applied_revision(pending).await?
        {
            self.on_applied(pending.batch, revision);
            return Ok(());
        }
        let ended: Vec<JobId> = pending
            .batch
            .iter()
            .filter_map(Write::job)
            .filter(|job| failed.contains(&end_key(job).to_string()))
            .cloned()
            .collect();
        if ended.is_empty() {
            // Only this leader writes these keys during its term, so the scheduler's state is wrong. Ending the term
            // rebuilds it from the view.
            warn!("event=unexpected_conflict keys={failed:?}");
            return Err(TermEnd::UnexpectedConflict);
        }
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_not_applied(pending.batch);
        for job in ended {
            scheduler.on_job_already_ended(&job);
        }
        Ok(())
    }

    /// Returns the revision at which an earlier, unanswered transmission of the batch was applied, or `None` if it was
    /// not.
    async fn find_applied_revision(
        &self,
        pending: &PendingBatch<'_>,
    ) -> Result<Option<Revision>, TermEnd> {
        let Some(first_write) = pending.batch.first() else {
            return Ok(None);
        };
        let (key, expected) = first_change(first_write, pending.at);
        let key = key.to_string();
        loop {
            match self.kv.get(Urgency::Now, &key).await {
                Ok(Lookup::Found(item)) => {
                    return Ok((Some(item.value) == expected).then_some(item.version));
                }
                Ok(Lookup::Absent { revision }) => {
                    return Ok(expected.is_none().then_some(revision));
                }
                Err(KvError::Refused(_) | KvError::Unknown(_)) => {
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => return Err(TermEnd::ReadRejected),
            }
        }
    }
}

/// The conditions and changes into which a batch is translated.
struct Transaction {
    conditions: Vec<Condition>,
    changes: Vec<Change>,
}

impl Transaction {
    fn new(leader: Condition, batch: &[Write], at: u64) -> Transaction {
        let mut builder = TransactionBuilder::default();
        builder.versions.insert(leader.key, leader.version);
        for write in batch {
            builder.add(write, at);
        }
        let versions = builder.versions.into_iter();
        Transaction {
            conditions: versions
                .map(|(key, version)| Condition { key, version })
                .collect(),
            changes: builder.changes,
        }
    }
}

/// Collects the changes of a transaction, and the versions that its conditions require.
#[derive(Default)]
struct TransactionBuilder {
    /// Required version by key; several writes may be conditional on the same key.
    versions: BTreeMap<String, Revision>,
    changes: Vec<Change>,
}

impl TransactionBuilder {
    fn add(&mut self, write: &Write, at: u64) {
        match write {
            Write::Chunk {
                job,
                chunk,
                record,
                version,
                has_new_placements,
            } => {
                let key = chunk_key(job, *chunk);
                self.require(&key, *version);
                if *has_new_placements {
                    self.require(&end_key(job), Revision::NONE);
                }
                self.changes.push(key.put(record));
            }
            Write::Done { job, tasks } => self.add_end(job, *tasks, at),
            Write::DoneAndRemove {
                job,
                tasks,
                version,
            } => {
                self.add_end(job, *tasks, at);
                self.delete_only_chunk(job, *version);
                self.changes.push(job_key(job).delete());
            }
            Write::Images { machine, images } => {
                let key = StoreKey::Images(machine.clone());
                let change = images.as_ref().map(|images| key.put(images));
                self.changes.push(change.unwrap_or_else(|| key.delete()));
            }
            Write::Remove {
                job,
                chunks,
                is_last,
            } => self.delete_chunks(job, chunks, *is_last),
        }
    }

    /// Deletes the only chunk of a small job, if that chunk was ever written.
    fn delete_only_chunk(&mut self, job: &JobId, version: Revision) {
        let key = chunk_key(job, 0);
        self.require(&key, version);
        if version > Revision::NONE {
            self.changes.push(key.delete());
        }
    }

    /// Deletes chunks of an ended job, given by number and version, and the job's submission record with the last of
    /// them.
    fn delete_chunks(&mut self, job: &JobId, chunks: &[(u32, Revision)], is_last: bool) {
        for (chunk, version) in chunks {
            let key = chunk_key(job, *chunk);
            self.require(&key, *version);
            self.changes.push(key.delete());
        }
        if is_last {
            self.changes.push(job_key(job).delete());
        }
    }

    /// Adds the end record of a completed job, on condition that the job has not ended before.
    fn add_end(&mut self, job: &JobId, tasks: u32, at: u64) {
        let key = end_key(job);
        self.require(&key, Revision::NONE);
        self.changes.push(key.put(&done_record(tasks, at)));
    }

    fn require(&mut self, key: &StoreKey, version: Revision) {
        self.versions.insert(key.to_string(), version);
    }
}

/// Returns the key of a write's first change and its value after the change, `None` where the key is deleted.
fn first_change(write: &Write, at: u64) -> (StoreKey, Option<Value>) {
    match write {
        Write::Chunk {
            job, chunk, record, ..
        } => (chunk_key(job, *chunk), Some(encode(record))),
        Write::Done { job, tasks } | Write::DoneAndRemove { job, tasks, .. } => {
            (end_key(job), Some(encode(&done_record(*tasks, at))))
        }
        Write::Images { machine, images } => (
            StoreKey::Images(machine.clone()),
            images.as_ref().map(encode),
        ),
        Write::Remove { job, chunks, .. } => match chunks.first() {
            Some((chunk, _)) => (chunk_key(job, *chunk), None),
            None => (job_key(job), None),
        },
    }
}

fn job_key(job: &JobId) -> StoreKey {
    StoreKey::Job(job.clone())
}

fn end_key(job: &JobId) -> StoreKey {
    StoreKey::JobEnd(job.clone())
}

fn chunk_key(job: &JobId, chunk: u32) -> StoreKey {
    let job = job.clone();
    StoreKey::Chunk { job, chunk }
}

fn done_record(tasks: u32, at: u64) -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Done,
        at,
        done: tasks,
    }
}
