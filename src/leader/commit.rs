//! Batches of the scheduler's writes as transactions, each under the leader key, until their outcome is certain.

use super::RETRY_PAUSE;
use crate::clock::{Clock, sleep};
use crate::kv::{Change, Condition, KvClient, KvError, Outcome, Urgency};
use crate::scheduler::{JobEnd, JobId, JobOutcome, Write};
use crate::store::{LEADER, StateCache, chunk_key, end_key, images_key, job_key};
use crate::term::{LeaderTerm, TermEnd};
use log::{debug, info, warn};
use serde_json::{Value, json};
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
                Err(e @ (KvError::Malformed(_) | KvError::NoLease | KvError::TooOld)) => {
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
    fn on_applied(&self, batch: &[Write], revision: u64) {
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_applied(batch, revision);
        for write in batch {
            if let Write::Done { job, tasks } | Write::Whole { job, tasks, .. } = write {
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
        if failed.iter().any(|k| k == LEADER) {
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
            .filter(|job| failed.contains(&end_key(job)))
            .cloned()
            .collect();
        if ended.is_empty() {
            // Nobody else writes these keys under this token: the picture is wrong and is built anew.
            warn!("event=unexpected_conflict keys={failed:?}");
            return Err(TermEnd::UnexpectedConflict);
        }
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.batch_dropped(attempt.batch);
        for job in ended {
            scheduler.job_is_over(&job);
        }
        Ok(())
    }

    /// Returns the revision at which a batch was applied of which a try went unanswered, if it was.
    async fn find_applied_revision(&self, attempt: &Attempt<'_>) -> Result<Option<u64>, TermEnd> {
        let Some(first) = attempt.batch.first() else {
            return Ok(None);
        };
        let (key, expected) = first_write(first, attempt.at);
        loop {
            match self.kv.get(Urgency::Now, &key).await {
                Ok(Ok(item)) => return Ok((Some(item.value) == expected).then_some(item.version)),
                Ok(Err(revision)) => return Ok(expected.is_none().then_some(revision)),
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
        let mut versions = BTreeMap::new();
        versions.insert(leader.key, leader.version);
        let mut changes = Vec::new();
        for write in batch {
            add_write(write, at, &mut versions, &mut changes);
        }
        let conditions = versions
            .into_iter()
            .map(|(key, version)| Condition { key, version });
        Transaction {
            conditions: conditions.collect(),
            changes,
        }
    }
}

/// Adds the conditions, as versions of keys, and the changes of one write.
fn add_write(
    write: &Write,
    at: u64,
    versions: &mut BTreeMap<String, u64>,
    changes: &mut Vec<Change>,
) {
    match write {
        Write::Chunk {
            job,
            chunk,
            record,
            version,
            places,
        } => {
            let key = chunk_key(job, *chunk);
            versions.insert(key.clone(), *version);
            if *places {
                versions.insert(end_key(job), 0);
            }
            changes.push(Change::put(key, json!(record)));
        }
        Write::Done { job, tasks } => {
            versions.insert(end_key(job), 0);
            changes.push(Change::put(end_key(job), json!(done_record(*tasks, at))));
        }
        Write::Whole {
            job,
            tasks,
            version,
        } => {
            versions.insert(end_key(job), 0);
            changes.push(Change::put(end_key(job), json!(done_record(*tasks, at))));
            let key = chunk_key(job, 0);
            versions.insert(key.clone(), *version);
            if *version > 0 {
                changes.push(Change::Delete { key });
            }
            changes.push(Change::Delete { key: job_key(job) });
        }
        Write::Images {
            machine,
            images: Some(images),
        } => changes.push(Change::put(images_key(machine), json!(images))),
        Write::Images { machine, .. } => changes.push(Change::Delete {
            key: images_key(machine),
        }),
        Write::Forget { job, chunks, whole } => {
            for (chunk, version) in chunks {
                let key = chunk_key(job, *chunk);
                versions.insert(key.clone(), *version);
                changes.push(Change::Delete { key });
            }
            if *whole {
                changes.push(Change::Delete { key: job_key(job) });
            }
        }
    }
}

/// The key of the first change of a write, and what it holds once that is applied: nothing, where the key is removed.
fn first_write(write: &Write, at: u64) -> (String, Option<Value>) {
    match write {
        Write::Chunk {
            job, chunk, record, ..
        } => (chunk_key(job, *chunk), Some(json!(record))),
        Write::Done { job, tasks } | Write::Whole { job, tasks, .. } => {
            (end_key(job), Some(json!(done_record(*tasks, at))))
        }
        Write::Images { machine, images } => {
            (images_key(machine), images.as_ref().map(|i| json!(i)))
        }
        Write::Forget { job, chunks, .. } => match chunks.first() {
            Some((chunk, _)) => (chunk_key(job, *chunk), None),
            None => (job_key(job), None),
        },
    }
}

fn done_record(tasks: u32, at: u64) -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Done,
        at,
        done: tasks,
    }
}
