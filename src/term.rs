//! A leader term: its lease, its scheduler and the reason why it ended.

mod lease;

pub use lease::{LeaderLease, TermEnd};

use crate::clock::Clock;
use crate::config::{Platform, Settings};
use crate::fencing::FencingToken;
use crate::futures::timeout;
use crate::kv::Condition;
use crate::scheduler::{JobId, Scheduler};
use crate::store::{ProvisioningRecord, StoreKey, View, ViewChange};
use crate::units::Micros;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum time for which the response to a heartbeat waits for a scheduling cycle.
const CYCLE_TIMEOUT: Micros = Micros::millis(700);

/// A leader term of this controller.
///
/// Invariants: every decision of the scheduler carries [`LeaderTerm::token`]; every write is conditional on the leader
/// key being unchanged; commands are sent only while [`LeaderTerm::may_send_commands`] returns true.
pub struct LeaderTerm {
    lease: LeaderLease,
    /// The scheduler, whose state is built from the view when the term begins.
    pub scheduler: RefCell<Scheduler>,
    /// Recent provisioning requests by request name, as stored for the next leader.
    pub(crate) provisioning: RefCell<BTreeMap<String, ProvisioningRecord>>,
    pub(crate) provisioning_requests_sent: Cell<u64>,
    cycle_request: Event,
    started_cycles: Cell<u64>,
    completed_cycles: Cell<u64>,
    cycle_completed: Event,
}

impl LeaderTerm {
    /// Begins a term with the state in the view; `incarnation` and the token seed the scheduler's random choices.
    pub fn new(
        platform: &Platform,
        settings: &Settings,
        incarnation: u64,
        lease: LeaderLease,
        view: &View,
    ) -> LeaderTerm {
        let now = Clock.now();
        let mut scheduler = Scheduler::new(
            settings.scheduler_config(platform),
            platform.teams(),
            lease.token,
            incarnation ^ lease.token.0,
            now,
        );
        load_view(&mut scheduler, view, now);
        LeaderTerm {
            lease,
            scheduler: RefCell::new(scheduler),
            provisioning: RefCell::new(view.provisioning.clone()),
            provisioning_requests_sent: Cell::new(0),
            cycle_request: Event::new(),
            started_cycles: Cell::new(0),
            completed_cycles: Cell::new(0),
            cycle_completed: Event::new(),
        }
    }

    /// Returns the fencing token of the term, which stays the same until it ends.
    pub fn token(&self) -> FencingToken {
        self.lease.token
    }

    /// Returns the leader lease, which the election renews during the term.
    pub fn lease(&self) -> &LeaderLease {
        &self.lease
    }

    /// Returns whether commands may be sent, which requires a lease that is certain to be valid at `now`.
    pub fn may_send_commands(&self, now: Micros) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the condition of every write of this term: the leader key has the version that this leader wrote.
    pub(crate) fn leader_condition(&self) -> Condition {
        StoreKey::Leader.has_version(self.lease.revision)
    }

    /// Requests a scheduling cycle without waiting for it.
    pub(crate) fn request_cycle(&self) {
        self.cycle_request.notify(usize::MAX);
    }

    /// Waits until a scheduling cycle is requested.
    pub(crate) async fn cycle_requested(&self) {
        self.cycle_request.listen().await;
    }

    /// Records that a scheduling cycle begins.
    pub(crate) fn start_cycle(&self) {
        self.started_cycles.set(self.started_cycles.get() + 1);
    }

    /// Records that the current scheduling cycle is complete and its writes are committed.
    pub(crate) fn complete_cycle(&self) {
        self.completed_cycles.set(self.started_cycles.get());
        self.cycle_completed.notify(usize::MAX);
    }

    /// Requests a scheduling cycle and waits until one that begins after this call is complete, or for a limited time.
    pub async fn await_next_cycle(&self) {
        let target = self.started_cycles.get() + 1;
        self.request_cycle();
        let wait = async {
            loop {
                let completed = self.cycle_completed.listen();
                if self.completed_cycles.get() >= target {
                    return;
                }
                completed.await;
            }
        };
        timeout(CYCLE_TIMEOUT, wait).await;
    }

    /// Tells the scheduler that this process was paused for `gap`, so that heartbeats that could not be received
    /// meanwhile do not count as missed.
    pub fn on_process_pause(&self, gap: Micros, now: Micros) {
        self.scheduler.borrow_mut().on_process_pause(gap, now);
    }

    /// Applies a change of the view to the scheduler.
    pub(crate) fn apply_view_change(&self, view: &View, change: ViewChange, now: Micros) {
        let mut scheduler = self.scheduler.borrow_mut();
        match change {
            ViewChange::Job(id) => add_job(&mut scheduler, view, &id, now),
            ViewChange::JobEnded(id) => {
                if let Some(end) = view.end(&id) {
                    scheduler.end_job(&id, end);
                }
            }
            ViewChange::Contacts(node, machines) => scheduler.on_contact(&node, &machines, now),
            ViewChange::MachineTypes => {}
        }
    }
}

/// Loads the state that earlier leaders stored into a new scheduler.
fn load_view(scheduler: &mut Scheduler, view: &View, now: Micros) {
    if let Some(machine_types) = &view.machine_types {
        scheduler.set_machine_types(&machine_types.value);
    }
    for record in view.provisioning.values() {
        if let Some(machines) = &record.machines {
            let age = Micros(Clock.unix_time().saturating_sub(record.at));
            scheduler.inherit_provisioned(&record.pool(), machines, age, now);
        }
    }
    for id in view.jobs.keys() {
        add_job(scheduler, view, id, now);
    }
    for (machine, images) in &view.images {
        scheduler.inherit_images(machine, images);
    }
    scheduler.begin_recovery(now);
    scheduler.raise_min_attempt(view.loss_count());
    if view.loss.as_ref().is_some_and(|l| !l.value.confirmed) {
        scheduler.begin_rebuild(view.loss_count(), now);
    }
}

/// Adds a job of the view to the scheduler, with its chunks and, if it has ended, its end.
fn add_job(scheduler: &mut Scheduler, view: &View, id: &JobId, now: Micros) {
    if let Some(job) = view.jobs.get(id) {
        let chunks = view.chunks.get(id).into_iter().flatten();
        let chunks = chunks.map(|(n, c)| (*n, c.value.clone(), c.version));
        scheduler.add_job(&job.value, view.end(id), chunks, now);
    }
}

/// The current leader term of this controller, if it leads.
///
/// Duties that run whether or not this controller leads hold this instead of a term, so that they can't use one that
/// has ended.
#[derive(Default)]
pub struct CurrentTerm {
    term: RefCell<Option<Rc<LeaderTerm>>>,
}

impl CurrentTerm {
    /// Returns the current term, or `None` while this controller does not lead.
    pub fn get(&self) -> Option<Rc<LeaderTerm>> {
        self.term.borrow().clone()
    }

    /// Replaces the current term; `None` when it has ended.
    pub fn set(&self, term: Option<Rc<LeaderTerm>>) {
        *self.term.borrow_mut() = term;
    }

    /// Tells the current term, if any, that this process was paused for `gap`.
    ///
    /// A paused process receives no heartbeats, and a leader must not count these as missed by its machines.
    pub fn on_process_pause(&self, gap: Micros, now: Micros) {
        if let Some(term) = self.get() {
            term.on_process_pause(gap, now);
        }
    }
}
