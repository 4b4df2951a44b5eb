//! One controller: builds its parts, spawns its tasks and serves its connections. It decides nothing itself.

use crate::api::admission::AdmissionControl;
use crate::api::peers::PeerApi;
use crate::api::users::UserApi;
use crate::api::workers::WorkerApi;
use crate::cancellation::CancellationService;
use crate::clock::{Clock, sleep};
use crate::cloud::Cloud;
use crate::config::{Platform, Settings};
use crate::connections::Connections;
use crate::contacts::ContactTracker;
use crate::election::Election;
use crate::http::{self, HttpRequest, HttpResponse};
use crate::kv::KvClient;
use crate::leader::Leader;
use crate::membership::Membership;
use crate::net::{Listener, Stream};
use crate::pause_detector::{PAUSE_CHECK_INTERVAL, PauseDetector};
use crate::peer::{self, Peer};
use crate::peer_pinger::PeerPinger;
use crate::state_loss::StateLossRecovery;
use crate::store::StateCache;
use crate::term::{CurrentTerm, LeaderLease, LeaderTerm, TermEnd};
use crate::units::Micros;
use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future};
use log::{debug, info, warn};
use std::future::Future;
use std::io;
use std::rc::Rc;

/// The path of workers' heartbeats; all others are users'.
const HEARTBEAT_PATH: &str = "/checkin";
/// Pause after a connection could not be accepted, as sockets may be short.
const ACCEPT_RETRY: Micros = Micros::millis(50);
/// Requests a second that watches may take of a controller's share, about a sixth of it, and the bounds of the pause
/// between two watches that follows from it.
const WATCHES_PER_SHARE: f64 = 6.0;
const MIN_WATCH_PAUSE_S: f64 = 0.05;
const MAX_WATCH_PAUSE_S: f64 = 0.25;

/// The parts of a controller.
pub struct Controller {
    clock: Clock,
    platform: Rc<Platform>,
    settings: Settings,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    peers: Rc<Vec<Peer>>,
    membership: Rc<Membership>,
    connections: Rc<Connections>,
    current_term: Rc<CurrentTerm>,
    pause_detector: Rc<PauseDetector>,
    cancellations: Rc<CancellationService>,
    contacts: Rc<ContactTracker>,
    state_loss: Rc<StateLossRecovery>,
    election: Rc<Election>,
    leader: Leader,
    users: UserApi,
    workers: Rc<WorkerApi>,
    peer_api: PeerApi,
    pinger: PeerPinger,
}

impl Controller {
    /// A controller that has not begun.
    pub fn new(platform: Platform, settings: Settings) -> Controller {
        let clock = Clock;
        let platform = Rc::new(platform);
        let kv = Rc::new(kv_client(&platform, &settings));
        let store = Rc::new(StateCache::new(kv.clone(), clock, watch_pause(&platform)));
        let cloud = Rc::new(Cloud::new(
            platform.external.cloud,
            platform.facts.cloud.rps,
        ));
        let peers = Rc::new(connect_peers(&platform));
        let membership = Rc::new(Membership::new(&platform, store.clone(), clock));
        let current_term = Rc::new(CurrentTerm::default());
        let pause_detector = Rc::new(PauseDetector::new(&platform.node, clock.now()));
        let cancellations = Rc::new(CancellationService::new(
            clock,
            Micros::from_secs_f64(platform.facts.workers.cancel_s),
            store.clone(),
            cloud.clone(),
            membership.clone(),
            peers.clone(),
            current_term.clone(),
        ));
        let contacts = Rc::new(ContactTracker::new(
            &platform,
            clock,
            kv.clone(),
            store.clone(),
            membership.clone(),
        ));
        let state_loss = Rc::new(StateLossRecovery::new(
            &platform,
            &settings,
            clock,
            kv.clone(),
            store.clone(),
            membership.clone(),
            cancellations.clone(),
        ));
        let election = Rc::new(Election::new(
            clock,
            kv.clone(),
            store.clone(),
            membership.clone(),
            state_loss.clone(),
            settings.leader_lease(),
        ));
        let leader = Leader {
            clock,
            platform: platform.clone(),
            kv: kv.clone(),
            store: store.clone(),
            cloud,
            membership: membership.clone(),
            election: election.clone(),
            state_loss: state_loss.clone(),
            pause_detector: pause_detector.clone(),
        };
        let users = UserApi {
            clock,
            kv: kv.clone(),
            store: store.clone(),
            membership: membership.clone(),
            state_loss: state_loss.clone(),
            cancellations: cancellations.clone(),
            admission: AdmissionControl::new(&platform, &settings, clock),
            max_record_bytes: platform.facts.state.value_kb * 1024.0,
        };
        let workers = Rc::new(WorkerApi {
            clock,
            membership: membership.clone(),
            peers: peers.clone(),
            current_term: current_term.clone(),
            contacts: contacts.clone(),
            cancellations: cancellations.clone(),
        });
        Controller {
            clock,
            connections: Rc::new(Connections::new(&platform)),
            peer_api: PeerApi {
                membership: membership.clone(),
                cancellations: cancellations.clone(),
                workers: workers.clone(),
            },
            pinger: PeerPinger {
                membership: membership.clone(),
                cancellations: cancellations.clone(),
            },
            platform,
            settings,
            kv,
            store,
            peers,
            membership,
            current_term,
            pause_detector,
            cancellations,
            contacts,
            state_loss,
            election,
            leader,
            users,
            workers,
        }
    }

    /// Answers a request of a user, a worker or a health check.
    async fn route(&self, request: HttpRequest) -> HttpResponse {
        if request.path == HEARTBEAT_PATH {
            let response = self.workers.answer(&request).await;
            let close = response.close || self.connections.is_limit_near();
            HttpResponse { close, ..response }
        } else {
            let response = self.users.answer(&request).await;
            // Users come back through the load balancer, so that they make room first.
            let close = response.close || self.connections.is_use_high();
            HttpResponse { close, ..response }
        }
    }

    /// Stands for election and leads when elected, for ever.
    async fn run_elections(&self) {
        loop {
            let lease = self.election.acquire().await;
            if let Some(end) = self.restore(&lease).await {
                log_term_end(lease.token, end);
                self.election.resign(&lease).await;
                continue;
            }
            self.store.record_changes(true);
            let term = Rc::new(self.begin_term(lease));
            self.membership.set_own_term(Some(term.token()));
            self.current_term.set(Some(term.clone()));
            let end = self.leader.run_term(&term).await;
            self.current_term.set(None);
            self.membership.set_own_term(None);
            self.store.record_changes(false);
            log_term_end(term.token(), end);
            self.take_followers_share();
            if self.membership.cluster_status().token == term.token() {
                self.election.resign(term.lease()).await;
            }
        }
    }

    fn begin_term(&self, lease: LeaderLease) -> LeaderTerm {
        LeaderTerm::new(
            &self.platform,
            &self.settings,
            self.membership.incarnation(),
            lease,
            &self.store.view.borrow(),
            self.clock,
        )
    }

    /// Restores what was lost, if anything was, while the lease lasts; returns why it could not.
    async fn restore(&self, lease: &LeaderLease) -> Option<TermEnd> {
        let hold = async { Some(self.election.hold(lease).await) };
        let restore = async { self.state_loss.restore(lease).await.err() };
        restore.or(hold).await
    }

    /// Takes a follower's share of the state service's budget: all controllers' are the same.
    fn take_followers_share(&self) {
        let limits = &self.platform.facts.state;
        let size = self.platform.facts.size as f64;
        self.kv
            .set_share(limits.rps / size, limits.write_rps / size);
    }

    /// Detects process pauses, and logs shortages of sockets, for ever.
    async fn watch_process(&self) {
        loop {
            let now = self.clock.now();
            if let Some(gap) = self.pause_detector.check(now) {
                self.current_term.on_process_pause(gap, now);
            }
            self.connections.log_shortage();
            sleep(PAUSE_CHECK_INTERVAL).await;
        }
    }
}

fn log_term_end(token: u64, end: TermEnd) {
    info!(
        "event=leader_term_ended token={token} reason={:?}",
        end.to_string()
    );
}

fn kv_client(platform: &Platform, settings: &Settings) -> KvClient {
    let limits = &platform.facts.state;
    let size = platform.facts.size as f64;
    KvClient::new(
        platform.external.state,
        limits.rps / size,
        limits.write_rps / size,
        settings.rebuilds(),
    )
}

/// How long changes gather before the next watch.
fn watch_pause(platform: &Platform) -> Micros {
    let size = platform.facts.size as f64;
    let pause_s = WATCHES_PER_SHARE * size / platform.facts.state.rps;
    Micros::from_secs_f64(pause_s.clamp(MIN_WATCH_PAUSE_S, MAX_WATCH_PAUSE_S))
}

fn connect_peers(platform: &Platform) -> Vec<Peer> {
    let max_idle = platform.kept_connections();
    let members = platform.members.iter();
    let peers = members.map(|m| Peer::new(m.node.clone(), m.address, max_idle));
    peers.collect()
}

/// Runs a controller for ever.
///
/// Its tasks end when the returned future is dropped, wherever they are; each connection has a task of its own.
///
/// # Errors
///
/// Fails where it can't listen on one of its addresses.
pub async fn run<'a>(ex: &LocalExecutor<'a>, controller: Rc<Controller>) -> io::Result<()>
where
    Rc<Controller>: 'a,
{
    let platform = &controller.platform;
    let listener = Listener::bind(platform.bind).await?;
    let peer_listener = Listener::bind(platform.internal_addr).await?;
    info!(
        "event=started node={} zone={} bind={} internal={}",
        platform.node, platform.zone, platform.bind, platform.internal_addr
    );
    for warning in platform.warnings() {
        warn!("event=settings_marginal reason={warning:?}");
    }
    let _tasks = spawn_tasks(ex, &controller);
    let c = controller.clone();
    let peer_executor = LocalExecutor::new();
    let serve_peers = accept(&peer_executor, peer_listener, &controller, move |stream| {
        let c = c.clone();
        async move { peer::serve(stream, |frame| c.peer_api.answer(frame)).await }
    });
    let c = controller.clone();
    let serve_http = accept(ex, listener, &controller, move |stream| {
        let c = c.clone();
        async move {
            let idle_limit = || c.connections.idle_limit();
            http::serve(stream, idle_limit, |request| c.route(request)).await
        }
    });
    future::zip(peer_executor.run(serve_peers), serve_http).await;
    Ok(())
}

/// Spawns the tasks that run for as long as the controller does.
fn spawn_tasks<'a>(ex: &LocalExecutor<'a>, controller: &Rc<Controller>) -> Vec<Task<()>>
where
    Rc<Controller>: 'a,
{
    let mut tasks = Vec::new();
    let mut spawn = |name, work| tasks.push(spawn_named(ex, name, work));
    let c = controller.clone();
    spawn(
        "follow",
        async move { c.store.follow().await }.boxed_local(),
    );
    let c = controller.clone();
    spawn(
        "barriers",
        async move { c.store.serve_barriers().await }.boxed_local(),
    );
    let c = controller.clone();
    spawn("lead", async move { c.run_elections().await }.boxed_local());
    let c = controller.clone();
    spawn(
        "contacts",
        async move { c.contacts.publish().await }.boxed_local(),
    );
    let c = controller.clone();
    spawn(
        "pulse",
        async move { c.watch_process().await }.boxed_local(),
    );
    let c = controller.clone();
    spawn(
        "clear_up",
        async move { c.cancellations.terminate_residue().await }.boxed_local(),
    );
    if controller.settings.rebuilds() {
        let c = controller.clone();
        spawn(
            "rebuild",
            async move { c.state_loss.run().await }.boxed_local(),
        );
    }
    for i in 0..controller.peers.len() {
        let c = controller.clone();
        spawn(
            "ping",
            async move { c.pinger.run(&c.peers[i]).await }.boxed_local(),
        );
    }
    tasks
}

/// Spawns a task that is not expected to end.
fn spawn_named<'a>(
    ex: &LocalExecutor<'a>,
    name: &'static str,
    work: impl Future<Output = ()> + 'a,
) -> Task<()> {
    ex.spawn(async move {
        work.await;
        warn!("event=task_ended duty={name}");
    })
}

/// Accepts connections for ever, each served by a task of its own.
async fn accept<'a, F, Fut>(
    ex: &LocalExecutor<'a>,
    listener: Listener,
    controller: &Controller,
    serve: F,
) where
    F: Fn(Stream) -> Fut,
    Fut: Future<Output = ()> + 'a,
{
    loop {
        match listener.accept().await {
            Ok(stream) => match controller.connections.accept() {
                Some(open) => {
                    let work = serve(stream);
                    ex.spawn(async move {
                        work.await;
                        drop(open);
                    })
                    .detach();
                }
                None => debug!("event=connection_refused reason=too_many"),
            },
            Err(e) => {
                debug!("event=accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
