//! One controller: creates its components, spawns its tasks and serves its connections. It contains no scheduling
//! logic.

mod parts;
mod summary;
mod tasks;

pub use tasks::run;

use crate::api::admission::AdmissionControl;
use crate::api::answers::AnswerStats;
use crate::api::commits::UserCommits;
use crate::api::peers::PeerApi;
use crate::api::users::UserApi;
use crate::api::worker_stats::WorkerStats;
use crate::api::workers::WorkerApi;
use crate::cancellation::{CancellationService, Cancellations, OverdueTerminator};
use crate::clock::Clock;
use crate::config::{Platform, Settings};
use crate::connections::Connections;
use crate::contacts::ContactTracker;
use crate::election::Election;
use crate::http::{HttpRequest, HttpResponse};
use crate::leader::Leader;
use crate::peer_pinger::PeerPinger;
use crate::state_loss::StateLossRecovery;
use crate::units::Micros;
use std::cell::RefCell;
use std::rc::Rc;

use parts::SharedParts;
use summary::SummarySchedule;

/// The HTTP path of workers' heartbeats; all other paths belong to the user API.
const HEARTBEAT_PATH: &str = "/checkin";

/// A controller with all its components.
pub struct Controller {
    shared: SharedParts,
    connections: Rc<Connections>,
    overdue_terminator: OverdueTerminator,
    contacts: Rc<ContactTracker>,
    state_loss: Rc<StateLossRecovery>,
    leader: Leader,
    users: UserApi,
    workers: Rc<WorkerApi>,
    peer_api: PeerApi,
    pinger: PeerPinger,
    summary_schedule: SummarySchedule,
}

impl Controller {
    /// Creates a controller, which does nothing until it is passed to [`run`].
    pub fn new(platform: Platform, settings: Settings) -> Controller {
        let shared = SharedParts::new(platform, settings);
        let registry = Rc::default();
        let cancellations = Rc::new(cancellations(&shared, &registry));
        let contacts = Rc::new(contacts(&shared));
        let state_loss = Rc::new(state_loss(&shared, &cancellations));
        let workers = Rc::new(worker_api(&shared, &contacts, &cancellations));
        Controller {
            connections: Rc::new(Connections::new(&shared.platform)),
            leader: leader(&shared, &state_loss),
            users: user_api(&shared, &state_loss, &cancellations),
            peer_api: PeerApi {
                membership: shared.membership.clone(),
                cancellations: cancellations.clone(),
                workers: workers.clone(),
            },
            pinger: PeerPinger {
                membership: shared.membership.clone(),
                cancellations: cancellations.clone(),
            },
            overdue_terminator: overdue_terminator(&shared, registry),
            summary_schedule: SummarySchedule::new(Clock.now()),
            shared,
            contacts,
            state_loss,
            workers,
        }
    }

    /// Answers an HTTP request from a user, a worker or a health check.
    async fn route(&self, request: HttpRequest) -> HttpResponse {
        if request.path == HEARTBEAT_PATH {
            let response = self.workers.answer(&request).await;
            let close = response.close || self.connections.is_limit_near();
            HttpResponse { close, ..response }
        } else {
            let response = self.users.answer(&request).await;
            // User connections are closed at a lower load than those of workers, since users reconnect through the load
            // balancer.
            let close = response.close || self.connections.is_use_high();
            HttpResponse { close, ..response }
        }
    }
}

fn cancellations(
    shared: &SharedParts,
    registry: &Rc<RefCell<Cancellations>>,
) -> CancellationService {
    CancellationService::new(
        registry.clone(),
        shared.store.clone(),
        shared.membership.clone(),
        shared.peers.clone(),
        shared.current_term.clone(),
    )
}

fn overdue_terminator(
    shared: &SharedParts,
    registry: Rc<RefCell<Cancellations>>,
) -> OverdueTerminator {
    OverdueTerminator {
        clock: Clock,
        registry,
        cancel_limit: Micros::from_secs_f64(shared.platform.facts.workers.cancel_s),
        store: shared.store.clone(),
        cloud: shared.cloud.clone(),
        membership: shared.membership.clone(),
    }
}

fn contacts(shared: &SharedParts) -> ContactTracker {
    ContactTracker::new(
        &shared.platform,
        shared.kv.clone(),
        shared.store.clone(),
        shared.membership.clone(),
    )
}

fn state_loss(shared: &SharedParts, cancellations: &Rc<CancellationService>) -> StateLossRecovery {
    StateLossRecovery::new(
        &shared.platform,
        &shared.settings,
        shared.kv.clone(),
        shared.store.clone(),
        shared.membership.clone(),
        cancellations.clone(),
    )
}

fn leader(shared: &SharedParts, state_loss: &Rc<StateLossRecovery>) -> Leader {
    let election = Election::new(
        shared.kv.clone(),
        shared.store.clone(),
        shared.membership.clone(),
        state_loss.clone(),
        shared.settings.leader_lease(),
    );
    Leader {
        clock: Clock,
        platform: shared.platform.clone(),
        settings: shared.settings.clone(),
        kv: shared.kv.clone(),
        store: shared.store.clone(),
        cloud: shared.cloud.clone(),
        membership: shared.membership.clone(),
        current_term: shared.current_term.clone(),
        election,
        state_loss: state_loss.clone(),
        pause_detector: shared.pause_detector.clone(),
    }
}

fn user_api(
    shared: &SharedParts,
    state_loss: &Rc<StateLossRecovery>,
    cancellations: &Rc<CancellationService>,
) -> UserApi {
    UserApi {
        clock: Clock,
        commits: UserCommits::new(shared.kv.clone(), shared.store.clone()),
        store: shared.store.clone(),
        membership: shared.membership.clone(),
        state_loss: state_loss.clone(),
        cancellations: cancellations.clone(),
        stats: AnswerStats::default(),
        admission: AdmissionControl::new(&shared.platform, &shared.settings),
        max_record_bytes: shared.platform.facts.state.value_kb * 1024.0,
    }
}

fn worker_api(
    shared: &SharedParts,
    contacts: &Rc<ContactTracker>,
    cancellations: &Rc<CancellationService>,
) -> WorkerApi {
    WorkerApi {
        clock: Clock,
        membership: shared.membership.clone(),
        peers: shared.peers.clone(),
        current_term: shared.current_term.clone(),
        contacts: contacts.clone(),
        cancellations: cancellations.clone(),
        stats: WorkerStats::default(),
    }
}

#[cfg(test)]
mod tests;
