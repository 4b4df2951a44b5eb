//! Batches of the scheduler's writes as transactions, each under the leader key, until their outcome is certain.

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

/// Writes the batches of a term.
pub(super) struct BatchWriter<'a> {
    pub(super) clock: Clock,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) term: &'a LeaderTerm,
}

/// A batch on its way to the state service.
struct Attempt<'b> {
    batch: &'b [Write],
    /// The time of day that its records carry.
    at: u64,
    /// Whether a try went unanswered, so that it may have been applied or may be later.
    is_uncertain: bool,
}

impl BatchWriter<'_> {
    /// Writes a batch until its outcome is certain.
    ///
    /// # Errors
    ///
    /// Returns why the term has ended, if a conflict or the state service's answer shows that it has.
    pub(super) async fn write(&self, batch: &[Write]) -> Result<(), TermEnd> {
        let mut attempt = Attempt {
            batch,
            at: self.clock.unix_time(),
            is_uncertain: false,
        };
        let transaction = Transaction::new(self.term.leader_condition(), batch, attempt.at);
        let Transaction {
            conditions,
            changes,
        } = &transaction;
        loop {
            let (outcome, was_retransmitted) =
                self.kv.txn_with_retransmit(conditions, changes).await;
            attempt.is_uncertain |= was_retransmitted;
            match outcome {
                Ok(Outcome::Applied(revision)) => {
                    self.store.mark_reachable();
                    self.store.record_commits(revision, changes);
                    self.on_applied(batch, revision);
                    return Ok(());
                }
                Ok(Outcome::Conflict(failed)) => {
                    self.store.mark_reachable();
                    return self.resolve_conflict(&attempt, &failed).await;
                }
                Err(KvError::Refused(e)) => debug!("event=write_refused error={e:?}"),
                Err(e @ (KvError::Malformed(_) | KvError::LeaseNotFound | KvError::Compacted)) => {
                    warn!("event=write_failed error={:?}", e.to_string());
                    return Err(TermEnd::WriteRejected);
                }
                Err(KvError::Unknown(e)) => {
                    debug!("event=write_unanswered error={e:?}");
                    attempt.is_uncertain = true;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// A batch was applied at this revision: what it placed may be started now.
    fn on_applied(&self, batch: &[Write], revision: Revision) {
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_applied(batch, revision);
        for write in batch {
            if let Write::Done { job, tasks } | Write::DoneAndRemove { job, tasks, .. } = write {
                info!("event=job_done job={job} tasks={tasks}");
            }
        }
    }

    /// A batch met a conflict: the term has ended, a job had ended, or an earlier try had been applied after all.
    async fn resolve_conflict(
        &self,
        attempt: &Attempt<'_>,
        failed: &[String],
    ) -> Result<(), TermEnd> {
        if failed.contains(&StoreKey::Leader.to_string()) {
            return Err(TermEnd::LeaderKeyChanged);
        }
        if attempt.is_uncertain
            && let Some(revision) = self.find_applied_revision(attempt).await?
        {
            self.on_applied(attempt.batch, revision);
            return Ok(());
        }
        let ended: Vec<JobId> = attempt
            .batch
            .iter()
            .filter_map(Write::job)
            .filter(|job| failed.contains(&end_key(job).to_string()))
            .cloned()
            .collect();
        if ended.is_empty() {
            // Nobody else writes these keys under this token: the picture is wrong and is built anew.
            warn!("event=unexpected_conflict keys={failed:?}");
            return Err(TermEnd::UnexpectedConflict);
        }
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_not_applied(attempt.batch);
        for job in ended {
            scheduler.on_job_already_ended(&job);
        }
        Ok(())
    }

    /// Returns the revision at which a batch was applied of which a try went unanswered, if it was.
    async fn find_applied_revision(
        &self,
        attempt: &Attempt<'_>,
    ) -> Result<Option<Revision>, TermEnd> {
        let Some(first) = attempt.batch.first() else {
            return Ok(None);
        };
        let (key, expected) = first_write(first, attempt.at);
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

/// The conditions and changes of a batch.
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

/// Collects a transaction's changes, and the version that each key in its conditions must have.
#[derive(Default)]
struct TransactionBuilder {
    /// One version for each key, as several writes may be conditional on the same one.
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
            } => self.forget(job, chunks, *is_last),
        }
    }

    /// Removes the one chunk of a small job, which may never have been written.
    fn delete_only_chunk(&mut self, job: &JobId, version: Revision) {
        let key = chunk_key(job, 0);
        self.require(&key, version);
        if version > Revision::NONE {
            self.changes.push(key.delete());
        }
    }

    /// Removes chunks of a job that has ended, by number and version, and with the last of them its submission.
    fn forget(&mut self, job: &JobId, chunks: &[(u32, Revision)], is_last: bool) {
        for (chunk, version) in chunks {
            let key = chunk_key(job, *chunk);
            self.require(&key, *version);
            self.changes.push(key.delete());
        }
        if is_last {
            self.changes.push(job_key(job).delete());
        }
    }

    /// Adds the end of a job that is done, which must not have ended before.
    fn add_end(&mut self, job: &JobId, tasks: u32, at: u64) {
        let key = end_key(job);
        self.require(&key, Revision::NONE);
        self.changes.push(key.put(&done_record(tasks, at)));
    }

    fn require(&mut self, key: &StoreKey, version: Revision) {
        self.versions.insert(key.to_string(), version);
    }
}

/// The key of the first change of a write, and what it holds once that is applied: nothing, where the key is removed.
fn first_write(write: &Write, at: u64) -> (StoreKey, Option<Value>) {
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
