//! The workers whose heartbeats come to this controller: which are new here, which heartbeats can't be relayed to the leader,
//! and where their workers are redirected.

use crate::clock::{Clock, sleep};
use crate::config::Platform;
use crate::kv::{Change, KvClient, Urgency};
use crate::membership::Membership;
use crate::scheduler::MachineId;
use crate::store::{StateCache, StoreKey};
use crate::units::Micros;
use event_listener::Event;
use log::debug;
use ravenhead_index::ExpiringMap;
use std::cell::RefCell;
use std::rc::Rc;

/// How long a worker takes for a controller that does not answer: four seconds, and one until it tries the next.
const WORKER_ATTEMPT_TIMEOUT: Micros = Micros::secs(5);
/// How long contacts gather before they are told.
const COALESCE_WINDOW: Micros = Micros::millis(200);
/// Values of contacts in one transaction, which may take 64 KiB in all.
const MAX_VALUES_PER_TXN: usize = 6;
/// The largest value of contacts, so that several fit into one transaction.
const MAX_VALUE_BYTES: f64 = 8.0 * 1024.0;
/// The part of a value that is filled.
const VALUE_FILL: f64 = 0.9;

/// What a controller remembers of the workers whose heartbeats come to it.
///
/// Invariant: a worker is redirected only after a heartbeat of it was answered here just now, and not again before twice its
/// lease has passed.
pub struct ContactTracker {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    heartbeat_interval: Micros,
    /// How long a worker lives without an answer.
    lease: Micros,
    max_values_per_txn: usize,
    max_value_bytes: usize,
    /// Machines whose heartbeats could not be relayed.
    unforwarded: RefCell<ExpiringMap<MachineId, ()>>,
    new_contact: Event,
    /// How often a machine was sent to another controller of late.
    redirected: RefCell<ExpiringMap<MachineId, usize>>,
    recently_seen: RefCell<ExpiringMap<MachineId, ()>>,
}

impl ContactTracker {
    /// A controller to which no worker came yet.
    pub fn new(
        platform: &Platform,
        kv: Rc<KvClient>,
        store: Rc<StateCache>,
        membership: Rc<Membership>,
    ) -> ContactTracker {
        let heartbeat_interval = platform.heartbeat_interval();
        let lease = Micros::from_secs_f64(platform.facts.workers.lease_s);
        let limits = &platform.facts.state;
        let max_value_bytes = (limits.value_kb * 1024.0).min(MAX_VALUE_BYTES) * VALUE_FILL;
        let lasting = |time: Micros| RefCell::new(ExpiringMap::new(time.0));
        ContactTracker {
            clock: Clock,
            kv,
            store,
            membership,
            heartbeat_interval,
            lease,
            max_values_per_txn: limits.txn_ops.min(MAX_VALUES_PER_TXN),
            max_value_bytes: max_value_bytes as usize,
            unforwarded: lasting(heartbeat_interval.scaled(3, 2)),
            new_contact: Event::new(),
            redirected: RefCell::new(ExpiringMap::new(lease.scaled(10, 1).0)),
            recently_seen: lasting(heartbeat_interval.scaled(2, 1)),
        }
    }

    /// A machine reported here, and its heartbeat can't be passed on.
    pub fn record_contact(&self, machine: MachineId) {
        let now = self.clock.now();
        let mut unforwarded = self.unforwarded.borrow_mut();
        unforwarded.insert(machine, (), now.0);
        self.new_contact.notify(usize::MAX);
    }

    /// Whether a worker's heartbeat is the first here for a while; it is not the next time.
    pub fn is_first_contact(&self, machine: &MachineId) -> bool {
        let now = self.clock.now();
        let mut recently_seen = self.recently_seen.borrow_mut();
        recently_seen.insert(machine.clone(), (), now.0).is_none()
    }

    /// Where to send a worker whose heartbeat can't be passed on, if it may be sent away.
    ///
    /// Its lease must outlast a try of a controller that turns out to be silent for it too, after which it comes back
    /// here: so it was answered here just now, it is sent only as many places before this one in the order of names as
    /// its lease allows, and after that it is left in peace for a while.
    pub fn redirect_target(&self, machine: &MachineId, zone: &str) -> Option<String> {
        let now = self.clock.now();
        let unforwarded = self.unforwarded.borrow();
        unforwarded.get(machine, now.0)?;
        let lease = self.lease;
        let mut redirected = self.redirected.borrow_mut();
        let before = redirected
            .get(machine, now.0)
            .map(|(at, times)| (Micros(at), *times));
        if before.is_some_and(|(at, _)| now.since(at) < lease.scaled(2, 1)) {
            return None;
        }
        let times = before.map_or(0, |(_, times)| times);
        let to = if self.membership.is_isolated() {
            self.preceding_controller(times, lease)?
        } else {
            self.leader_behind_filter(zone)?
        };
        redirected.insert(machine.clone(), times + 1, now.0);
        Some(to)
    }

    /// A controller so few places before this one that a worker tries all between and is back within its lease.
    pub(crate) fn preceding_controller(&self, times: usize, lease: Micros) -> Option<String> {
        let spent = self.heartbeat_interval.scaled(5, 4) + Micros::secs(2);
        let tries = (lease.since(spent).0 / WORKER_ATTEMPT_TIMEOUT.0) as usize;
        let members = self.membership.members().iter();
        let mut names: Vec<&str> = members.map(|m| m.node.as_str()).collect();
        names.push(self.membership.node());
        names.sort_unstable();
        let own = names.iter().position(|n| *n == self.membership.node())?;
        let max_back = tries.min(names.len() - 1);
        if max_back == 0 {
            return None;
        }
        let back = 1 + times % max_back;
        Some(names[(own + names.len() - back) % names.len()].to_owned())
    }

    /// The leader, if it is known to lead, and it is a filter between the controllers and no cut of zones that keeps
    /// reports from it: a worker of its zone reaches it, and where not even controllers of one zone reach each other,
    /// any does.
    fn leader_behind_filter(&self, zone: &str) -> Option<String> {
        if !self.store.reachable() {
            return None;
        }
        let leader = self.store.view.borrow().leader.as_ref()?.value.node.clone();
        let members = self.membership.members();
        let home = members.iter().find(|m| m.node == leader)?;
        let mut zone_peers = members
            .iter()
            .filter(|m| m.zone == self.membership.zone())
            .peekable();
        // One that ended proves nothing.
        let filtered = zone_peers.peek().is_some()
            && !zone_peers.any(|m| self.membership.is_peer_reachable(&m.node));
        (home.zone == zone || filtered).then_some(leader)
    }

    /// Tells the leader, by the state service, of machines whose heartbeats can't be relayed.
    ///
    /// Guards against a cut zone being taken for dead machines.
    pub async fn publish(&self) {
        let interval = self.heartbeat_interval;
        loop {
            self.new_contact.listen().await;
            // The first heartbeat that can't be passed on is told at once, with those that come in the next moment.
            sleep(COALESCE_WINDOW).await;
            let now = self.clock.now();
            let machines: Vec<MachineId> = {
                let unforwarded = self.unforwarded.borrow();
                let mut machines: Vec<MachineId> =
                    unforwarded.iter(now.0).map(|(m, _)| m.clone()).collect();
                machines.sort_unstable();
                machines
            };
            let has_leader = self.store.view.borrow().leader.is_some();
            if machines.is_empty() || !has_leader || self.membership.is_leading() {
                continue;
            }
            let puts = self.records(&machines);
            // Each value is a change of its own, but all go in as few requests as they fit into.
            for some in puts.chunks(self.max_values_per_txn) {
                if let Err(e) = self.kv.txn(Urgency::Paced, &[], some).await {
                    debug!("event=contacts_write_failed error={:?}", e.to_string());
                }
            }
            sleep(interval.scaled(1, 3)).await;
        }
    }

    /// The names of machines in as many values as it takes.
    fn records(&self, machines: &[MachineId]) -> Vec<Change> {
        let mut values: Vec<Vec<&MachineId>> = Vec::new();
        let mut left = 0;
        for machine in machines {
            // The name in quotes, and a comma.
            let bytes = machine.0.len() + 3;
            match values.last_mut() {
                Some(value) if bytes <= left => value.push(machine),
                _ => {
                    left = self.max_value_bytes;
                    values.push(vec![machine]);
                }
            }
            left = left.saturating_sub(bytes);
        }
        let put = |(part, some): (usize, Vec<&MachineId>)| {
            let node = self.membership.node().to_owned();
            StoreKey::Contacts { node, part }.put(&some)
        };
        values.into_iter().enumerate().map(put).collect()
    }
}
