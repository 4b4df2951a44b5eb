//! The status of the other controllers (peers): which are reachable, what each reported last, and which controller
//! leads.

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

/// A peer that has not answered a ping for this long counts as unreachable.
const PEER_TIMEOUT: Micros = Micros::millis(2_200);
/// How long a peer's report that it reaches the key-value store stays valid.
const PEER_STATUS_VALIDITY: Micros = Micros::secs(4);

/// The last status that a peer reported.
#[derive(Debug, Clone, Default)]
struct PeerStatus {
    cluster_status: ClusterStatus,
    received_at: Micros,
    /// Whether a ping to the peer has failed since `received_at`.
    has_failed: bool,
}

/// The controllers of the deployment as seen by this one.
///
/// Invariants: the fencing token in [`Membership::cluster_status`] never decreases during the life of the process,
/// unless the view it came from is replaced after a loss of stored state; a peer counts as reachable only if its last
/// ping was answered, and not longer ago than the peer timeout.
pub struct Membership {
    clock: Clock,
    node: String,
    zone: String,
    members: Vec<Member>,
    store: Rc<StateCache>,
    /// Random number that identifies this process.
    incarnation: u64,
    started_at: Micros,
    /// The fencing token of this controller's own term; `None` while it does not lead.
    own_term: Cell<Option<FencingToken>>,
    /// The highest fencing token reported by any peer.
    highest_peer_token: Cell<FencingToken>,
    /// When a peer last reported that it can't reach another controller; zero if none has.
    partition_reported_at: Cell<Micros>,
    peer_statuses: RefCell<BTreeMap<String, PeerStatus>>,
    /// Peers to which nothing is relayed, with the time at which relaying resumes.
    suspended_routes: RefCell<BTreeMap<String, Micros>>,
}

impl Membership {
    /// Creates the membership of a controller that has not received a status from any peer.
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
            highest_peer_token: Cell::new(FencingToken::NONE),
            partition_reported_at: Cell::new(Micros::ZERO),
            peer_statuses: RefCell::default(),
            suspended_routes: RefCell::default(),
        }
    }

    /// Returns the name of this controller, which is unique in the deployment.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns the zone in which this controller runs.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the configured peers: all controllers of the deployment except this one.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the names of all controllers, with this controller's name last.
    pub fn all_nodes(&self) -> impl Iterator<Item = &String> {
        self.members.iter().map(|m| &m.node).chain([&self.node])
    }

    /// Returns the random number that identifies this process, by which peers notice that a controller was restarted.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns how long this process has been running.
    pub fn uptime(&self) -> Micros {
        self.clock.now().since(self.started_at)
    }

    /// Sets the fencing token of this controller's own term; `None` when the term has ended.
    pub fn set_own_term(&self, token: Option<FencingToken>) {
        self.own_term.set(token);
    }

    /// Returns whether this controller leads, even if its lease may have expired.
    pub fn is_leading(&self) -> bool {
        self.own_term.get().is_some()
    }

    /// Returns the newest known leader term, from this controller's own term, its view and the statuses of its peers.
    pub fn cluster_status(&self) -> ClusterStatus {
        let mut newest = ClusterStatus {
            token: self.highest_peer_token.get(),
            leader: None,
            state_reachable: self.store.reachable(),
            peer_unreachable: !self.all_reachable(),
            incarnation: self.incarnation,
            leads: self.is_leading(),
        };
        let mut consider = |token: FencingToken, leader: Option<&str>| {
            if token > newest.token || (token == newest.token && newest.leader.is_none()) {
                newest.token = token;
                newest.leader = leader.map(str::to_owned);
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
        newest
    }

    /// Records the fencing token and the partition report of a status received in any frame from a peer.
    pub fn observe(&self, cluster_status: &ClusterStatus) {
        let token = self.highest_peer_token.get().max(cluster_status.token);
        self.highest_peer_token.set(token);
        if cluster_status.peer_unreachable {
            self.partition_reported_at.set(self.clock.now());
        }
    }

    /// Records that a peer answered a ping, which also ends the suspension of the route to it.
    pub fn record_ping_answered(&self, peer: &str, cluster_status: ClusterStatus) {
        self.observe(&cluster_status);
        self.record_peer_status(peer, cluster_status);
        self.suspended_routes.borrow_mut().remove(peer);
    }

    /// Records that a ping to a peer failed.
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

    /// Removes the recorded status of a peer, or of all peers if `peer` is `None`.
    #[cfg(test)]
    pub(crate) fn forget_peers(&self, peer: Option<&str>) {
        let mut statuses = self.peer_statuses.borrow_mut();
        statuses.retain(|node, _| peer.is_some_and(|p| p != node));
    }

    /// Returns whether every peer has reported its status since this process started.
    pub fn has_status_of_all_peers(&self) -> bool {
        let statuses = self.peer_statuses.borrow();
        self.members.iter().all(|m| statuses.contains_key(&m.node))
    }

    /// Returns whether the last ping to a peer was answered, and not longer ago than the timeout.
    ///
    /// A peer that only lost the key-value store still counts as reachable, since it can still relay heartbeats.
    pub fn is_peer_reachable(&self, node: &str) -> bool {
        let now = self.clock.now();
        let statuses = self.peer_statuses.borrow();
        let is_fresh = |s: &PeerStatus| !s.has_failed && now.since(s.received_at) < PEER_TIMEOUT;
        statuses.get(node).is_some_and(is_fresh)
    }

    fn all_reachable(&self) -> bool {
        self.members.iter().all(|m| self.is_peer_reachable(&m.node))
    }

    /// Returns whether a peer recently reported that it can't reach some controller, even if this one reaches all.
    pub fn peer_reports_partition(&self) -> bool {
        self.clock.now().since(self.partition_reported_at.get()) < PEER_TIMEOUT
    }

    /// Returns whether this controller reaches neither the key-value store nor any peer; false without peers.
    pub fn is_isolated(&self) -> bool {
        let has_peers = !self.members.is_empty();
        let any_reachable = || self.members.iter().any(|m| self.is_peer_reachable(&m.node));
        has_peers && !self.store.reachable() && !any_reachable()
    }

    /// Returns whether this controller or a reachable peer leads, even if its lease may have expired.
    pub fn leader_reachable(&self) -> bool {
        let statuses = self.peer_statuses.borrow();
        let leads = |(node, status): (&String, &PeerStatus)| {
            status.cluster_status.leads && self.is_peer_reachable(node)
        };
        self.is_leading() || statuses.iter().any(leads)
    }

    /// Returns whether a peer recently reported that it reaches the key-value store.
    pub fn peer_reaches_state(&self) -> bool {
        let now = self.clock.now();
        let statuses = self.peer_statuses.borrow();
        statuses.values().any(|s| {
            s.cluster_status.state_reachable && now.since(s.received_at) < PEER_STATUS_VALIDITY
        })
    }

    /// Returns a random reachable peer in the zone, or `None` if there is none.
    pub fn peer_in_zone(&self, zone: &str) -> Option<String> {
        let zone_members: Vec<&Member> = self
            .members
            .iter()
            .filter(|m| m.zone == zone && self.is_peer_reachable(&m.node))
            .collect();
        fastrand::choice(zone_members).map(|m| m.node.clone())
    }

    /// Returns all controllers with their reachability, this one last.
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

    /// Returns whether relaying on the direct route to a peer is suspended after a failure.
    pub fn is_route_suspended(&self, peer: &str) -> bool {
        let until = self.suspended_routes.borrow().get(peer).copied();
        until.is_some_and(|t| t > self.clock.now())
    }

    /// Suspends relaying on the direct route to a peer for `duration`.
    pub fn suspend_route(&self, peer: &str, duration: Micros) {
        let until = self.clock.now() + duration;
        self.suspended_routes
            .borrow_mut()
            .insert(peer.to_owned(), until);
    }
}
