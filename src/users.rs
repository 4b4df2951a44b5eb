//! The face for users and health checks.

use crate::cancellations;
use crate::clock::sleep;
use crate::controller::Node;
use crate::http::{Call, Reply};
use crate::scheduler::{End, Final, JobId, JobRecord, JobSpec, MachineType, Shape, TeamShare};
use crate::state::{Change, Condition, Outcome, StateError};
use crate::store::{ABORTED, end_key, job_key};
use crate::units::{Micros, Room};
use http_types::Method;
use log::{debug, info};
use serde_json::json;
use std::rc::Rc;

/// How long a submission or cancellation is tried before its user is told to come back.
const TRY_FOR: Micros = Micros::millis(1_500);
/// Pause between two tries.
const TRY_PAUSE: Micros = Micros::millis(60);
/// How long the view may take to show a cancellation that was committed.
const SHOWN_WITHIN: Micros = Micros::millis(1_000);
/// When to come back after a passing trouble, in seconds.
const SOON: u64 = 1;
/// When to come back while stored state is being rebuilt, in seconds.
const WHEN_REBUILT: u64 = 3;
/// When to come back to a service that has as many jobs as it takes, in seconds.
const WHEN_FULL: u64 = 15;

/// Answers a request of a user, or says that the path is unknown.
pub async fn answer(node: &Node, call: &Call) -> Reply {
    let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (path.as_slice(), call.method) {
        (["ready"], Method::Get) => ready(node),
        (["work"], Method::Post) => submit(node, &call.body).await,
        (["work", id], Method::Get) => query(node, id).await,
        (["work", id, "withdraw"], Method::Post) => cancel(node, id).await,
        (["ready"] | ["work"] | ["work", _] | ["work", _, "withdraw"], _) => {
            Reply::error(405, "wrong method")
        }
        _ => Reply::error(404, "unknown path"),
    }
}

fn ready(node: &Node) -> Reply {
    if node.is_ready() {
        Reply::json(200, &json!({"ready": true}))
    } else {
        Reply::later(503, "not ready", SOON)
    }
}

async fn submit(node: &Node, body: &[u8]) -> Reply {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(reason) => return Reply::error(400, &reason),
    };
    let id = spec.id.clone();
    if node.holds_back_answers() {
        return final_answer(node, &id);
    }
    if node.store.view.borrow().knows(&id) {
        return known(node, &id).await;
    }
    if !node.store.reachable() {
        return Reply::later(503, "state service out of reach", SOON);
    }
    {
        let view = node.store.view.borrow();
        let Some(machine_types) = &view.machine_types else {
            return Reply::later(503, "machine types not known yet", SOON);
        };
        if let Err(reason) = admissible(&spec, &machine_types.value, &node.teams) {
            return Reply::error(422, reason);
        }
        if view.jobs.len() >= node.admission_cap && view.active_jobs() >= node.admission_cap {
            node.tell_of_admission(view.active_jobs());
            return Reply::later(429, "too many jobs", WHEN_FULL);
        }
    }
    let record = JobRecord {
        spec: Rc::new(spec),
        at: node.clock.unix_time(),
    };
    let value = json!(record);
    let limit = node.platform.facts.state.value_kb * 1024.0;
    if value.to_string().len() as f64 > limit {
        return Reply::error(400, "submission too large");
    }
    let when = [
        Condition::absent(job_key(&id)),
        Condition::absent(end_key(&id)),
    ];
    let put = [Change::put(job_key(&id), value)];
    match commit(node, &when, &put).await {
        Some(Outcome::Applied(revision)) => {
            node.store.note_commits(revision, &put);
            info!(
                "event=job_accepted job={id} class={} tasks={}",
                record.spec.class, record.spec.tasks
            );
            Reply::json(201, &json!({"nameId": id, "status": "pending"}))
        }
        Some(Outcome::Conflict(_)) => known(node, &id).await,
        None => Reply::later(503, "state service did not answer", SOON),
    }
}

/// Whether the job can run at all.
fn admissible(
    spec: &JobSpec,
    machine_types: &[MachineType],
    teams: &std::collections::BTreeMap<String, TeamShare>,
) -> Result<(), &'static str> {
    let team = teams.get(&spec.team).ok_or("unknown team")?;
    let need = spec.need();
    let fits = machine_types
        .iter()
        .any(|f| f.room().holds(&need) && f.zones.iter().any(|z| spec.allows(&f.name, z, false)));
    if !fits {
        return Err("a task fits no allowed machine type");
    }
    let at_once = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks as usize,
    };
    let all: Room = need.times(at_once);
    if !team.allows(&all) {
        return Err("more than the team's limit");
    }
    Ok(())
}

/// The answer to a repeated submission: the job's present state.
async fn known(node: &Node, id: &JobId) -> Reply {
    match told(node, id).await {
        Some(Some(status)) => Reply::json(200, &status),
        // It was known a moment ago, so this view lags; the user asks again.
        Some(None) | None => Reply::later(503, "state service did not answer", SOON),
    }
}

/// A job's state: a final one from the view as it is, any other only after a read barrier.
///
/// Guards against an answer older than one that another controller gave.
async fn current(node: &Node, id: &JobId) -> Option<Option<crate::store::Status>> {
    if node.store.view.borrow().ends.contains_key(id) {
        return Some(node.store.view.borrow().status(id));
    }
    // Stored state may turn out to be lost just then.
    if !node.store.barrier().await || node.holds_back_answers() {
        return None;
    }
    Some(node.store.view.borrow().status(id))
}

/// A job's state as its user may be told it: that it is cancelled only once that can be kept.
async fn told(node: &Node, id: &JobId) -> Option<Option<crate::store::Status>> {
    let status = current(node, id).await?;
    let cancelled = status.as_ref().is_some_and(|s| s.status == ABORTED);
    if cancelled && !cancellations::confirm(node, id).await {
        return None;
    }
    Some(status)
}

/// The answer where no other can be true for certain, as stored state was lost: a final state that is known, as these never
/// change, or when to come back.
fn final_answer(node: &Node, id: &JobId) -> Reply {
    let loss = node.store.loss.borrow();
    let lost = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
    let view = node.store.view.borrow();
    let known = [Some(&*view), lost].into_iter().flatten();
    let mut done = known.filter(|view| view.end(id).is_some_and(|end| end.how == Final::Done));
    match done.find_map(|view| view.status(id)) {
        Some(status) => Reply::json(200, &status),
        None => Reply::later(503, "stored state is being rebuilt", WHEN_REBUILT),
    }
}

async fn query(node: &Node, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::error(404, "no such job");
    };
    if node.holds_back_answers() {
        return final_answer(node, &id);
    }
    match told(node, &id).await {
        Some(Some(status)) => Reply::json(200, &status),
        Some(None) => Reply::error(404, "no such job"),
        None => Reply::later(503, "state service did not answer", SOON),
    }
}

async fn cancel(node: &Node, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::error(404, "no such job");
    };
    if node.holds_back_answers() {
        return final_answer(node, &id);
    }
    let ended = |node: &Node| node.store.view.borrow().end(&id);
    if ended(node).is_none() && !node.store.view.borrow().jobs.contains_key(&id) {
        match current(node, &id).await {
            Some(Some(_)) => {}
            Some(None) => return Reply::error(404, "no such job"),
            None => return Reply::later(503, "state service did not answer", SOON),
        }
    }
    if ended(node).is_none() {
        let end = End {
            how: Final::Aborted,
            at: node.clock.unix_time(),
            done: node.store.view.borrow().status(&id).map_or(0, |s| s.done),
        };
        // The one key that decides between done and aborted; whoever writes it first.
        let when = [Condition::absent(end_key(&id))];
        let put = [Change::put(end_key(&id), json!(end))];
        match commit(node, &when, &put).await {
            Some(Outcome::Applied(revision)) => {
                node.store.note_commits(revision, &put);
                info!("event=job_cancelled job={id}");
                // The view then shows all that was ever placed of the job, as nothing is placed after its end.
                if !node.store.caught_up(revision, SHOWN_WITHIN).await {
                    return Reply::later(503, "state service did not answer", SOON);
                }
            }
            Some(Outcome::Conflict(_)) => {
                node.store.barrier().await;
            }
            None => return Reply::later(503, "state service did not answer", SOON),
        }
    }
    match ended(node).map(|e| e.how) {
        Some(Final::Done) => Reply::json(200, &json!({"nameId": id, "status": "done"})),
        Some(Final::Aborted) if cancellations::confirm(node, &id).await => {
            Reply::json(200, &json!({"nameId": id, "status": ABORTED}))
        }
        Some(Final::Aborted) => Reply::later(503, "a controller can not be told", SOON),
        None => Reply::later(503, "state service did not answer", SOON),
    }
}

/// Commits at once, or gives up within [`TRY_FOR`].
///
/// A try without an answer may have been applied, or may be later; the same transaction again then finds its key
/// taken, which the caller reads as "known".
async fn commit(node: &Node, when: &[Condition], writes: &[Change]) -> Option<Outcome> {
    let until = node.clock.now() + TRY_FOR;
    let losses = node.store.losses_found();
    loop {
        match node.state.txn_twice(when, writes).await.0 {
            // What was committed may be lost already: its user asks again.
            Ok(_) if node.state.has_evidence() || node.store.losses_found() != losses => {
                return None;
            }
            Ok(outcome) => {
                node.store.note_answer();
                return Some(outcome);
            }
            Err(StateError::Refused(e)) => debug!("event=commit_refused error={e:?}"),
            Err(e) => debug!("event=commit_unanswered error={e}"),
        }
        if node.clock.now() + TRY_PAUSE >= until || !node.store.reachable() {
            return None;
        }
        sleep(TRY_PAUSE).await;
    }
}
