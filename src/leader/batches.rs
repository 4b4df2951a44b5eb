//! Batches of the scheduler's writes as transactions, each under the leader key, until their outcome is certain.

use super::{LeaderTerm, RETRY_PAUSE};
use crate::clock::sleep;
use crate::controller::Controller;
use crate::kv::{Change, Condition, KvError, Outcome, Urgency};
use crate::scheduler::{JobEnd, JobId, JobOutcome, Write};
use crate::store::{LEADER, chunk_key, end_key, images_key, job_key};
use log::{debug, info, warn};
use serde_json::json;
use std::collections::BTreeMap;

/// Writes a batch until its outcome is certain; an error says why the term has ended.
pub(super) async fn write_batch(
    node: &Controller,
    leading: &LeaderTerm,
    batch: &[Write],
) -> Result<(), &'static str> {
    let at = node.clock.unix_time();
    let (when, changes) = transaction(leading, batch, at);
    let mut unsure = false;
    loop {
        let (outcome, again) = node.state.txn_with_retransmit(&when, &changes).await;
        unsure |= again;
        match outcome {
            Ok(Outcome::Applied(revision)) => {
                node.store.mark_reachable();
                node.store.record_commits(revision, &changes);
                applied(leading, batch, revision);
                return Ok(());
            }
            Ok(Outcome::Conflict(failed)) => {
                node.store.mark_reachable();
                return resolve_conflict(node, leading, batch, &failed, unsure, at).await;
            }
            Err(KvError::Refused(e)) => debug!("event=write_refused error={e:?}"),
            Err(e @ (KvError::Malformed(_) | KvError::NoLease | KvError::TooOld)) => {
                warn!("event=write_failed error={:?}", e.to_string());
                return Err("a write was found senseless");
            }
            Err(KvError::Unknown(e)) => {
                debug!("event=write_unanswered error={e:?}");
                unsure = true;
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// A batch was applied at this revision.
fn applied(leading: &LeaderTerm, batch: &[Write], revision: u64) {
    let mut scheduler = leading.scheduler.borrow_mut();
    scheduler.batch_applied(batch, revision);
    for write in batch {
        if let Write::Done { job, tasks } | Write::Whole { job, tasks, .. } = write {
            info!("event=job_done job={job} tasks={tasks}");
        }
    }
}

/// The conditions and changes of a batch.
fn transaction(leading: &LeaderTerm, batch: &[Write], at: u64) -> (Vec<Condition>, Vec<Change>) {
    let mut when = BTreeMap::new();
    let leader = leading.leader_condition();
    when.insert(leader.key, leader.version);
    let mut changes = Vec::new();
    for write in batch {
        match write {
            Write::Chunk {
                job,
                chunk,
                record,
                version,
                places,
            } => {
                let key = chunk_key(job, *chunk);
                when.insert(key.clone(), *version);
                if *places {
                    when.insert(end_key(job), 0);
                }
                changes.push(Change::put(key, json!(record)));
            }
            Write::Done { job, tasks } => {
                when.insert(end_key(job), 0);
                changes.push(Change::put(end_key(job), json!(done_record(*tasks, at))));
            }
            Write::Whole {
                job,
                tasks,
                version,
            } => {
                when.insert(end_key(job), 0);
                changes.push(Change::put(end_key(job), json!(done_record(*tasks, at))));
                let key = chunk_key(job, 0);
                when.insert(key.clone(), *version);
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
                    when.insert(key.clone(), *version);
                    changes.push(Change::Delete { key });
                }
                if *whole {
                    changes.push(Change::Delete { key: job_key(job) });
                }
            }
        }
    }
    let when = when
        .into_iter()
        .map(|(key, version)| Condition { key, version })
        .collect();
    (when, changes)
}

fn done_record(tasks: u32, at: u64) -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Done,
        at,
        done: tasks,
    }
}

/// A batch met a conflict: the term has ended, a job was over, or an earlier try had been applied after all.
async fn resolve_conflict(
    node: &Controller,
    leading: &LeaderTerm,
    batch: &[Write],
    failed: &[String],
    unsure: bool,
    at: u64,
) -> Result<(), &'static str> {
    if failed.iter().any(|k| k == LEADER) {
        return Err("the leader key is another's");
    }
    if unsure && let Some(revision) = find_applied_revision(node, batch, at).await? {
        applied(leading, batch, revision);
        return Ok(());
    }
    let over: Vec<JobId> = batch
        .iter()
        .filter_map(Write::job)
        .filter(|job| failed.contains(&end_key(job)))
        .cloned()
        .collect();
    if over.is_empty() {
        // Nobody else writes these keys under this token: the picture is wrong and is built anew.
        warn!("event=unexpected_conflict keys={failed:?}");
        return Err("an unexpected conflict");
    }
    let mut scheduler = leading.scheduler.borrow_mut();
    scheduler.batch_dropped(batch);
    for job in over {
        scheduler.job_is_over(&job);
    }
    Ok(())
}

/// Whether a batch, of which a try went unanswered, was applied; and if so, at which revision.
async fn find_applied_revision(
    node: &Controller,
    batch: &[Write],
    at: u64,
) -> Result<Option<u64>, &'static str> {
    let Some(first) = batch.first() else {
        return Ok(None);
    };
    let (key, expected) = match first {
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
    };
    loop {
        match node.state.get(Urgency::Now, &key).await {
            Ok(Ok(item)) => return Ok((Some(item.value) == expected).then_some(item.version)),
            Ok(Err(revision)) => return Ok(expected.is_none().then_some(revision)),
            Err(KvError::Refused(_) | KvError::Unknown(_)) => {
                sleep(RETRY_PAUSE).await;
            }
            Err(_) => return Err("a read was found senseless"),
        }
    }
}
