//! One controller: its parts, its connections and its long-lived duties.

use crate::api::{users, workers};
use crate::cancellation::{self, Cancellation, Cancellations};
use crate::clock::{Clock, sleep};
use crate::cloud::Cloud;
use crate::config::{Member, Platform, Settings};
use crate::election::{self, LeaderLease};
use crate::http::{self, HttpRequest, HttpResponse};
use crate::kv::KvClient;
use crate::leader::{self, LeaderTerm};
use crate::net::{Listener, Stream};
use crate::peer::{self, ClusterStatus, Frame, Peer, PeerReply, PeerRequest};
use crate::scheduler::{ControllerStatus, Heartbeat, JobEnd, JobId, JobOutcome, TeamQuota};
use crate::state_loss;
use crate::store::StateCache;
use crate::units::Micros;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use log::{debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::rc::Rc;

/// How often a controller looks whether it was paused.
const PAUSE_CHECK_INTERVAL: Micros = Micros::millis(100);
/// A look so late means that it did.
const PAUSE_THRESHOLD: Micros = Micros::secs(1);
/// How often the other controllers are asked what they know.
const PING_INTERVAL: Micros = Micros::secs(1);
/// How long they may take.
const PING_TIMEOUT: Micros = Micros::millis(900);
/// How long what another controller said of the state service counts.
const PEER_STATUS_VALIDITY: Micros = Micros::secs(4);

/// A controller that did not answer for so long may be down.
const PEER_TIMEOUT: Micros = Micros::millis(2_200);

/// The same trouble is told this often.
const LOG_INTERVAL: Micros = Micros::secs(10);

/// After a failed ping reports are not passed on to a controller for so long.
const ROUTE_SUSPENSION: Micros = Micros::secs(2);

mod contacts;

use contacts::{ContactTracker, publish_contacts};

/// What another controller said last.
#[derive(Debug, Clone, Default)]
struct PeerStatus {
    cluster_status: ClusterStatus,
    at: Micros,
    /// Whether a ping failed since.
    failed: bool,
}

/// A controller.
pub struct Controller {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub settings: Settings,
    /// The teams.
    pub teams: BTreeMap<String, TeamQuota>,
    /// Most jobs that are accepted and not ended.
    pub admission_cap: usize,
    /// Drawn anew by every process.
    pub incarnation: u64,
    /// When this process began.
    pub started_at: Micros,
    /// The clock.
    pub clock: Clock,
    /// The state service.
    pub state: Rc<KvClient>,
    /// The cached view.
    pub store: StateCache,
    /// The cloud.
    pub cloud: Cloud,
    /// The other controllers.
    pub peers: Vec<Peer>,
    leading: RefCell<Option<Rc<LeaderTerm>>>,
    peer_statuses: RefCell<BTreeMap<String, PeerStatus>>,
    token_seen: Cell<u64>,
    partition_reported_at: Cell<Micros>,
    suspended_routes: RefCell<BTreeMap<String, Micros>>,
    contacts: ContactTracker,
    /// Cancellations, also those that the view need not show yet.
    pub cancellations: RefCell<Cancellations>,
    /// When the cloud last answered a question for a cancellation.
    pub cloud_answered: Cell<Micros>,
    connections: Cell<usize>,
    /// Whether it was told that sockets are short.
    socket_shortage_logged: Cell<bool>,
    /// When it was last told that submissions are refused.
    admission_logged_at: Cell<Micros>,
    /// When it last looked whether it was paused.
    last_pause_check: Cell<Micros>,
}

impl Controller {
    /// A controller that has not begun.
    pub fn new(platform: Platform, settings: Settings) -> Controller {
        let clock = Clock;
        let limits = &platform.facts.state;
        let size = platform.facts.size as f64;
        let state = Rc::new(KvClient::new(
            platform.external.state,
            limits.rps / size,
            limits.write_rps / size,
            settings.rebuilds(),
        ));
        // Watches may take about a sixth of a controller's share of the requests.
        let pause = Micros::from_secs_f64((6.0 * size / limits.rps).clamp(0.05, 0.25));
        let lease = Micros::from_secs_f64(platform.facts.workers.lease_s);
        let kept = platform.kept_connections();
        let peers = platform
            .members
            .iter()
            .map(|m| Peer::new(m.node.clone(), m.address, kept));
        Controller {
            teams: platform.teams(),
            admission_cap: settings.admission_cap(&platform),
            incarnation: fastrand::u64(..) >> 12,
            started_at: clock.now(),
            clock,
            store: StateCache::new(state.clone(), clock, pause),
            state,
            cloud: Cloud::new(platform.external.cloud, platform.facts.cloud.rps),
            peers: peers.collect(),
            leading: RefCell::default(),
            peer_statuses: RefCell::default(),
            token_seen: Cell::new(0),
            partition_reported_at: Cell::new(Micros::ZERO),
            suspended_routes: RefCell::default(),
            contacts: ContactTracker::new(platform.report(), lease),
            cancellations: RefCell::default(),
            cloud_answered: Cell::new(Micros::ZERO),
            connections: Cell::new(0),
            socket_shortage_logged: Cell::new(false),
            admission_logged_at: Cell::new(Micros::ZERO),
            last_pause_check: Cell::new(clock.now()),
            platform,
            settings,
        }
    }

    /// The term that this controller leads, if it does.
    pub fn leading(&self) -> Option<Rc<LeaderTerm>> {
        self.leading.borrow().clone()
    }

    /// Looks whether this process was paused: then it heard nobody, whoever spoke.
    pub fn detect_pause(&self, now: Micros) {
        let gap = now.since(self.last_pause_check.replace(now));
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        info!("event=process_paused node={} for={gap}", self.platform.node);
        if let Some(leading) = self.leading() {
            leading.scheduler.borrow_mut().on_process_pause(gap, now);
        }
    }

    /// What this controller knows of who leads: from its own term, its view and the other controllers.
    pub fn cluster_status(&self) -> ClusterStatus {
        let mut best = ClusterStatus {
            token: self.token_seen.get(),
            leader: None,
            state_reachable: self.store.reachable(),
            peer_unreachable: !self.all_reachable(),
            incarnation: self.incarnation,
            leads: self.leading.borrow().is_some(),
        };
        let mut consider = |token: u64, leader: Option<&str>| {
            if token > best.token || (token == best.token && best.leader.is_none()) {
                best.token = token;
                best.leader = leader.map(str::to_owned);
            }
        };
        if let Some(leading) = &*self.leading.borrow() {
            consider(leading.token(), Some(&self.platform.node));
        }
        let view = self.store.view.borrow();
        consider(view.highest_token(), None);
        if let Some(leader) = &view.leader {
            consider(view.token(leader.version), Some(&leader.value.node));
        }
        for status in self.peer_statuses.borrow().values() {
            consider(
                status.cluster_status.token,
                status.cluster_status.leader.as_deref(),
            );
        }
        best
    }

    /// Takes in what another controller knows.
    pub fn observe(&self, cluster_status: &ClusterStatus) {
        let token = self.token_seen.get().max(cluster_status.token);
        self.token_seen.set(token);
        if cluster_status.peer_unreachable {
            self.partition_reported_at.set(self.clock.now());
        }
    }

    /// Whether every other controller said something since this process began.
    pub fn has_heard_all_peers(&self) -> bool {
        let peer_statuses = self.peer_statuses.borrow();
        let mut members = self.platform.members.iter();
        members.all(|m| peer_statuses.contains_key(&m.node))
    }

    fn all_reachable(&self) -> bool {
        self.platform
            .members
            .iter()
            .all(|m| self.is_peer_reachable(&m.node))
    }

    /// Whether another controller told lately that it misses one, though this one may reach all.
    pub fn peer_reports_partition(&self) -> bool {
        self.clock.now().since(self.partition_reported_at.get()) < PEER_TIMEOUT
    }

    fn record_peer_status(&self, peer: &str, cluster_status: ClusterStatus) {
        let status = PeerStatus {
            cluster_status,
            at: self.clock.now(),
            failed: false,
        };
        self.peer_statuses
            .borrow_mut()
            .insert(peer.to_owned(), status);
    }

    /// Whether the direct way to a controller failed lately.
    pub fn is_route_suspended(&self, peer: &str) -> bool {
        let until = self.suspended_routes.borrow().get(peer).copied();
        until.is_some_and(|t| t > self.clock.now())
    }

    /// The direct way to a controller failed.
    pub fn suspend_route(&self, peer: &str, until: Micros) {
        self.suspended_routes
            .borrow_mut()
            .insert(peer.to_owned(), until);
    }

    /// These jobs are cancelled, whether or not the view shows it yet.
    ///
    /// Guards against tasks that outlive their cancellation because the state service stopped answering right after it
    /// was committed, so that no watch tells the leader.
    pub fn record_cancellations(&self, cancelled: &[Cancellation]) {
        for c in cancelled {
            self.cancellations.borrow_mut().note(c);
            if let Some(leading) = self.leading() {
                let end = JobEnd {
                    outcome: JobOutcome::Aborted,
                    at: c.at,
                    done: 0,
                };
                leading.scheduler.borrow_mut().end_job(&c.job, end);
            }
        }
    }

    /// A heartbeat shows what is left of cancelled tasks on its machine.
    pub fn check_residue(&self, report: &Heartbeat) {
        let unix_time = self.clock.unix_time();
        self.cancellations.borrow_mut().on_report(report, unix_time);
    }

    /// Whether a controller that leads, with or without a lease, answers: this one or another.
    pub fn leader_reachable(&self) -> bool {
        let peer_statuses = self.peer_statuses.borrow();
        let leads = |(node, status): (&String, &PeerStatus)| {
            status.cluster_status.leads && self.is_peer_reachable(node)
        };
        self.leading().is_some() || peer_statuses.iter().any(leads)
    }

    /// Whether it is known here that a job's user cancelled it.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        let view = self.store.view.borrow();
        match view.end(job) {
            Some(end) => end.outcome == JobOutcome::Aborted,
            None => self.cancellations.borrow().knows(job),
        }
    }

    /// A controller of the zone that answers, for a worker of the zone.
    pub fn peer_in_zone(&self, zone: &str) -> Option<String> {
        let members = self.platform.members.iter();
        let near: Vec<&Member> = members
            .filter(|m| m.zone == zone && self.is_peer_reachable(&m.node))
            .collect();
        fastrand::choice(near).map(|m| m.node.clone())
    }

    /// Whether another controller answered lately. One that lacks only the state service passes heartbeats on as ever.
    fn is_peer_reachable(&self, node: &str) -> bool {
        let now = self.clock.now();
        let peer_statuses = self.peer_statuses.borrow();
        let fresh = |w: &PeerStatus| !w.failed && now.since(w.at) < PEER_TIMEOUT;
        peer_statuses.get(node).is_some_and(fresh)
    }

    /// The controllers, and which of them answer.
    pub fn controllers(&self) -> Vec<ControllerStatus> {
        let members = self.platform.members.iter();
        let seen = members.map(|m| ControllerStatus {
            node: m.node.clone(),
            zone: m.zone.clone(),
            is_reachable: self.is_peer_reachable(&m.node),
        });
        let own = ControllerStatus {
            node: self.platform.node.clone(),
            zone: self.platform.zone.clone(),
            is_reachable: true,
        };
        seen.chain([own]).collect()
    }

    /// Whether this controller reaches neither the state service nor any other controller.
    pub fn is_isolated(&self) -> bool {
        let mut others = self.platform.members.iter().peekable();
        let has_others = others.peek().is_some();
        has_others && !self.store.reachable() && !others.any(|m| self.is_peer_reachable(&m.node))
    }

    /// Most connections that are accepted: some sockets are kept back for the state service, the cloud and the other
    /// controllers.
    fn max_connections(&self) -> usize {
        self.platform.facts.machine_limits.max_sockets * 4 / 5
    }

    /// Whether sockets are so short that workers' connections end with each answer as well, and open anew for the next
    /// report.
    ///
    /// Guards against idle connections of some workers that keep out the others, where fewer sockets than workers are left:
    /// each heartbeat is then answered in its turn, and no worker loses its lease.
    pub fn is_socket_limit_near(&self) -> bool {
        self.connections.get() > self.max_connections() * 9 / 10
    }

    /// Tells that submissions are refused, as there are as many jobs as this controller takes; not for each of them.
    pub fn log_admission_limit(&self, active: usize) {
        let now = self.clock.now();
        if now.since(self.admission_logged_at.get()) >= LOG_INTERVAL {
            self.admission_logged_at.set(now);
            warn!(
                "event=admission_limit_reached active={active} cap={}",
                self.admission_cap
            );
        }
    }

    /// Tells when sockets get short, and when they are not any more.
    fn log_socket_use(&self) {
        let connections = self.connections.get();
        let most = self.max_connections();
        if self.is_socket_limit_near() && !self.socket_shortage_logged.replace(true) {
            warn!("event=socket_shortage connections={connections} most={most} answers=close");
        } else if !self.is_socket_use_high() && self.socket_shortage_logged.replace(false) {
            info!("event=socket_shortage_ended connections={connections} most={most}");
        }
    }

    /// Whether sockets are getting short, so that connections of users end with each answer and idle ones end soon.
    ///
    /// Guards against users' connections keeping out workers, as after a filter between controllers, when the leader may
    /// have to take every worker of the fleet.
    pub fn is_socket_use_high(&self) -> bool {
        self.connections.get() > self.max_connections() * 3 / 4
    }

    /// How long a connection may stand idle: for longer than any worker is silent between two heartbeats.
    fn idle_limit(&self) -> Micros {
        let (least, reports) = if self.is_socket_use_high() {
            (Micros::secs(20), 2)
        } else {
            (Micros::secs(60), 4)
        };
        least.max(self.platform.report().scaled(reports, 1))
    }

    /// Whether this controller can take requests.
    ///
    /// One that alone can't reach the state service, or that reaches nobody at all, is not ready; in an outage for all of
    /// them each stays ready and refuses at once, as no other could do better.
    pub fn is_ready(&self) -> bool {
        let view = self.store.view.borrow();
        if view.loaded && self.store.loss.borrow().is_some() && !self.is_isolated() {
            // As in an outage: no other could do better, and each tells its users when to come back.
            return true;
        }
        if !view.loaded || view.machine_types.is_none() || self.is_isolated() {
            return false;
        }
        let now = self.clock.now();
        let another_can =
            self.peer_statuses.borrow().values().any(|w| {
                w.cluster_status.state_reachable && now.since(w.at) < PEER_STATUS_VALIDITY
            });
        self.store.reachable() || !another_can
    }
}

/// Runs a controller for ever; returns only when it can't listen.
pub async fn run<'a>(ex: &LocalExecutor<'a>, node: Rc<Controller>) -> io::Result<()>
where
    Rc<Controller>: 'a,
{
    let faces = Listener::bind(node.platform.bind).await?;
    let internal = Listener::bind(node.platform.internal_addr).await?;
    info!(
        "event=started node={} zone={} bind={} internal={}",
        node.platform.node, node.platform.zone, node.platform.bind, node.platform.internal_addr
    );
    for warning in node.platform.warnings() {
        warn!("event=settings_marginal reason={warning:?}");
    }
    let duty = |name: &'static str, work: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        ex.spawn(async move {
            work.await;
            warn!("event=task_ended duty={name}");
        })
    };
    let n = node.clone();
    let _follow = duty("follow", Box::pin(async move { n.store.follow().await }));
    let n = node.clone();
    let _barriers = duty(
        "barriers",
        Box::pin(async move { n.store.serve_barriers().await }),
    );
    let n = node.clone();
    let _lead = duty("lead", Box::pin(async move { run_elections(&n).await }));
    let n = node.clone();
    let _contacts = duty(
        "contacts",
        Box::pin(async move { publish_contacts(&n).await }),
    );
    let n = node.clone();
    let _pulse = duty(
        "pulse",
        Box::pin(async move {
            loop {
                n.detect_pause(n.clock.now());
                n.log_socket_use();
                sleep(PAUSE_CHECK_INTERVAL).await;
            }
        }),
    );
    let n = node.clone();
    let _clear_up = duty(
        "clear_up",
        Box::pin(async move { cancellation::terminate_residue(&n).await }),
    );
    let n = node.clone();
    let _rebuild = node.settings.rebuilds().then(|| {
        duty(
            "rebuild",
            Box::pin(async move { state_loss::watch_over(&n).await }),
        )
    });
    let mut pings = Vec::new();
    for i in 0..node.peers.len() {
        let n = node.clone();
        pings.push(duty(
            "ping",
            Box::pin(async move { ping(&n, &n.peers[i]).await }),
        ));
    }
    let n = node.clone();
    let ex2 = LocalExecutor::new();
    let internal_work = accept(&ex2, internal, node.clone(), move |stream| {
        let n = n.clone();
        async move { peer::serve(stream, |frame| handle_peer_request(n.clone(), frame)).await }
    });
    let n = node.clone();
    let face_work = accept(ex, faces, node.clone(), move |stream| {
        let n = n.clone();
        async move {
            let idle = || n.idle_limit();
            http::serve(stream, idle, |call| route(n.clone(), call)).await
        }
    });
    futures_lite::future::zip(ex2.run(internal_work), face_work).await;
    Ok(())
}

/// Accepts connections, each served by a routine of its own.
async fn accept<'a, F, Fut>(
    ex: &LocalExecutor<'a>,
    listener: Listener,
    node: Rc<Controller>,
    serve: F,
) where
    F: Fn(Stream) -> Fut,
    Fut: Future<Output = ()> + 'a,
    Rc<Controller>: 'a,
{
    let most = node.max_connections();
    loop {
        match listener.accept().await {
            Ok(stream) if node.connections.get() < most => {
                let node = node.clone();
                node.connections.set(node.connections.get() + 1);
                let work = serve(stream);
                ex.spawn(async move {
                    work.await;
                    node.connections.set(node.connections.get() - 1);
                })
                .detach();
            }
            Ok(_) => debug!("event=connection_refused reason=too_many"),
            Err(e) => {
                debug!("event=accept_failed error={:?}", e.to_string());
                sleep(Micros::millis(50)).await;
            }
        }
    }
}

async fn route(node: Rc<Controller>, call: HttpRequest) -> HttpResponse {
    if call.path == "/checkin" {
        let reply = workers::answer(&node, &call).await;
        let close = reply.close || node.is_socket_limit_near();
        HttpResponse { close, ..reply }
    } else {
        let reply = users::answer(&node, &call).await;
        // Users come back through the load balancer, so that they make room first.
        let close = reply.close || node.is_socket_use_high();
        HttpResponse { close, ..reply }
    }
}

async fn handle_peer_request(node: Rc<Controller>, frame: Frame<PeerRequest>) -> Frame<PeerReply> {
    node.observe(&frame.cluster_status);
    let message = match frame.message {
        PeerRequest::Ping { cancelled, gone } => {
            node.record_cancellations(&cancelled);
            let unix_time = node.clock.unix_time();
            node.cancellations
                .borrow_mut()
                .on_residue_cleared(&gone, unix_time);
            PeerReply::Pong
        }
        PeerRequest::Heartbeat { relay, via, report } => {
            workers::answer_relayed(&node, report, &via, relay).await
        }
    };
    Frame {
        cluster_status: node.cluster_status(),
        message,
    }
}

/// The duty that stands for election and leads when elected.
async fn run_elections(node: &Rc<Controller>) {
    loop {
        let leadership = election::acquire(node).await;
        if let Some(why) = restore(node, &leadership).await {
            info!(
                "event=leader_term_ended token={} reason={why:?}",
                leadership.token
            );
            let _ = node.state.revoke(leadership.lease).await;
            continue;
        }
        node.store.record_changes(true);
        let leading = Rc::new(LeaderTerm::new(node, leadership));
        *node.leading.borrow_mut() = Some(leading.clone());
        let why = leader::run_term(node, &leading).await;
        *node.leading.borrow_mut() = None;
        node.store.record_changes(false);
        info!(
            "event=leader_term_ended token={} reason={why:?}",
            leading.token()
        );
        let limits = &node.platform.facts.state;
        let size = node.platform.facts.size as f64;
        node.state
            .set_share(limits.rps / size, limits.write_rps / size);
        if node.cluster_status().token == leading.token() {
            let _ = node.state.revoke(leading.lease()).await;
        }
    }
}

/// Rebuilds what was lost, if anything was, while the lease lasts; says why it could not.
async fn restore(node: &Controller, leadership: &LeaderLease) -> Option<&'static str> {
    let keep = async { Some(election::hold(node, leadership).await) };
    let restore = async { state_loss::restore(node, leadership).await.err() };
    restore.or(keep).await
}

/// The duty that asks another controller what it knows.
async fn ping(node: &Controller, peer: &Peer) {
    let mut told_until = node.cancellations.borrow().residue_cleared_cursor();
    loop {
        let (cancelled, (gone, told_next)) = {
            let cancellations = node.cancellations.borrow();
            let gone = cancellations.residue_cleared_since(told_until);
            (cancellations.unacknowledged(&peer.node), gone)
        };
        let ping = PeerRequest::Ping {
            cancelled: cancelled.clone(),
            gone,
        };
        match peer.call(node.cluster_status(), ping, PING_TIMEOUT).await {
            Ok(frame) => {
                told_until = told_next;
                let incarnation = frame.cluster_status.incarnation;
                let mut cancellations = node.cancellations.borrow_mut();
                cancellations.acknowledge(&peer.node, incarnation, &cancelled);
                drop(cancellations);
                node.observe(&frame.cluster_status);
                node.record_peer_status(&peer.node, frame.cluster_status);
                node.suspended_routes.borrow_mut().remove(&peer.node);
            }
            Err(e) => {
                debug!(
                    "event=ping_failed peer={} error={:?}",
                    peer.node,
                    e.to_string()
                );
                if let Some(status) = node.peer_statuses.borrow_mut().get_mut(&peer.node) {
                    status.failed = true;
                }
                // Reports need not find out anew that this way is closed.
                node.suspend_route(&peer.node, node.clock.now() + ROUTE_SUSPENSION);
            }
        }
        sleep(PING_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
