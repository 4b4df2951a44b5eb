//! A term of leading: the lease it hangs on, its scheduler, and why it ended.

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

/// How long the answer to a heartbeat waits for its scheduling cycle.
const CYCLE_TIMEOUT: Micros = Micros::millis(700);

/// A term of leading.
///
/// Invariants: everything that the scheduler decides is decided under [`LeaderTerm::token`]; nothing is written but
/// under its leader condition; commands leave only while [`LeaderTerm::may_send_commands`] holds.
pub struct LeaderTerm {
    lease: LeaderLease,
    /// The scheduler of this term.
    pub scheduler: RefCell<Scheduler>,
    /// What was asked of the cloud lately, by the names of the requests, for the next leader to know.
    pub(crate) provisioning: RefCell<BTreeMap<String, ProvisioningRecord>>,
    pub(crate) provisioning_requests_sent: Cell<u64>,
    work: Event,
    started_cycles: Cell<u64>,
    completed_cycles: Cell<u64>,
    cycle_completed: Event,
}

impl LeaderTerm {
    /// A term that begins with what the view holds; `incarnation` makes its random choices its own.
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
        inherit(&mut scheduler, view, now);
        LeaderTerm {
            lease,
            scheduler: RefCell::new(scheduler),
            provisioning: RefCell::new(view.provisioning.clone()),
            provisioning_requests_sent: Cell::new(0),
            work: Event::new(),
            started_cycles: Cell::new(0),
            completed_cycles: Cell::new(0),
            cycle_completed: Event::new(),
        }
    }

    /// The fencing token of the term.
    pub fn token(&self) -> FencingToken {
        self.lease.token
    }

    /// The lease that the term hangs on.
    pub fn lease(&self) -> &LeaderLease {
        &self.lease
    }

    /// Whether commands may be sent: the lease certainly lasts.
    pub fn may_send_commands(&self, now: Micros) -> bool {
        self.lease.is_valid(now)
    }

    /// The condition of every write of this term: the leader key is as this leader wrote it.
    pub(crate) fn leader_condition(&self) -> Condition {
        StoreKey::Leader.has_version(self.lease.revision)
    }

    /// Asks for a scheduling cycle soon.
    pub(crate) fn request_cycle(&self) {
        self.work.notify(usize::MAX);
    }

    /// Waits until a scheduling cycle is asked for.
    pub(crate) async fn cycle_requested(&self) {
        self.work.listen().await;
    }

    /// A scheduling cycle begins.
    pub(crate) fn start_cycle(&self) {
        self.started_cycles.set(self.started_cycles.get() + 1);
    }

    /// The scheduling cycle that began last is complete, its writes committed.
    pub(crate) fn complete_cycle(&self) {
        self.completed_cycles.set(self.started_cycles.get());
        self.cycle_completed.notify(usize::MAX);
    }

    /// Waits for a scheduling cycle that begins after this call, but not for long.
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

    /// This process was paused for `gap`: what the scheduler took for silence was its own.
    pub fn on_process_pause(&self, gap: Micros, now: Micros) {
        self.scheduler.borrow_mut().on_process_pause(gap, now);
    }

    /// Hands a change of the view to the scheduler.
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

/// Gives a new scheduler what earlier leaders left.
fn inherit(scheduler: &mut Scheduler, view: &View, now: Micros) {
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
    scheduler.raise_min_attempt(view.losses());
    if view.loss.as_ref().is_some_and(|l| !l.value.confirmed) {
        scheduler.begin_rebuild(view.losses(), now);
    }
}

/// Gives the scheduler a job as the view has it.
fn add_job(scheduler: &mut Scheduler, view: &View, id: &JobId, now: Micros) {
    if let Some(job) = view.jobs.get(id) {
        let chunks = view.chunks.get(id).into_iter().flatten();
        let chunks = chunks.map(|(n, c)| (*n, c.value.clone(), c.version));
        scheduler.add_job(&job.value, view.end(id), chunks, now);
    }
}

/// The term that this controller leads now, if it does.
///
/// Duties that must not depend on who leads hold this in place of a term: a term that ended is gone from here at once.
#[derive(Default)]
pub struct CurrentTerm {
    term: RefCell<Option<Rc<LeaderTerm>>>,
}

impl CurrentTerm {
    /// Returns the term, if this controller leads.
    pub fn get(&self) -> Option<Rc<LeaderTerm>> {
        self.term.borrow().clone()
    }

    /// Begins a term, or ends the one there is.
    pub fn set(&self, term: Option<Rc<LeaderTerm>>) {
        *self.term.borrow_mut() = term;
    }

    /// This process was paused: it heard nobody meanwhile, and a leader must not hold that against its machines.
    pub fn on_process_pause(&self, gap: Micros, now: Micros) {
        if let Some(term) = self.get() {
            term.on_process_pause(gap, now);
        }
    }
}
