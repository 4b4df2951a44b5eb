//! Tracks the workers whose heartbeats come to this controller: which of them are new here, whose heartbeats can't be
//! forwarded to the leader, and where those workers are redirected.

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

/// Time that a worker loses on a controller that does not respond: 4 s until its request times out and 1 s until it
/// tries the next controller.
const WORKER_ATTEMPT_TIMEOUT: Micros = Micros::secs(5);
/// Time during which contacts are collected before they are written to the key-value store together.
const COALESCE_WINDOW: Micros = Micros::millis(200);
/// Maximum number of contact values in one transaction, which is limited to 64 KiB in total.
const MAX_VALUES_PER_TXN: usize = 6;
/// Maximum size of a contact value, so that several fit into one transaction.
const MAX_VALUE_BYTES: f64 = 8.0 * 1024.0;
/// Fraction of the maximum value size that is used.
const VALUE_FILL_FRACTION: f64 = 0.9;

/// The recent contacts of workers with one controller.
///
/// Invariant: a worker is redirected only if a heartbeat of it was answered here a moment ago, and not again until
/// twice its lease has passed.
pub struct ContactTracker {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    heartbeat_interval: Micros,
    /// Time without a response after which a worker's lease expires.
    lease: Micros,
    max_values_per_txn: usize,
    max_value_bytes: usize,
    /// Machines whose heartbeats could not be forwarded to the leader recently.
    unforwarded: RefCell<ExpiringMap<MachineId, ()>>,
    new_contact: Event,
    /// Number of recent redirects per machine, with the time of the last one.
    redirects: RefCell<ExpiringMap<MachineId, usize>>,
    recent_contacts: RefCell<ExpiringMap<MachineId, ()>>,
}

impl ContactTracker {
    /// Creates a tracker without contacts.
    pub fn new(
        platform: &Platform,
        kv: Rc<KvClient>,
        store: Rc<StateCache>,
        membership: Rc<Membership>,
    ) -> ContactTracker {
        let heartbeat_interval = platform.heartbeat_interval();
        let lease = Micros::from_secs_f64(platform.facts.workers.lease_s);
        let limits = &platform.facts.state;
        let max_value_bytes = (limits.value_kb * 1024.0).min(MAX_VALUE_BYTES) * VALUE_FILL_FRACTION;
        let expiring_map = |lifetime: Micros| RefCell::new(ExpiringMap::new(lifetime.0));
        ContactTracker {
            clock: Clock,
            kv,
            store,
            membership,
            heartbeat_interval,
            lease,
            max_values_per_txn: limits.txn_ops.min(MAX_VALUES_PER_TXN),
            max_value_bytes: max_value_bytes as usize,
            unforwarded: expiring_map(heartbeat_interval.scaled(3, 2)),
            new_contact: Event::new(),
            redirects: RefCell::new(ExpiringMap::new(lease.scaled(10, 1).0)),
            recent_contacts: expiring_map(heartbeat_interval.scaled(2, 1)),
        }
    }

    /// Records that a heartbeat of a machine was received here and can't be forwarded to the leader.
    pub fn record_contact(&self, machine: MachineId) {
        let now = self.clock.now();
        let mut unforwarded = self.unforwarded.borrow_mut();
        unforwarded.insert(machine, (), now.0);
        self.new_contact.notify(usize::MAX);
    }

    /// Returns whether this is the first heartbeat of a machine here for a while, and records it.
    pub fn is_first_contact(&self, machine: &MachineId) -> bool {
        let now = self.clock.now();
        let mut recent_contacts = self.recent_contacts.borrow_mut();
        recent_contacts.insert(machine.clone(), (), now.0).is_none()
    }

    /// Returns the controller to which to redirect a worker whose heartbeat can't be forwarded, or `None` if the worker
    /// must stay.
    ///
    /// If the target does not respond, the worker comes back here, and its lease must last until then. So a worker is
    /// redirected only after a heartbeat of it was answered here a moment ago, and not again until twice its lease has
    /// passed. An isolated controller redirects only to a controller that precedes it in the order of names by no more
    /// positions than the lease allows attempts.
    pub fn redirect_target(&self, machine: &MachineId, zone: &str) -> Option<String> {
        let now = self.clock.now();
        let unforwarded = self.unforwarded.borrow();
        unforwarded.get(machine, now.0)?;
        let lease = self.lease;
        let mut redirects = self.redirects.borrow_mut();
        let previous = redirects
            .get(machine, now.0)
            .map(|(at, redirect_count)| (Micros(at), *redirect_count));
        if previous.is_some_and(|(at, _)| now.since(at) < lease.scaled(2, 1)) {
            return None;
        }
        let redirect_count = previous.map_or(0, |(_, redirect_count)| redirect_count);
        let target = if self.membership.is_isolated() {
            self.preceding_controller(redirect_count, lease)?
        } else {
            self.leader_reachable_from_zone(zone)?
        };
        redirects.insert(machine.clone(), redirect_count + 1, now.0);
        Some(target)
    }

    /// Returns a controller that precedes this one in the cyclic order of names, by so few positions that a worker can
    /// try all controllers from there on and be back here within its lease. Successive redirects of a worker take the
    /// possible positions in turn.
    pub(crate) fn preceding_controller(
        &self,
        redirect_count: usize,
        lease: Micros,
    ) -> Option<String> {
        let elapsed_before_redirect = self.heartbeat_interval.scaled(5, 4) + Micros::secs(2);
        let max_attempts =
            (lease.since(elapsed_before_redirect).0 / WORKER_ATTEMPT_TIMEOUT.0) as usize;
        let members = self.membership.members().iter();
        let mut names: Vec<&str> = members.map(|m| m.node.as_str()).collect();
        names.push(self.membership.node());
        names.sort_unstable();
        let own_index = names.iter().position(|n| *n == self.membership.node())?;
        let max_steps_back = max_attempts.min(names.len() - 1);
        if max_steps_back == 0 {
            return None;
        }
        let steps_back = 1 + redirect_count % max_steps_back;
        Some(names[(own_index + names.len() - steps_back) % names.len()].to_owned())
    }

    /// Returns the leader if workers of `zone` probably reach it although this controller does not. Returns `None` if
    /// the key-value store is unreachable or the view shows no leader.
    ///
    /// Workers reach a leader in their own zone. If this controller reaches none of the other controllers of its own
    /// zone either, the partition separates controllers, not zones, and any worker reaches the leader.
    fn leader_reachable_from_zone(&self, zone: &str) -> Option<String> {
        if !self.store.reachable() {
            return None;
        }
        let leader = self.store.view.borrow().leader.as_ref()?.value.node.clone();
        let members = self.membership.members();
        let leader_member = members.iter().find(|m| m.node == leader)?;
        let mut zone_peers = members
            .iter()
            .filter(|m| m.zone == self.membership.zone())
            .peekable();
        // One unreachable controller proves no partition, since its process may have exited. So all others of this
        // zone must be unreachable, and there must be at least one.
        let zone_peers_unreachable = zone_peers.peek().is_some()
            && !zone_peers.any(|m| self.membership.is_peer_reachable(&m.node));
        (leader_member.zone == zone || zone_peers_unreachable).then_some(leader)
    }

    /// Writes to the key-value store which machines send heartbeats here that can't be forwarded, so that the leader
    /// learns of them.
    ///
    /// Without this, the leader would treat the machines of a partitioned zone as dead.
    pub async fn publish(&self) {
        let interval = self.heartbeat_interval;
        loop {
            self.new_contact.listen().await;
            // The first heartbeat that can't be forwarded is reported immediately, together with those that arrive
            // within the window.
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
            let changes = self.contact_records(&machines);
            // Each value is a change of its own; a transaction holds as many of them as fit.
            for batch in changes.chunks(self.max_values_per_txn) {
                if let Err(e) = self.kv.txn(Urgency::Paced, &[], batch).await {
                    debug!("event=contacts_write_failed error={:?}", e.to_string());
                }
            }
            sleep(interval.scaled(1, 3)).await;
        }
    }

    /// Returns the changes that store the names of machines, in as few values as the size limit allows.
    fn contact_records(&self, machines: &[MachineId]) -> Vec<Change> {
        let mut values: Vec<Vec<&MachineId>> = Vec::new();
        let mut remaining_bytes = 0;
        for machine in machines {
            // Each name is stored in quotes and followed by a comma.
            let bytes = machine.0.len() + 3;
            match values.last_mut() {
                Some(value) if bytes <= remaining_bytes => value.push(machine),
                _ => {
                    remaining_bytes = self.max_value_bytes;
                    values.push(vec![machine]);
                }
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
        }
        let put = |(part, names): (usize, Vec<&MachineId>)| {
            let node = self.membership.node().to_owned();
            StoreKey::Contacts { node, part }.put(&names)
        };
        values.into_iter().enumerate().map(put).collect()
    }
}
