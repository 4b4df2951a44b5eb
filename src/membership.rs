//! What this controller knows of the others: which are reachable, what each said last, and who leads.

use crate::clock::Clock;
use crate::config::{Member, Platform};
use crate::fencing::FencingToken;
use crate::peer::ClusterStatus;
use crate::scheduler::ControllerStatus;
use crate::store::StateCache;
use crate::units::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A controller that did not answer for this long may be down.
const PEER_TIMEOUT: Micros = Micros::millis(2_200);
/// How long what another controller said of the state service counts.
const PEER_STATUS_VALIDITY: Micros = Micros::secs(4);

/// What another controller said last.
#[derive(Debug, Clone, Default)]
struct PeerStatus {
    cluster_status: ClusterStatus,
    received_at: Micros,
    /// Whether a ping failed since.
    has_failed: bool,
}

/// The controllers of the deployment as this one sees them.
///
/// Invariants: the fencing token in [`Membership::cluster_status`] never falls while the process lives, unless the view
/// that gave it is replaced after a loss of stored state; a peer counts as reachable only if its last ping was answered,
/// and lately.
pub struct Membership {
    clock: Clock,
    node: String,
    zone: String,
    members: Vec<Member>,
    store: Rc<StateCache>,
    /// Drawn anew by every process.
    incarnation: u64,
    started_at: Micros,
    /// The fencing token of this controller's own term, while it leads.
    own_term: Cell<Option<FencingToken>>,
    /// The highest fencing token that any peer told.
    highest_token_seen: Cell<FencingToken>,
    /// When a peer last said that it misses another.
    partition_reported_at: Cell<Micros>,
    peer_statuses: RefCell<BTreeMap<String, PeerStatus>>,
    /// Peers to which nothing is relayed for now, and until when.
    suspended_routes: RefCell<BTreeMap<String, Micros>>,
}

impl Membership {
    /// A controller that has not heard from any other yet.
    pub fn new(platform: &Platform, store: Rc<StateCache>) -> Membership {
        Membership {
            clock: Clock,
            node: platform.node.clone(),
            zone: platform.zone.clone(),
            members: platform.members.clone(),
            store,
            incarnation: fastrand::u64(..) >> 12,
            started_at: Clock.now(),
            own_term: Cell::new(None),
            highest_token_seen: Cell::new(FencingToken::NONE),
            partition_reported_at: Cell::new(Micros::ZERO),
            peer_statuses: RefCell::default(),
            suspended_routes: RefCell::default(),
        }
    }

    /// The name of this controller.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The zone of this controller.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The other controllers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The names of all controllers, this one's last.
    pub fn all_nodes(&self) -> impl Iterator<Item = &String> {
        self.members.iter().map(|m| &m.node).chain([&self.node])
    }

    /// A number drawn anew by every process, so that a restarted controller is not taken for its former self.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// How long this process has been running.
    pub fn uptime(&self) -> Micros {
        self.clock.now().since(self.started_at)
    }

    /// Sets the fencing token of this controller's own term, or that it leads no more.
    pub fn set_own_term(&self, token: Option<FencingToken>) {
        self.own_term.set(token);
    }

    /// Whether this controller leads, with or without a valid lease.
    pub fn is_leading(&self) -> bool {
        self.own_term.get().is_some()
    }

    /// Returns what is known of who leads: from this controller's own term, its view and the other controllers.
    pub fn cluster_status(&self) -> ClusterStatus {
        let mut best = ClusterStatus {
            token: self.highest_token_seen.get(),
            leader: None,
            state_reachable: self.store.reachable(),
            peer_unreachable: !self.all_reachable(),
            incarnation: self.incarnation,
            leads: self.is_leading(),
        };
        let mut consider = |token: FencingToken, leader: Option<&str>| {
            if token > best.token || (token == best.token && best.leader.is_none()) {
                best.token = token;
                best.leader = leader.map(str::to_owned);
            }
        };
        if let Some(token) = self.own_term.get() {
            consider(token, Some(&self.node));
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

    /// Takes in what another controller knows, whichever message brought it.
    pub fn observe(&self, cluster_status: &ClusterStatus) {
        let token = self.highest_token_seen.get().max(cluster_status.token);
        self.highest_token_seen.set(token);
        if cluster_status.peer_unreachable {
            self.partition_reported_at.set(self.clock.now());
        }
    }

    /// Records the answer of a peer to a ping: it is reachable, and so is the route to it.
    pub fn record_ping_answered(&self, peer: &str, cluster_status: ClusterStatus) {
        self.observe(&cluster_status);
        self.record_peer_status(peer, cluster_status);
        self.suspended_routes.borrow_mut().remove(peer);
    }

    /// Records that a ping of a peer failed.
    pub fn record_ping_failed(&self, peer: &str) {
        if let Some(status) = self.peer_statuses.borrow_mut().get_mut(peer) {
            status.has_failed = true;
        }
    }

    pub(crate) fn record_peer_status(&self, peer: &str, cluster_status: ClusterStatus) {
        let status = PeerStatus {
            cluster_status,
            received_at: self.clock.now(),
            has_failed: false,
        };
        self.peer_statuses
            .borrow_mut()
            .insert(peer.to_owned(), status);
    }

    /// As if a peer had never been heard from; all of them where none is named.
    #[cfg(test)]
    pub(crate) fn forget_peers(&self, peer: Option<&str>) {
        let mut statuses = self.peer_statuses.borrow_mut();
        statuses.retain(|node, _| peer.is_some_and(|p| p != node));
    }

    /// Whether every other controller said something since this process began.
    pub fn has_heard_all_peers(&self) -> bool {
        let statuses = self.peer_statuses.borrow();
        self.members.iter().all(|m| statuses.contains_key(&m.node))
    }

    /// Whether another controller answered lately. One that lacks only the state service relays heartbeats as ever.
    pub fn is_peer_reachable(&self, node: &str) -> bool {
        let now = self.clock.now();
        let statuses = self.peer_statuses.borrow();
        let is_fresh = |s: &PeerStatus| !s.has_failed && now.since(s.received_at) < PEER_TIMEOUT;
        statuses.get(node).is_some_and(is_fresh)
    }

    fn all_reachable(&self) -> bool {
        self.members.iter().all(|m| self.is_peer_reachable(&m.node))
    }

    /// Whether another controller said lately that it misses one, though this one may reach all.
    pub fn peer_reports_partition(&self) -> bool {
        self.clock.now().since(self.partition_reported_at.get()) < PEER_TIMEOUT
    }

    /// Whether this controller reaches neither the state service nor any other controller.
    pub fn is_isolated(&self) -> bool {
        let has_others = !self.members.is_empty();
        let any_reachable = || self.members.iter().any(|m| self.is_peer_reachable(&m.node));
        has_others && !self.store.reachable() && !any_reachable()
    }

    /// Whether a controller that leads, with or without a lease, answers: this one or another.
    pub fn leader_reachable(&self) -> bool {
        let statuses = self.peer_statuses.borrow();
        let leads = |(node, status): (&String, &PeerStatus)| {
            status.cluster_status.leads && self.is_peer_reachable(node)
        };
        self.is_leading() || statuses.iter().any(leads)
    }

    /// Whether another controller said lately that it reaches the state service.
    pub fn peer_reaches_state(&self) -> bool {
        let now = self.clock.now();
        let statuses = self.peer_statuses.borrow();
        statuses.values().any(|s| {
            s.cluster_status.state_reachable && now.since(s.received_at) < PEER_STATUS_VALIDITY
        })
    }

    /// A controller of the zone that answers, drawn at random, for a worker of the zone.
    pub fn peer_in_zone(&self, zone: &str) -> Option<String> {
        let near: Vec<&Member> = self
            .members
            .iter()
            .filter(|m| m.zone == zone && self.is_peer_reachable(&m.node))
            .collect();
        fastrand::choice(near).map(|m| m.node.clone())
    }

    /// The controllers, this one last, and which of them answer.
    pub fn controllers(&self) -> Vec<ControllerStatus> {
        let peers = self.members.iter().map(|m| ControllerStatus {
            node: m.node.clone(),
            zone: m.zone.clone(),
            is_reachable: self.is_peer_reachable(&m.node),
        });
        let own = ControllerStatus {
            node: self.node.clone(),
            zone: self.zone.clone(),
            is_reachable: true,
        };
        peers.chain([own]).collect()
    }

    /// Whether the direct route to a controller failed lately, so that nothing is relayed on it.
    pub fn is_route_suspended(&self, peer: &str) -> bool {
        let until = self.suspended_routes.borrow().get(peer).copied();
        until.is_some_and(|t| t > self.clock.now())
    }

    /// Relays nothing on the direct route to a controller for a while.
    pub fn suspend_route(&self, peer: &str, duration: Micros) {
        let until = self.clock.now() + duration;
        self.suspended_routes
            .borrow_mut()
            .insert(peer.to_owned(), until);
    }
}
