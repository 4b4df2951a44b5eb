//! The interface for users and health checks.

use super::RETRY_AFTER_TRANSIENT_S;
use super::admission::AdmissionControl;
use crate::cancellation::CancellationService;
use crate::clock::{Clock, sleep};
use crate::http::{HttpRequest, HttpResponse};
use crate::kv::{Change, Condition, KvClient, KvError, Outcome};
use crate::membership::Membership;
use crate::readiness::is_ready;
use crate::scheduler::{JobEnd, JobId, JobOutcome, JobRecord, JobSpec};
use crate::state_loss::StateLossRecovery;
use crate::store::{ABORTED, DONE, JobStatus, PENDING, StateCache, StoreKey, encode};
use crate::units::Micros;
use http_types::Method;
use log::{debug, info};
use serde::Serialize;
use std::rc::Rc;

/// How long a submission or cancellation is tried before its user is told to come back.
const COMMIT_TIMEOUT: Micros = Micros::millis(1_500);
/// Pause between two tries.
const COMMIT_RETRY_INTERVAL: Micros = Micros::millis(60);
/// How long the view may take to show a cancellation that was committed.
const VISIBILITY_TIMEOUT: Micros = Micros::millis(1_000);
/// When to come back while stored state is being rebuilt, in seconds.
const RETRY_AFTER_REBUILD_S: u64 = 3;

/// What is known of a job's state.
enum StatusLookup {
    Found(JobStatus),
    NoSuchJob,
    /// The state service did not say in time, or the answer could not be kept: the user asks again.
    Unavailable,
}

/// The answer to a submission or a cancellation.
#[derive(Serialize)]
struct JobAnswer<'a> {
    #[serde(rename = "nameId")]
    id: &'a JobId,
    status: &'static str,
}

impl<'a> JobAnswer<'a> {
    fn new(id: &'a JobId, status: &'static str) -> JobAnswer<'a> {
        JobAnswer { id, status }
    }
}

/// The answer to a health check of a controller that is ready.
#[derive(Serialize)]
struct ReadyAnswer {
    ready: bool,
}

/// Answers users and health checks.
///
/// Invariants: an answer to a submission is sent only once its record is committed; a state other than a final one is
/// answered only after a read barrier.
pub struct UserApi {
    /// The clock.
    pub clock: Clock,
    /// The state service.
    pub kv: Rc<KvClient>,
    /// The cached view.
    pub store: Rc<StateCache>,
    /// The other controllers.
    pub membership: Rc<Membership>,
    /// Recovery after a loss of stored state.
    pub state_loss: Rc<StateLossRecovery>,
    /// Cancelled jobs.
    pub cancellations: Rc<CancellationService>,
    /// Decides which jobs are taken.
    pub admission: AdmissionControl,
    /// The largest record of a submission, in bytes.
    pub max_record_bytes: f64,
}

impl UserApi {
    /// Answers a request of a user, or says that the path is unknown.
    pub async fn answer(&self, request: &HttpRequest) -> HttpResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (path.as_slice(), request.method) {
            (["ready"], Method::Get) => self.ready(),
            (["work"], Method::Post) => self.submit(&request.body).await,
            (["work", id], Method::Get) => self.query(id).await,
            (["work", id, "withdraw"], Method::Post) => self.cancel(id).await,
            (["ready"] | ["work"] | ["work", _] | ["work", _, "withdraw"], _) => {
                HttpResponse::error(405, "wrong method")
            }
            _ => HttpResponse::error(404, "unknown path"),
        }
    }

    fn ready(&self) -> HttpResponse {
        if is_ready(&self.store, &self.membership) {
            HttpResponse::json(200, &ReadyAnswer { ready: true })
        } else {
            HttpResponse::retry_later(503, "not ready", RETRY_AFTER_TRANSIENT_S)
        }
    }

    async fn submit(&self, body: &[u8]) -> HttpResponse {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        let id = spec.id.clone();
        if self.state_loss.withholds_answers() {
            return self.final_answer(&id);
        }
        if self.store.view.borrow().contains_job(&id) {
            return self.answer_existing(&id).await;
        }
        let is_reachable = self.store.reachable();
        let admitted = self
            .admission
            .check(&spec, &self.store.view.borrow(), is_reachable);
        if let Err(rejection) = admitted {
            return rejection.into_response();
        }
        self.commit_submission(spec).await
    }

    /// Writes the record of a job, unless one is there already, and answers its user.
    async fn commit_submission(&self, spec: JobSpec) -> HttpResponse {
        let id = spec.id.clone();
        let record = JobRecord {
            spec: Rc::new(spec),
            at: self.clock.unix_time(),
        };
        let value = encode(&record);
        if value.to_string().len() as f64 > self.max_record_bytes {
            return HttpResponse::error(400, "submission too large");
        }
        let key = StoreKey::Job(id.clone());
        let conditions = [key.is_absent(), StoreKey::JobEnd(id.clone()).is_absent()];
        let put = [Change::put(key.to_string(), value)];
        match self.commit(&conditions, &put).await {
            Some(Outcome::Applied(revision)) => {
                self.store.record_commits(revision, &put);
                info!(
                    "event=job_accepted job={id} class={} tasks={}",
                    record.spec.class, record.spec.tasks
                );
                HttpResponse::json(201, &JobAnswer::new(&id, PENDING))
            }
            Some(Outcome::Conflict(_)) => self.answer_existing(&id).await,
            None => no_answer_from_state_service(),
        }
    }

    /// The answer to a repeated submission, which is idempotent: the job's present state.
    async fn answer_existing(&self, id: &JobId) -> HttpResponse {
        match self.confirmed_status(id).await {
            StatusLookup::Found(status) => HttpResponse::json(200, &status),
            // It was known a moment ago, so this view lags; the user asks again.
            StatusLookup::NoSuchJob | StatusLookup::Unavailable => no_answer_from_state_service(),
        }
    }

    /// A job's state: a final one from the view as it is, any other only after a read barrier.
    ///
    /// Guards against an answer older than one that another controller gave.
    async fn linearizable_status(&self, id: &JobId) -> StatusLookup {
        let has_ended = self.store.view.borrow().ends.contains_key(id);
        // Stored state may turn out to be lost during the barrier.
        if !has_ended && (!self.store.barrier().await || self.state_loss.withholds_answers()) {
            return StatusLookup::Unavailable;
        }
        match self.store.view.borrow().status(id) {
            Some(status) => StatusLookup::Found(status),
            None => StatusLookup::NoSuchJob,
        }
    }

    /// A job's state as its user may be told it: that it is cancelled only once that can be kept.
    async fn confirmed_status(&self, id: &JobId) -> StatusLookup {
        let lookup = self.linearizable_status(id).await;
        if let StatusLookup::Found(status) = &lookup
            && status.status == ABORTED
            && !self.cancellations.confirm(id).await
        {
            return StatusLookup::Unavailable;
        }
        lookup
    }

    /// The answer where no other can be true for certain, as stored state was lost: a final state that is known, as these never
    /// change, or when to come back.
    fn final_answer(&self, id: &JobId) -> HttpResponse {
        let loss = self.store.loss.borrow();
        let lost = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
        let view = self.store.view.borrow();
        let views = [Some(&*view), lost].into_iter().flatten();
        let mut done = views.filter(|view| {
            view.end(id)
                .is_some_and(|end| end.outcome == JobOutcome::Done)
        });
        match done.find_map(|view| view.status(id)) {
            Some(status) => HttpResponse::json(200, &status),
            None => HttpResponse::retry_later(
                503,
                "stored state is being rebuilt",
                RETRY_AFTER_REBUILD_S,
            ),
        }
    }

    async fn query(&self, id: &str) -> HttpResponse {
        let Some(id) = JobId::parse(id) else {
            return no_such_job();
        };
        if self.state_loss.withholds_answers() {
            return self.final_answer(&id);
        }
        match self.confirmed_status(&id).await {
            StatusLookup::Found(status) => HttpResponse::json(200, &status),
            StatusLookup::NoSuchJob => no_such_job(),
            StatusLookup::Unavailable => no_answer_from_state_service(),
        }
    }

    async fn cancel(&self, id: &str) -> HttpResponse {
        let Some(id) = JobId::parse(id) else {
            return no_such_job();
        };
        if self.state_loss.withholds_answers() {
            return self.final_answer(&id);
        }
        let is_known = self.store.view.borrow().contains_job(&id);
        if !is_known {
            match self.linearizable_status(&id).await {
                StatusLookup::Found(_) => {}
                StatusLookup::NoSuchJob => return no_such_job(),
                StatusLookup::Unavailable => return no_answer_from_state_service(),
            }
        }
        if self.end_of(&id).is_none()
            && let Err(refusal) = self.commit_cancellation(&id).await
        {
            return refusal;
        }
        match self.end_of(&id).map(|e| e.outcome) {
            Some(JobOutcome::Done) => HttpResponse::json(200, &JobAnswer::new(&id, DONE)),
            Some(JobOutcome::Aborted) if self.cancellations.confirm(&id).await => {
                HttpResponse::json(200, &JobAnswer::new(&id, ABORTED))
            }
            Some(JobOutcome::Aborted) => HttpResponse::retry_later(
                503,
                "a controller can not be told",
                RETRY_AFTER_TRANSIENT_S,
            ),
            None => no_answer_from_state_service(),
        }
    }

    fn end_of(&self, id: &JobId) -> Option<JobEnd> {
        self.store.view.borrow().end(id)
    }

    /// Writes that a job is cancelled, unless it has ended; afterwards the view shows how it ended.
    ///
    /// # Errors
    ///
    /// Returns the answer to the user where that is not certain.
    async fn commit_cancellation(&self, id: &JobId) -> Result<(), HttpResponse> {
        let end = JobEnd {
            outcome: JobOutcome::Aborted,
            at: self.clock.unix_time(),
            done: self.store.view.borrow().status(id).map_or(0, |s| s.done),
        };
        // The one key that decides between done and aborted; whoever writes it first.
        let key = StoreKey::JobEnd(id.clone());
        let conditions = [key.is_absent()];
        let put = [key.put(&end)];
        match self.commit(&conditions, &put).await {
            Some(Outcome::Applied(revision)) => {
                self.store.record_commits(revision, &put);
                info!("event=job_cancelled job={id}");
                // The view then shows all that was ever placed of the job, as nothing is placed after its end.
                let is_shown = self
                    .store
                    .wait_for_revision(revision, VISIBILITY_TIMEOUT)
                    .await;
                if is_shown {
                    Ok(())
                } else {
                    Err(no_answer_from_state_service())
                }
            }
            Some(Outcome::Conflict(_)) => {
                self.store.barrier().await;
                Ok(())
            }
            None => Err(no_answer_from_state_service()),
        }
    }

    /// Commits at once, or gives up within [`COMMIT_TIMEOUT`].
    ///
    /// A try without an answer may have been applied, or may be later; the same transaction again then finds its key
    /// taken, which the caller reads as "known".
    async fn commit(&self, when: &[Condition], writes: &[Change]) -> Option<Outcome> {
        let until = self.clock.now() + COMMIT_TIMEOUT;
        let losses = self.store.losses_found();
        loop {
            match self.kv.txn_with_retransmit(when, writes).await.0 {
                // What was committed may be lost already: its user asks again.
                Ok(_) if self.kv.has_evidence() || self.store.losses_found() != losses => {
                    return None;
                }
                Ok(outcome) => {
                    self.store.mark_reachable();
                    return Some(outcome);
                }
                Err(KvError::Refused(e)) => debug!("event=commit_refused error={e:?}"),
                Err(e) => debug!("event=commit_unanswered error={e}"),
            }
            if self.clock.now() + COMMIT_RETRY_INTERVAL >= until || !self.store.reachable() {
                return None;
            }
            sleep(COMMIT_RETRY_INTERVAL).await;
        }
    }
}

/// The answer where the state service did not say in time what holds: the user asks again.
fn no_answer_from_state_service() -> HttpResponse {
    HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
}

fn no_such_job() -> HttpResponse {
    HttpResponse::error(404, "no such job")
}
