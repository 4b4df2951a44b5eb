//! The face for users and health checks.

use crate::cancellation;
use crate::clock::sleep;
use crate::controller::Controller;
use crate::http::{HttpRequest, HttpResponse};
use crate::kv::{Change, Condition, KvError, Outcome};
use crate::scheduler::{
    JobEnd, JobId, JobOutcome, JobRecord, JobSpec, MachineType, Shape, TeamQuota,
};
use crate::store::{ABORTED, end_key, job_key};
use crate::units::{Micros, Resources};
use http_types::Method;
use log::{debug, info};
use serde_json::json;
use std::rc::Rc;

/// How long a submission or cancellation is tried before its user is told to come back.
const COMMIT_TIMEOUT: Micros = Micros::millis(1_500);
/// Pause between two tries.
const COMMIT_RETRY_INTERVAL: Micros = Micros::millis(60);
/// How long the view may take to show a cancellation that was committed.
const VISIBILITY_TIMEOUT: Micros = Micros::millis(1_000);
/// When to come back after a passing trouble, in seconds.
const RETRY_AFTER_TRANSIENT_S: u64 = 1;
/// When to come back while stored state is being rebuilt, in seconds.
const RETRY_AFTER_REBUILD_S: u64 = 3;
/// When to come back to a service that has as many jobs as it takes, in seconds.
const RETRY_AFTER_OVERLOAD_S: u64 = 15;

/// Answers a request of a user, or says that the path is unknown.
pub async fn answer(node: &Controller, call: &HttpRequest) -> HttpResponse {
    let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (path.as_slice(), call.method) {
        (["ready"], Method::Get) => ready(node),
        (["work"], Method::Post) => submit(node, &call.body).await,
        (["work", id], Method::Get) => query(node, id).await,
        (["work", id, "withdraw"], Method::Post) => cancel(node, id).await,
        (["ready"] | ["work"] | ["work", _] | ["work", _, "withdraw"], _) => {
            HttpResponse::error(405, "wrong method")
        }
        _ => HttpResponse::error(404, "unknown path"),
    }
}

fn ready(node: &Controller) -> HttpResponse {
    if node.is_ready() {
        HttpResponse::json(200, &json!({"ready": true}))
    } else {
        HttpResponse::retry_later(503, "not ready", RETRY_AFTER_TRANSIENT_S)
    }
}

async fn submit(node: &Controller, body: &[u8]) -> HttpResponse {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(reason) => return HttpResponse::error(400, &reason),
    };
    let id = spec.id.clone();
    if node.withholds_answers() {
        return final_answer(node, &id);
    }
    if node.store.view.borrow().knows(&id) {
        return answer_existing(node, &id).await;
    }
    if !node.store.reachable() {
        return HttpResponse::retry_later(
            503,
            "state service out of reach",
            RETRY_AFTER_TRANSIENT_S,
        );
    }
    {
        let view = node.store.view.borrow();
        let Some(machine_types) = &view.machine_types else {
            return HttpResponse::retry_later(
                503,
                "machine types not known yet",
                RETRY_AFTER_TRANSIENT_S,
            );
        };
        if let Err(reason) = admissible(&spec, &machine_types.value, &node.teams) {
            return HttpResponse::error(422, reason);
        }
        if view.jobs.len() >= node.admission_cap && view.active_jobs() >= node.admission_cap {
            node.log_admission_limit(view.active_jobs());
            return HttpResponse::retry_later(429, "too many jobs", RETRY_AFTER_OVERLOAD_S);
        }
    }
    let record = JobRecord {
        spec: Rc::new(spec),
        at: node.clock.unix_time(),
    };
    let value = json!(record);
    let limit = node.platform.facts.state.value_kb * 1024.0;
    if value.to_string().len() as f64 > limit {
        return HttpResponse::error(400, "submission too large");
    }
    let when = [
        Condition::absent(job_key(&id)),
        Condition::absent(end_key(&id)),
    ];
    let put = [Change::put(job_key(&id), value)];
    match commit(node, &when, &put).await {
        Some(Outcome::Applied(revision)) => {
            node.store.record_commits(revision, &put);
            info!(
                "event=job_accepted job={id} class={} tasks={}",
                record.spec.class, record.spec.tasks
            );
            HttpResponse::json(201, &json!({"nameId": id, "status": "pending"}))
        }
        Some(Outcome::Conflict(_)) => answer_existing(node, &id).await,
        None => {
            HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
        }
    }
}

/// Whether the job can run at all.
fn admissible(
    spec: &JobSpec,
    machine_types: &[MachineType],
    teams: &std::collections::BTreeMap<String, TeamQuota>,
) -> Result<(), &'static str> {
    let team = teams.get(&spec.team).ok_or("unknown team")?;
    let need = spec.need();
    let fits = machine_types.iter().any(|f| {
        f.resources().holds(&need) && f.zones.iter().any(|z| spec.allows(&f.name, z, false))
    });
    if !fits {
        return Err("a task fits no allowed machine type");
    }
    let at_once = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks as usize,
    };
    let all: Resources = need.times(at_once);
    if !team.allows(&all) {
        return Err("more than the team's limit");
    }
    Ok(())
}

/// The answer to a repeated submission: the job's present state.
async fn answer_existing(node: &Controller, id: &JobId) -> HttpResponse {
    match confirmed_status(node, id).await {
        Some(Some(status)) => HttpResponse::json(200, &status),
        // It was known a moment ago, so this view lags; the user asks again.
        Some(None) | None => {
            HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
        }
    }
}

/// A job's state: a final one from the view as it is, any other only after a read barrier.
///
/// Guards against an answer older than one that another controller gave.
async fn linearizable_status(
    node: &Controller,
    id: &JobId,
) -> Option<Option<crate::store::JobStatus>> {
    if node.store.view.borrow().ends.contains_key(id) {
        return Some(node.store.view.borrow().status(id));
    }
    // Stored state may turn out to be lost just then.
    if !node.store.barrier().await || node.withholds_answers() {
        return None;
    }
    Some(node.store.view.borrow().status(id))
}

/// A job's state as its user may be told it: that it is cancelled only once that can be kept.
async fn confirmed_status(
    node: &Controller,
    id: &JobId,
) -> Option<Option<crate::store::JobStatus>> {
    let status = linearizable_status(node, id).await?;
    let cancelled = status.as_ref().is_some_and(|s| s.status == ABORTED);
    if cancelled && !cancellation::confirm(node, id).await {
        return None;
    }
    Some(status)
}

/// The answer where no other can be true for certain, as stored state was lost: a final state that is known, as these never
/// change, or when to come back.
fn final_answer(node: &Controller, id: &JobId) -> HttpResponse {
    let loss = node.store.loss.borrow();
    let lost = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
    let view = node.store.view.borrow();
    let answer_existing = [Some(&*view), lost].into_iter().flatten();
    let mut done = answer_existing.filter(|view| {
        view.end(id)
            .is_some_and(|end| end.outcome == JobOutcome::Done)
    });
    match done.find_map(|view| view.status(id)) {
        Some(status) => HttpResponse::json(200, &status),
        None => {
            HttpResponse::retry_later(503, "stored state is being rebuilt", RETRY_AFTER_REBUILD_S)
        }
    }
}

async fn query(node: &Controller, id: &str) -> HttpResponse {
    let Some(id) = JobId::parse(id) else {
        return HttpResponse::error(404, "no such job");
    };
    if node.withholds_answers() {
        return final_answer(node, &id);
    }
    match confirmed_status(node, &id).await {
        Some(Some(status)) => HttpResponse::json(200, &status),
        Some(None) => HttpResponse::error(404, "no such job"),
        None => {
            HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
        }
    }
}

async fn cancel(node: &Controller, id: &str) -> HttpResponse {
    let Some(id) = JobId::parse(id) else {
        return HttpResponse::error(404, "no such job");
    };
    if node.withholds_answers() {
        return final_answer(node, &id);
    }
    let ended = |node: &Controller| node.store.view.borrow().end(&id);
    if ended(node).is_none() && !node.store.view.borrow().jobs.contains_key(&id) {
        match linearizable_status(node, &id).await {
            Some(Some(_)) => {}
            Some(None) => return HttpResponse::error(404, "no such job"),
            None => {
                return HttpResponse::retry_later(
                    503,
                    "state service did not answer",
                    RETRY_AFTER_TRANSIENT_S,
                );
            }
        }
    }
    if ended(node).is_none() {
        let end = JobEnd {
            outcome: JobOutcome::Aborted,
            at: node.clock.unix_time(),
            done: node.store.view.borrow().status(&id).map_or(0, |s| s.done),
        };
        // The one key that decides between done and aborted; whoever writes it first.
        let when = [Condition::absent(end_key(&id))];
        let put = [Change::put(end_key(&id), json!(end))];
        match commit(node, &when, &put).await {
            Some(Outcome::Applied(revision)) => {
                node.store.record_commits(revision, &put);
                info!("event=job_cancelled job={id}");
                // The view then shows all that was ever placed of the job, as nothing is placed after its end.
                if !node
                    .store
                    .wait_for_revision(revision, VISIBILITY_TIMEOUT)
                    .await
                {
                    return HttpResponse::retry_later(
                        503,
                        "state service did not answer",
                        RETRY_AFTER_TRANSIENT_S,
                    );
                }
            }
            Some(Outcome::Conflict(_)) => {
                node.store.barrier().await;
            }
            None => {
                return HttpResponse::retry_later(
                    503,
                    "state service did not answer",
                    RETRY_AFTER_TRANSIENT_S,
                );
            }
        }
    }
    match ended(node).map(|e| e.outcome) {
        Some(JobOutcome::Done) => HttpResponse::json(200, &json!({"nameId": id, "status": "done"})),
        Some(JobOutcome::Aborted) if cancellation::confirm(node, &id).await => {
            HttpResponse::json(200, &json!({"nameId": id, "status": ABORTED}))
        }
        Some(JobOutcome::Aborted) => {
            HttpResponse::retry_later(503, "a controller can not be told", RETRY_AFTER_TRANSIENT_S)
        }
        None => {
            HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
        }
    }
}

/// Commits at once, or gives up within [`COMMIT_TIMEOUT`].
///
/// A try without an answer may have been applied, or may be later; the same transaction again then finds its key
/// taken, which the caller reads as "known".
async fn commit(node: &Controller, when: &[Condition], writes: &[Change]) -> Option<Outcome> {
    let until = node.clock.now() + COMMIT_TIMEOUT;
    let losses = node.store.losses_found();
    loop {
        match node.state.txn_with_retransmit(when, writes).await.0 {
            // What was committed may be lost already: its user asks again.
            Ok(_) if node.state.has_evidence() || node.store.losses_found() != losses => {
                return None;
            }
            Ok(outcome) => {
                node.store.mark_reachable();
                return Some(outcome);
            }
            Err(KvError::Refused(e)) => debug!("event=commit_refused error={e:?}"),
            Err(e) => debug!("event=commit_unanswered error={e}"),
        }
        if node.clock.now() + COMMIT_RETRY_INTERVAL >= until || !node.store.reachable() {
            return None;
        }
        sleep(COMMIT_RETRY_INTERVAL).await;
    }
}
