//! One controller: its parts, its connections and its long-lived duties.

use crate::cancellations::{self, Cancellation, Cancellations};
use crate::clock::{Clock, sleep};
use crate::cloud::Cloud;
use crate::config::{Member, Platform, Settings};
use crate::election::{self, Leadership};
use crate::http::{self, Call, Reply};
use crate::leader::{self, Leading};
use crate::net::{Listener, Stream};
use crate::peer::{self, Frame, Knowledge, Peer, Request};
use crate::scheduler::{Controller, End, Final, JobId, Report, TeamShare};
use crate::state::State;
use crate::store::Store;
use crate::units::Micros;
use crate::{rebuild, users, workers};
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use log::{debug, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::rc::Rc;

/// How often a controller looks whether it stood still.
const PULSE_EVERY: Micros = Micros::millis(100);
/// A look so late means that it did.
const STOOD_STILL: Micros = Micros::secs(1);
/// How often the other controllers are asked what they know.
const PING_EVERY: Micros = Micros::secs(1);
/// How long they may take.
const PING_WITHIN: Micros = Micros::millis(900);
/// How long what another controller said of the state service counts.
const WORD_LASTS: Micros = Micros::secs(4);

/// A controller that did not answer for so long may be down.
const LATELY: Micros = Micros::millis(2_200);

/// The same trouble is told this often.
const TELL_EVERY: Micros = Micros::secs(10);

/// After a failed ping reports are not passed on to a controller for so long.
const AVOID_FOR: Micros = Micros::secs(2);

mod contacts;

use contacts::{Contacts, publish_contacts};

/// What another controller said last.
#[derive(Debug, Clone, Default)]
struct Word {
    known: Knowledge,
    at: Micros,
    /// Whether a ping failed since.
    failed: bool,
}

/// A controller.
pub struct Node {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub settings: Settings,
    /// The teams.
    pub teams: BTreeMap<String, TeamShare>,
    /// Most jobs that are accepted and not over.
    pub admission_cap: usize,
    /// Drawn anew by every process.
    pub incarnation: u64,
    /// When this process began.
    pub began: Micros,
    /// The clock.
    pub clock: Clock,
    /// The state service.
    pub state: Rc<State>,
    /// The cached view.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// The other controllers.
    pub peers: Vec<Peer>,
    leading: RefCell<Option<Rc<Leading>>>,
    words: RefCell<BTreeMap<String, Word>>,
    token_seen: Cell<u64>,
    misses_told: Cell<Micros>,
    avoided: RefCell<BTreeMap<String, Micros>>,
    contacts: Contacts,
    /// Cancellations, also those that the view need not show yet.
    pub cancellations: RefCell<Cancellations>,
    /// When the cloud last answered a question for a cancellation.
    pub cloud_answered: Cell<Micros>,
    connections: Cell<usize>,
    /// Whether it was told that sockets are short.
    sockets_short: Cell<bool>,
    /// When it was last told that submissions are refused.
    told_of_admission: Cell<Micros>,
    /// When it last looked whether it stood still.
    pulse: Cell<Micros>,
}

impl Node {
    /// A controller that has not begun.
    pub fn new(platform: Platform, settings: Settings) -> Node {
        let clock = Clock;
        let limits = &platform.facts.state;
        let size = platform.facts.size as f64;
        let state = Rc::new(State::new(
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
        Node {
            teams: platform.teams(),
            admission_cap: settings.admission_cap(&platform),
            incarnation: fastrand::u64(..) >> 12,
            began: clock.now(),
            clock,
            store: Store::new(state.clone(), clock, pause),
            state,
            cloud: Cloud::new(platform.external.cloud, platform.facts.cloud.rps),
            peers: peers.collect(),
            leading: RefCell::default(),
            words: RefCell::default(),
            token_seen: Cell::new(0),
            misses_told: Cell::new(Micros::ZERO),
            avoided: RefCell::default(),
            contacts: Contacts::new(platform.report(), lease),
            cancellations: RefCell::default(),
            cloud_answered: Cell::new(Micros::ZERO),
            connections: Cell::new(0),
            sockets_short: Cell::new(false),
            told_of_admission: Cell::new(Micros::ZERO),
            pulse: Cell::new(clock.now()),
            platform,
            settings,
        }
    }

    /// The term that this controller leads, if it does.
    pub fn leading(&self) -> Option<Rc<Leading>> {
        self.leading.borrow().clone()
    }

    /// Looks whether this process stood still: then it heard nobody, whoever spoke.
    pub fn look_for_standstill(&self, now: Micros) {
        let gap = now.since(self.pulse.replace(now));
        if gap <= STOOD_STILL {
            return;
        }
        info!("event=stood_still node={} for={gap}", self.platform.node);
        if let Some(leading) = self.leading() {
            leading.scheduler.borrow_mut().stood_still(gap, now);
        }
    }

    /// What this controller knows of who leads: from its own term, its view and the other controllers.
    pub fn known(&self) -> Knowledge {
        let mut best = Knowledge {
            token: self.token_seen.get(),
            leader: None,
            state_reachable: self.store.reachable(),
            misses_one: !self.all_answer(),
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
        for word in self.words.borrow().values() {
            consider(word.known.token, word.known.leader.as_deref());
        }
        best
    }

    /// Takes in what another controller knows.
    pub fn learn(&self, known: &Knowledge) {
        let token = self.token_seen.get().max(known.token);
        self.token_seen.set(token);
        if known.misses_one {
            self.misses_told.set(self.clock.now());
        }
    }

    /// Whether every other controller said something since this process began.
    pub fn all_have_spoken(&self) -> bool {
        let words = self.words.borrow();
        let mut members = self.platform.members.iter();
        members.all(|m| words.contains_key(&m.node))
    }

    fn all_answer(&self) -> bool {
        self.platform.members.iter().all(|m| self.answers(&m.node))
    }

    /// Whether another controller told lately that it misses one, though this one may reach all.
    pub fn hears_of_a_cut(&self) -> bool {
        self.clock.now().since(self.misses_told.get()) < LATELY
    }

    fn note_word(&self, peer: &str, known: Knowledge) {
        let word = Word {
            known,
            at: self.clock.now(),
            failed: false,
        };
        self.words.borrow_mut().insert(peer.to_owned(), word);
    }

    /// Whether the direct way to a controller failed lately.
    pub fn avoids(&self, peer: &str) -> bool {
        let until = self.avoided.borrow().get(peer).copied();
        until.is_some_and(|t| t > self.clock.now())
    }

    /// The direct way to a controller failed.
    pub fn avoid(&self, peer: &str, until: Micros) {
        self.avoided.borrow_mut().insert(peer.to_owned(), until);
    }

    /// These jobs are cancelled, whether or not the view shows it yet.
    ///
    /// Guards against tasks that outlive their cancellation because the state service stopped answering right after it
    /// was committed, so that no watch tells the leader.
    pub fn note_cancelled(&self, cancelled: &[Cancellation]) {
        for c in cancelled {
            self.cancellations.borrow_mut().note(c);
            if let Some(leading) = self.leading() {
                let end = End {
                    how: Final::Aborted,
                    at: c.at,
                    done: 0,
                };
                leading.scheduler.borrow_mut().end_job(&c.job, end);
            }
        }
    }

    /// A report shows what is left of cancelled tasks on its machine.
    pub fn look_for_cancelled(&self, report: &Report) {
        let unix_time = self.clock.unix_time();
        self.cancellations.borrow_mut().on_report(report, unix_time);
    }

    /// Whether a controller that leads, with or without a lease, answers: this one or another.
    pub fn leader_answers(&self) -> bool {
        let words = self.words.borrow();
        let leads = |(node, word): (&String, &Word)| word.known.leads && self.answers(node);
        self.leading().is_some() || words.iter().any(leads)
    }

    /// Whether it is known here that a job's user cancelled it.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        let view = self.store.view.borrow();
        match view.end(job) {
            Some(end) => end.how == Final::Aborted,
            None => self.cancellations.borrow().knows(job),
        }
    }

    /// A controller of the zone that answers, for a worker of the zone.
    pub fn neighbour_of(&self, zone: &str) -> Option<String> {
        let members = self.platform.members.iter();
        let near: Vec<&Member> = members
            .filter(|m| m.zone == zone && self.answers(&m.node))
            .collect();
        fastrand::choice(near).map(|m| m.node.clone())
    }

    /// Whether another controller answered lately. One that lacks only the state service passes reports on as ever.
    fn answers(&self, node: &str) -> bool {
        let now = self.clock.now();
        let words = self.words.borrow();
        let fresh = |w: &Word| !w.failed && now.since(w.at) < LATELY;
        words.get(node).is_some_and(fresh)
    }

    /// The controllers, and which of them answer.
    pub fn controllers(&self) -> Vec<Controller> {
        let members = self.platform.members.iter();
        let seen = members.map(|m| Controller {
            node: m.node.clone(),
            zone: m.zone.clone(),
            answers: self.answers(&m.node),
        });
        let own = Controller {
            node: self.platform.node.clone(),
            zone: self.platform.zone.clone(),
            answers: true,
        };
        seen.chain([own]).collect()
    }

    /// Whether this controller reaches neither the state service nor any other controller.
    pub fn is_alone(&self) -> bool {
        let mut others = self.platform.members.iter().peekable();
        let has_others = others.peek().is_some();
        has_others && !self.store.reachable() && !others.any(|m| self.answers(&m.node))
    }

    /// Most connections that are accepted: some sockets are kept back for the state service, the cloud and the other
    /// controllers.
    fn sockets_for_others(&self) -> usize {
        self.platform.facts.machine_limits.max_sockets * 4 / 5
    }

    /// Whether sockets are so short that workers' connections end with each answer as well, and open anew for the next
    /// report.
    ///
    /// Guards against idle connections of some workers that keep out the others, where fewer sockets than workers are left:
    /// each report is then answered in its turn, and no worker loses its lease.
    pub fn is_full(&self) -> bool {
        self.connections.get() > self.sockets_for_others() * 9 / 10
    }

    /// Tells that submissions are refused, as there are as many jobs as this controller takes; not for each of them.
    pub fn tell_of_admission(&self, active: usize) {
        let now = self.clock.now();
        if now.since(self.told_of_admission.get()) >= TELL_EVERY {
            self.told_of_admission.set(now);
            warn!(
                "event=admission_full active={active} cap={}",
                self.admission_cap
            );
        }
    }

    /// Tells when sockets get short, and when they are not any more.
    fn tell_of_sockets(&self) {
        let connections = self.connections.get();
        let most = self.sockets_for_others();
        if self.is_full() && !self.sockets_short.replace(true) {
            warn!("event=sockets_short connections={connections} most={most} answers=close");
        } else if !self.is_crowded() && self.sockets_short.replace(false) {
            info!("event=sockets_enough connections={connections} most={most}");
        }
    }

    /// Whether sockets are getting short, so that connections of users end with each answer and idle ones end soon.
    ///
    /// Guards against users' connections keeping out workers, as after a filter between controllers, when the leader may
    /// have to take every worker of the fleet.
    pub fn is_crowded(&self) -> bool {
        self.connections.get() > self.sockets_for_others() * 3 / 4
    }

    /// How long a connection may stand idle: for longer than any worker is silent between two reports.
    fn idle_limit(&self) -> Micros {
        let (least, reports) = if self.is_crowded() {
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
        if view.loaded && self.store.loss.borrow().is_some() && !self.is_alone() {
            // As in an outage: no other could do better, and each tells its users when to come back.
            return true;
        }
        if !view.loaded || view.machine_types.is_none() || self.is_alone() {
            return false;
        }
        let now = self.clock.now();
        let another_can = self
            .words
            .borrow()
            .values()
            .any(|w| w.known.state_reachable && now.since(w.at) < WORD_LASTS);
        self.store.reachable() || !another_can
    }
}

/// Runs a controller for ever; returns only when it can't listen.
pub async fn run<'a>(ex: &LocalExecutor<'a>, node: Rc<Node>) -> io::Result<()>
where
    Rc<Node>: 'a,
{
    let faces = Listener::bind(node.platform.bind).await?;
    let internal = Listener::bind(node.platform.internal_addr).await?;
    info!(
        "event=started node={} zone={} bind={} internal={}",
        node.platform.node, node.platform.zone, node.platform.bind, node.platform.internal_addr
    );
    for warning in node.platform.warnings() {
        warn!("event=settings_tight reason={warning:?}");
    }
    let duty = |name: &'static str, work: std::pin::Pin<Box<dyn Future<Output = ()>>>| {
        ex.spawn(async move {
            work.await;
            warn!("event=duty_ended duty={name}");
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
    let _lead = duty("lead", Box::pin(async move { lead_by_turns(&n).await }));
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
                n.look_for_standstill(n.clock.now());
                n.tell_of_sockets();
                sleep(PULSE_EVERY).await;
            }
        }),
    );
    let n = node.clone();
    let _clear_up = duty(
        "clear_up",
        Box::pin(async move { cancellations::clear_up(&n).await }),
    );
    let n = node.clone();
    let _rebuild = node.settings.rebuilds().then(|| {
        duty(
            "rebuild",
            Box::pin(async move { rebuild::watch_over(&n).await }),
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
        async move { peer::serve(stream, |frame| hear_peer(n.clone(), frame)).await }
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
async fn accept<'a, F, Fut>(ex: &LocalExecutor<'a>, listener: Listener, node: Rc<Node>, serve: F)
where
    F: Fn(Stream) -> Fut,
    Fut: Future<Output = ()> + 'a,
    Rc<Node>: 'a,
{
    let most = node.sockets_for_others();
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

async fn route(node: Rc<Node>, call: Call) -> Reply {
    if call.path == "/checkin" {
        let reply = workers::answer(&node, &call).await;
        let close = reply.close || node.is_full();
        Reply { close, ..reply }
    } else {
        let reply = users::answer(&node, &call).await;
        // Users come back through the load balancer, so that they make room first.
        let close = reply.close || node.is_crowded();
        Reply { close, ..reply }
    }
}

async fn hear_peer(node: Rc<Node>, frame: Frame<Request>) -> Frame<peer::Reply> {
    node.learn(&frame.known);
    let message = match frame.message {
        Request::Ping { cancelled, gone } => {
            node.note_cancelled(&cancelled);
            let unix_time = node.clock.unix_time();
            node.cancellations.borrow_mut().note_gone(&gone, unix_time);
            peer::Reply::Pong
        }
        Request::Report { relay, via, report } => {
            workers::passed_on(&node, report, &via, relay).await
        }
    };
    Frame {
        known: node.known(),
        message,
    }
}

/// The duty that stands for election and leads when elected.
async fn lead_by_turns(node: &Rc<Node>) {
    loop {
        let leadership = election::win(node).await;
        if let Some(why) = restore(node, &leadership).await {
            info!(
                "event=stepped_down token={} reason={why:?}",
                leadership.token
            );
            let _ = node.state.revoke(leadership.lease).await;
            continue;
        }
        node.store.keep_seen(true);
        let leading = Rc::new(Leading::new(node, leadership));
        *node.leading.borrow_mut() = Some(leading.clone());
        let why = leader::lead(node, &leading).await;
        *node.leading.borrow_mut() = None;
        node.store.keep_seen(false);
        info!(
            "event=stepped_down token={} reason={why:?}",
            leading.token()
        );
        let limits = &node.platform.facts.state;
        let size = node.platform.facts.size as f64;
        node.state
            .set_share(limits.rps / size, limits.write_rps / size);
        if node.known().token == leading.token() {
            let _ = node.state.revoke(leading.lease()).await;
        }
    }
}

/// Rebuilds what was lost, if anything was, while the lease lasts; says why it could not.
async fn restore(node: &Node, leadership: &Leadership) -> Option<&'static str> {
    let keep = async { Some(election::keep(node, leadership).await) };
    let restore = async { rebuild::restore(node, leadership).await.err() };
    restore.or(keep).await
}

/// The duty that asks another controller what it knows.
async fn ping(node: &Node, peer: &Peer) {
    let mut told_until = node.cancellations.borrow().gone_from_now();
    loop {
        let (cancelled, (gone, told_next)) = {
            let cancellations = node.cancellations.borrow();
            let gone = cancellations.gone_since(told_until);
            (cancellations.untold(&peer.node), gone)
        };
        let ping = Request::Ping {
            cancelled: cancelled.clone(),
            gone,
        };
        match peer.call(node.known(), ping, PING_WITHIN).await {
            Ok(frame) => {
                told_until = told_next;
                let incarnation = frame.known.incarnation;
                let mut cancellations = node.cancellations.borrow_mut();
                cancellations.was_told(&peer.node, incarnation, &cancelled);
                drop(cancellations);
                node.learn(&frame.known);
                node.note_word(&peer.node, frame.known);
                node.avoided.borrow_mut().remove(&peer.node);
            }
            Err(e) => {
                debug!(
                    "event=ping_failed peer={} error={:?}",
                    peer.node,
                    e.to_string()
                );
                if let Some(word) = node.words.borrow_mut().get_mut(&peer.node) {
                    word.failed = true;
                }
                // Reports need not find out anew that this way is closed.
                node.avoid(&peer.node, node.clock.now() + AVOID_FOR);
            }
        }
        sleep(PING_EVERY).await;
    }
}

#[cfg(test)]
mod tests;
