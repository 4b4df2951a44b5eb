//! The workers that heartbeat to this controller: which are new here, and which reports can't be passed on to the leader.

use super::Controller;
use crate::clock::sleep;
use crate::kv::{Change, Urgency};
use crate::scheduler::MachineId;
use crate::store::contacts_key;
use crate::units::Micros;
use event_listener::Event;
use log::debug;
use ravenhead_index::ExpiringMap;
use serde_json::json;
use std::cell::RefCell;

/// How long a worker takes for a controller that does not answer: four seconds, and one until it tries the next.
const WORKER_ATTEMPT_TIMEOUT: Micros = Micros::secs(5);
/// How long contacts gather before they are told.
const COALESCE_WINDOW: Micros = Micros::millis(200);

/// Values of contacts in one transaction, which may take 64 KiB in all.
const VALUES_A_TXN: usize = 6;
/// The largest value of contacts, so that several fit into one transaction.
const MAX_VALUE_BYTES: f64 = 8.0 * 1024.0;

/// What a controller remembers of the workers that heartbeat to it.
pub(super) struct ContactTracker {
    /// Machines whose reports could not be passed on.
    unforwarded: RefCell<ExpiringMap<MachineId, ()>>,
    new_contact: Event,
    /// How often a machine was sent to another controller of late.
    redirected: RefCell<ExpiringMap<MachineId, usize>>,
    seen: RefCell<ExpiringMap<MachineId, ()>>,
}

impl ContactTracker {
    pub(super) fn new(report: Micros, lease: Micros) -> ContactTracker {
        let lasting = |time: Micros| RefCell::new(ExpiringMap::new(time.0));
        ContactTracker {
            unforwarded: lasting(report.scaled(3, 2)),
            new_contact: Event::new(),
            redirected: RefCell::new(ExpiringMap::new(lease.scaled(10, 1).0)),
            seen: lasting(report.scaled(2, 1)),
        }
    }
}

impl Controller {
    /// A machine reported here, and its heartbeat can't be passed on.
    pub fn record_contact(&self, machine: MachineId) {
        let now = self.clock.now();
        let mut unforwarded = self.contacts.unforwarded.borrow_mut();
        unforwarded.insert(machine, (), now.0);
        self.contacts.new_contact.notify(usize::MAX);
    }

    /// Whether a worker's heartbeat is the first here for a while; it is not the next time.
    pub fn is_first_contact(&self, machine: &MachineId) -> bool {
        let now = self.clock.now();
        let mut seen = self.contacts.seen.borrow_mut();
        seen.insert(machine.clone(), (), now.0).is_none()
    }

    /// Where to send a worker whose heartbeat can't be passed on, if it may be sent away.
    ///
    /// Its lease must outlast a try of a controller that turns out to be silent for it too, after which it comes back
    /// here: so it was answered here just now, it is sent only as many places before this one in the command of names as
    /// its lease allows, and after that it is left in peace for a while.
    pub fn redirect_target(&self, machine: &MachineId, zone: &str) -> Option<String> {
        let now = self.clock.now();
        let unforwarded = self.contacts.unforwarded.borrow();
        unforwarded.get(machine, now.0)?;
        let lease = Micros::from_secs_f64(self.platform.facts.workers.lease_s);
        let mut redirected = self.contacts.redirected.borrow_mut();
        let before = redirected
            .get(machine, now.0)
            .map(|(at, times)| (Micros(at), *times));
        if before.is_some_and(|(at, _)| now.since(at) < lease.scaled(2, 1)) {
            return None;
        }
        let times = before.map_or(0, |(_, times)| times);
        let to = if self.is_isolated() {
            self.preceding_controller(times, lease)?
        } else {
            self.leader_behind_filter(zone)?
        };
        redirected.insert(machine.clone(), times + 1, now.0);
        Some(to)
    }

    /// A controller so few places before this one that a worker tries all between and is back within its lease.
    pub(super) fn preceding_controller(&self, times: usize, lease: Micros) -> Option<String> {
        let spent = self.platform.report().scaled(5, 4) + Micros::secs(2);
        let tries = (lease.since(spent).0 / WORKER_ATTEMPT_TIMEOUT.0) as usize;
        let members = self.platform.members.iter();
        let mut names: Vec<&str> = members.map(|m| m.node.as_str()).collect();
        names.push(&self.platform.node);
        names.sort_unstable();
        let own = names.iter().position(|n| *n == self.platform.node)?;
        let most = tries.min(names.len() - 1);
        if most == 0 {
            return None;
        }
        let back = 1 + times % most;
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
        let members = &self.platform.members;
        let home = members.iter().find(|m| m.node == leader)?;
        let mut neighbours = members
            .iter()
            .filter(|m| m.zone == self.platform.zone)
            .peekable();
        // One that ended proves nothing.
        let filtered =
            neighbours.peek().is_some() && !neighbours.any(|m| self.is_peer_reachable(&m.node));
        (home.zone == zone || filtered).then_some(leader)
    }
}

/// The duty that tells the leader, by the state service, of machines whose reports can't be passed on.
///
/// Guards against a cut zone being taken for dead machines.
pub(super) async fn publish_contacts(node: &Controller) {
    let every = node.platform.report();
    loop {
        node.contacts.new_contact.listen().await;
        // The first heartbeat that can't be passed on is told at once, with those that come in the next moment.
        sleep(COALESCE_WINDOW).await;
        let now = node.clock.now();
        let machines: Vec<MachineId> = {
            let unforwarded = node.contacts.unforwarded.borrow();
            let mut machines: Vec<MachineId> =
                unforwarded.iter(now.0).map(|(m, _)| m.clone()).collect();
            machines.sort_unstable();
            machines
        };
        let led = node.store.view.borrow().leader.is_some();
        if machines.is_empty() || !led || node.leading().is_some() {
            continue;
        }
        let puts = contact_records(node, &machines);
        // Each value is a change of its own, but all go in as few requests as they fit into.
        for some in puts.chunks(node.platform.facts.state.txn_ops.min(VALUES_A_TXN)) {
            if let Err(e) = node.state.txn(Urgency::Paced, &[], some).await {
                debug!("event=contacts_write_failed error={:?}", e.to_string());
            }
        }
        sleep(every.scaled(1, 3)).await;
    }
}

/// The names of machines in as many values as it takes.
fn contact_records(node: &Controller, machines: &[MachineId]) -> Vec<Change> {
    let limit = (node.platform.facts.state.value_kb * 1024.0).min(MAX_VALUE_BYTES);
    let most_bytes = (limit * 0.9) as usize;
    let mut values: Vec<Vec<&MachineId>> = Vec::new();
    let mut left = 0;
    for machine in machines {
        // The name in quotes, and a comma.
        let bytes = machine.0.len() + 3;
        match values.last_mut() {
            Some(value) if bytes <= left => value.push(machine),
            _ => {
                left = most_bytes;
                values.push(vec![machine]);
            }
        }
        left = left.saturating_sub(bytes);
    }
    let put = |(part, some): (usize, Vec<&MachineId>)| {
        Change::put(contacts_key(&node.platform.node, part), json!(some))
    };
    values.into_iter().enumerate().map(put).collect()
}
