//! The HTTP API for users and health checks.

use super::RETRY_AFTER_TRANSIENT_S;
use super::admission::AdmissionControl;
use super::answers::{AnswerStats, Unavailable};
use super::commits::UserCommits;
use crate::cancellation::CancellationService;
use crate::clock::Clock;
use crate::http::{HttpRequest, HttpResponse};
use crate::kv::{Change, Outcome};
use crate::membership::Membership;
use crate::readiness::is_ready;
use crate::scheduler::{JobEnd, JobId, JobOutcome, JobRecord, JobSpec};
use crate::state_loss::StateLossRecovery;
use crate::store::{ABORTED, DONE, JobStatus, PENDING, StateCache, StoreKey, encode};
use crate::units::Micros;
use http_types::Method;
use log::info;
use serde::Serialize;
use std::rc::Rc;

/// Time after the arrival of a cancellation request at which it is answered 503 if the job's tasks are not gone yet. The
/// user waits 5 s for the response.
const CANCELLATION_TIMEOUT: Micros = Micros::secs(4);
/// Maximum time to wait until the view shows a committed cancellation.
const VISIBILITY_TIMEOUT: Micros = Micros::millis(1_000);
/// `Retry-After` value, in seconds, while stored state is being rebuilt.
const RETRY_AFTER_REBUILD_S: u64 = 3;

/// Result of looking up a job's status.
enum StatusLookup {
    Found(JobStatus),
    NoSuchJob,
    /// The status is not certain. The user has to retry.
    Unavailable(Unavailable),
}

/// Response body for a submission or a cancellation.
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

/// Response body for a health check of a controller that is ready.
#[derive(Serialize)]
struct ReadyAnswer {
    ready: bool,
}

/// Handles requests from users and health checks.
///
/// Invariants: a submission is acknowledged only after its record is committed; a status that is not final is returned
/// only after a read barrier.
pub struct UserApi {
    /// Source of monotonic time and of the Unix time that is stored in records.
    pub clock: Clock,
    /// Commits submissions and cancellations.
    pub commits: UserCommits,
    /// Cached view of the key-value store.
    pub store: Rc<StateCache>,
    /// Reachability and cluster status of the other controllers.
    pub membership: Rc<Membership>,
    /// State loss recovery, which decides when only final states may be returned.
    pub state_loss: Rc<StateLossRecovery>,
    /// Cancellations that are known to this controller.
    pub cancellations: Rc<CancellationService>,
    /// Counts the answers, and why others are not given.
    pub stats: AnswerStats,
    /// Decides which submissions are accepted.
    pub admission: AdmissionControl,
    /// Maximum size of a submission's stored record, in bytes.
    pub max_record_bytes: f64,
}

impl UserApi {
    /// Handles a request; returns 404 for an unknown path and 405 for a wrong method.
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
            return self.final_status_or_retry(&id);
        }
        if self.store.view.borrow().contains_job(&id) {
            return self.respond_existing(&id).await;
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

    /// Commits the record of a job unless the job already exists, and returns the response for the user.
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
        match self.commits.commit(&conditions, &put).await {
            Some(Outcome::Applied(revision)) => {
                self.store.record_commits(revision, &put);
                info!(
                    "event=job_accepted job={id} class={} tasks={}",
                    record.spec.class, record.spec.tasks
                );
                self.stats.answered.increment();
                HttpResponse::json(201, &JobAnswer::new(&id, PENDING))
            }
            Some(Outcome::Conflict(_)) => self.respond_existing(&id).await,
            None => {
                let reason = Unavailable::CommitUncertain;
                self.stats.unavailable.increment(reason);
                state_service_timeout()
            }
        }
    }

    /// Returns the current status of an existing job: the response to a repeated submission, as submissions are
    /// idempotent.
    async fn respond_existing(&self, id: &JobId) -> HttpResponse {
        match self.confirmed_status(id).await {
            StatusLookup::Found(status) => self.respond_found(id, &status),
            // The job was known a moment ago, so this view lags behind. The user retries.
            StatusLookup::NoSuchJob => self.respond_unavailable(id, Unavailable::JobNotVisible),
            StatusLookup::Unavailable(reason) => self.respond_unavailable(id, reason),
        }
    }

    /// Returns a job's status. A final status is read from the view without waiting, any other only after a read
    /// barrier.
    ///
    /// Without the barrier, the status could be older than one that another controller has already returned.
    async fn linearizable_status(&self, id: &JobId) -> StatusLookup {
        let has_ended = self.store.view.borrow().ends.contains_key(id);
        if !has_ended {
            if let Err(failure) = self.store.barrier().await {
                return StatusLookup::Unavailable(Unavailable::Barrier(failure));
            }
            // A loss of stored state may be detected during the barrier.
            if self.state_loss.withholds_answers() {
                return StatusLookup::Unavailable(Unavailable::Rebuilding);
            }
        }
        match self.store.view.borrow().status(id) {
            Some(status) => StatusLookup::Found(status),
            None => StatusLookup::NoSuchJob,
        }
    }

    /// Returns a job's status as it may be shown to a user: a cancelled job is reported as cancelled only after the
    /// cancellation is confirmed (see [`CancellationService::confirm`]).
    async fn confirmed_status(&self, id: &JobId) -> StatusLookup {
        let lookup = self.linearizable_status(id).await;
        if let StatusLookup::Found(status) = &lookup
            && status.status == ABORTED
            && !self.cancellations.confirm(id, self.clock.now()).await
        {
            return StatusLookup::Unavailable(Unavailable::CancellationUnproven);
        }
        lookup
    }

    /// Returns the response while stored state is lost or being rebuilt: the status of a job that is known to be done,
    /// because a final status never changes, or otherwise a 503 response with `Retry-After`.
    fn final_status_or_retry(&self, id: &JobId) -> HttpResponse {
        let loss = self.store.loss.borrow();
        let snapshot = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
        let view = self.store.view.borrow();
        let views = [Some(&*view), snapshot].into_iter().flatten();
        let mut views_with_done = views.filter(|view| {
            view.end(id)
                .is_some_and(|end| end.outcome == JobOutcome::Done)
        });
        match views_with_done.find_map(|view| view.status(id)) {
            Some(status) => self.respond_found(id, &status),
            None => {
                let reason = Unavailable::Rebuilding;
                self.stats.record_unavailable(id, reason, self.clock.now());
                HttpResponse::retry_later(
                    503,
                    "stored state is being rebuilt",
                    RETRY_AFTER_REBUILD_S,
                )
            }
        }
    }

    async fn query(&self, id: &str) -> HttpResponse {
        let Some(id) = JobId::parse(id) else {
            return no_such_job();
        };
        if self.state_loss.withholds_answers() {
            return self.final_status_or_retry(&id);
        }
        match self.confirmed_status(&id).await {
            StatusLookup::Found(status) => self.respond_found(&id, &status),
            StatusLookup::NoSuchJob => no_such_job(),
            StatusLookup::Unavailable(reason) => self.respond_unavailable(&id, reason),
        }
    }

    async fn cancel(&self, id: &str) -> HttpResponse {
        let deadline = self.clock.now() + CANCELLATION_TIMEOUT;
        let Some(id) = JobId::parse(id) else {
            return no_such_job();
        };
        if self.state_loss.withholds_answers() {
            return self.final_status_or_retry(&id);
        }
        let is_known = self.store.view.borrow().contains_job(&id);
        if !is_known {
            match self.linearizable_status(&id).await {
                StatusLookup::Found(_) => {}
                StatusLookup::NoSuchJob => return no_such_job(),
                StatusLookup::Unavailable(reason) => return self.respond_unavailable(&id, reason),
            }
        }
        if self.end_of(&id).is_none()
            && let Err(reason) = self.commit_cancellation(&id).await
        {
            return self.respond_unavailable(&id, reason);
        }
        match self.end_of(&id).map(|e| e.outcome) {
            Some(JobOutcome::Done) => self.respond_found(&id, &JobAnswer::new(&id, DONE)),
            Some(JobOutcome::Aborted) if self.cancellations.confirm(&id, deadline).await => {
                self.respond_found(&id, &JobAnswer::new(&id, ABORTED))
            }
            Some(JobOutcome::Aborted) => self.respond_unconfirmed(&id),
            None => self.respond_unavailable(&id, Unavailable::CommitNotVisible),
        }
    }

    /// Returns the response with a job's status, and records that a question about it was answered.
    fn respond_found(&self, id: &JobId, body: &impl Serialize) -> HttpResponse {
        self.stats.record_answer(id);
        HttpResponse::json(200, body)
    }

    /// Returns the response to a request that can't be answered now, and records why. The user has to retry.
    fn respond_unavailable(&self, id: &JobId, reason: Unavailable) -> HttpResponse {
        self.stats.record_unavailable(id, reason, self.clock.now());
        state_service_timeout()
    }

    /// Returns the response to the cancellation of a job whose tasks may still be on machines.
    fn respond_unconfirmed(&self, id: &JobId) -> HttpResponse {
        let reason = Unavailable::CancellationUnproven;
        self.stats.record_unavailable(id, reason, self.clock.now());
        let machines = self.store.view.borrow().machines_of(id);
        let first = machines.first().map_or("", |machine| machine.0.as_str());
        info!(
            "event=cancellation_unconfirmed job={id} machines={} first={first}",
            machines.len()
        );
        HttpResponse::retry_later(503, "tasks may still run", RETRY_AFTER_TRANSIENT_S)
    }

    fn end_of(&self, id: &JobId) -> Option<JobEnd> {
        self.store.view.borrow().end(id)
    }

    /// Commits the cancellation of a job unless the job has already ended. After success the view shows how the job
    /// ended.
    ///
    /// # Errors
    ///
    /// Fails if the outcome of the commit, or its visibility in the view, is uncertain.
    async fn commit_cancellation(&self, id: &JobId) -> Result<(), Unavailable> {
        let end = JobEnd {
            outcome: JobOutcome::Aborted,
            at: self.clock.unix_time(),
            done: self.store.view.borrow().status(id).map_or(0, |s| s.done),
        };
        // This key alone decides between done and aborted: the first writer wins.
        let key = StoreKey::JobEnd(id.clone());
        let conditions = [key.is_absent()];
        let put = [key.put(&end)];
        match self.commits.commit(&conditions, &put).await {
            Some(Outcome::Applied(revision)) => {
                self.store.record_commits(revision, &put);
                info!("event=job_cancelled job={id}");
                // At this revision the view shows every placement the job ever had, as nothing is placed after its end.
                let is_visible = self
                    .store
                    .wait_for_revision(revision, VISIBILITY_TIMEOUT)
                    .await;
                if is_visible {
                    Ok(())
                } else {
                    Err(Unavailable::CommitNotVisible)
                }
            }
            Some(Outcome::Conflict(_)) => {
                let _ = self.store.barrier().await;
                Ok(())
            }
            None => Err(Unavailable::CommitUncertain),
        }
    }
}

/// Returns the response when the key-value store did not respond in time. The user has to retry.
fn state_service_timeout() -> HttpResponse {
    HttpResponse::retry_later(503, "state service did not answer", RETRY_AFTER_TRANSIENT_S)
}

fn no_such_job() -> HttpResponse {
    HttpResponse::error(404, "no such job")
}
