//! What the leading controller does: scheduling cycles of offers and writes, and the fleet.

mod batches;
mod provisioning;

use crate::clock::sleep;
use crate::cloud::MAX_MACHINES_PER_TERMINATION;
use crate::controller::Controller;
use crate::election::{self, LeaderLease};
use crate::http::timeout;
use crate::kv::{Change, Condition, Urgency};
use crate::scheduler::{EventLevel, JobId, MachineId, MachineType, Scheduler};
use crate::state_loss;
use crate::store::{LEADER, MACHINE_TYPES, ProvisioningRecord, View, ViewChange};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::{FutureExt, future};
use log::{debug, info, warn};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};

use batches::write_batch;
use provisioning::{provision, resume_provisioning};

/// Pause before a transaction is sent again.
const RETRY_PAUSE: Micros = Micros::millis(120);
/// Most time between two scheduling cycles.
const MAX_CYCLE_INTERVAL: Micros = Micros::millis(200);
/// How long a scheduling cycle waits for more reports to come in.
const COALESCE_WINDOW: Micros = Micros::millis(15);
/// How long a heartbeat's answer waits for its round.
const CYCLE_TIMEOUT: Micros = Micros::millis(700);
/// Batches written in one scheduling cycle.
const MAX_BATCHES_PER_CYCLE: usize = 4;
/// Room left in a transaction of 64 KiB for its conditions.
pub(crate) const BATCH_BYTES: usize = 36 * 1024;
/// How often the fleet is looked at.
const FLEET_INTERVAL: Micros = Micros::millis(500);
/// Reading the machine list for longer than this is told: machines that died are then found late.
const SLOW_MACHINE_LIST: Micros = Micros::secs(15);
/// How often the machine types are read.
const MACHINE_TYPES_INTERVAL: Micros = Micros::secs(30);

/// A term of leading.
pub struct LeaderTerm {
    leadership: LeaderLease,
    /// The scheduler of this term.
    pub scheduler: RefCell<Scheduler>,
    work: Event,
    started_cycles: Cell<u64>,
    completed_cycles: Cell<u64>,
    cycle_completed: Event,
    provisioning: RefCell<BTreeMap<String, ProvisioningRecord>>,
    provisioning_requests_sent: Cell<u64>,
}

impl LeaderTerm {
    /// A term that begins with what the view holds.
    pub fn new(node: &Controller, leadership: LeaderLease) -> LeaderTerm {
        let now = node.clock.now();
        let mut scheduler = Scheduler::new(
            node.settings.scheduler_config(&node.platform),
            node.teams.clone(),
            leadership.token,
            node.incarnation ^ leadership.token,
            now,
        );
        let view = node.store.view.borrow();
        if let Some(machine_types) = &view.machine_types {
            scheduler.set_machine_types(&machine_types.value);
        }
        let provisioning = view.provisioning.clone();
        for record in provisioning.values() {
            if let Some(machines) = &record.machines {
                let age = Micros(node.clock.unix_time().saturating_sub(record.at));
                scheduler.inherit_provisioned(&record.pool(), machines, age, now);
            }
        }
        for id in view.jobs.keys() {
            add_job(&mut scheduler, &view, id, now);
        }
        for (machine, images) in &view.images {
            scheduler.inherit_images(machine, images);
        }
        scheduler.begin_recovery(now);
        scheduler.raise_attempts(view.losses());
        if view.loss.as_ref().is_some_and(|l| !l.value.confirmed) {
            scheduler.begin_rebuild(view.losses(), now);
        }
        LeaderTerm {
            leadership,
            scheduler: RefCell::new(scheduler),
            work: Event::new(),
            started_cycles: Cell::new(0),
            completed_cycles: Cell::new(0),
            cycle_completed: Event::new(),
            provisioning: RefCell::new(provisioning),
            provisioning_requests_sent: Cell::new(0),
        }
    }

    /// The token of the term.
    pub fn token(&self) -> u64 {
        self.leadership.token
    }

    /// The lease that the term hangs on.
    pub fn lease(&self) -> u64 {
        self.leadership.lease
    }

    /// Whether commands may be given: the lease certainly lasts.
    pub fn may_send_commands(&self, now: Micros) -> bool {
        self.leadership.is_valid(now)
    }

    /// Waits for a scheduling cycle that begins after this call, but not for long.
    pub async fn await_next_cycle(&self) {
        let target = self.started_cycles.get() + 1;
        self.work.notify(usize::MAX);
        let wait = async {
            loop {
                let ended = self.cycle_completed.listen();
                if self.completed_cycles.get() >= target {
                    return;
                }
                ended.await;
            }
        };
        timeout(CYCLE_TIMEOUT, wait).await;
    }

    fn leader_condition(&self) -> Condition {
        Condition {
            key: LEADER.into(),
            version: self.leadership.revision,
        }
    }
}

/// Leads until the term has ended; says why.
pub async fn run_term(node: &Controller, leading: &LeaderTerm) -> &'static str {
    // The leader does most of the reading and writing: half of the budget is its own.
    let limits = &node.platform.facts.state;
    node.state
        .set_share(limits.rps / 2.0, limits.write_rps / 2.0);
    let duties = run_scheduling_cycles(node, leading)
        .or(watch_view_changes(node, leading))
        .or(refresh_machine_types(node, leading))
        .or(refresh_machine_list(node, leading))
        .or(scale_fleet(node, leading));
    election::hold(node, &leading.leadership).or(duties).await
}

/// The duty that starts a scheduling cycle as soon as the view has something new.
async fn watch_view_changes(node: &Controller, leading: &LeaderTerm) -> &'static str {
    loop {
        node.store.change_notifications.listen().await;
        leading.work.notify(usize::MAX);
    }
}

/// The duty that runs the scheduling cycles.
async fn run_scheduling_cycles(node: &Controller, leading: &LeaderTerm) -> &'static str {
    loop {
        let work = leading.work.listen();
        let pause = async {
            sleep(MAX_CYCLE_INTERVAL).await;
        };
        work.or(pause).await;
        sleep(COALESCE_WINDOW).await;
        leading.started_cycles.set(leading.started_cycles.get() + 1);
        apply_view_changes(node, leading);
        let now = node.clock.now();
        if leading.may_send_commands(now) {
            leading.scheduler.borrow_mut().run_cycle(now);
        }
        for _ in 0..MAX_BATCHES_PER_CYCLE {
            let short = node.state.writes_are_short();
            let batch = leading.scheduler.borrow_mut().next_batch(
                node.platform.facts.state.txn_ops,
                BATCH_BYTES,
                short,
            );
            if batch.is_empty() {
                break;
            }
            if let Err(why) = write_batch(node, leading, &batch).await {
                return why;
            }
        }
        let events = leading.scheduler.borrow_mut().take_events();
        for event in events {
            match event.level() {
                EventLevel::Info => info!("{event}"),
                EventLevel::Debug => debug!("{event}"),
            }
        }
        leading.completed_cycles.set(leading.started_cycles.get());
        leading.cycle_completed.notify(usize::MAX);
    }
}

/// Gives the scheduler a job as the view has it.
fn add_job(scheduler: &mut Scheduler, view: &View, id: &JobId, now: Micros) {
    if let Some(job) = view.jobs.get(id) {
        let chunks = view.runs.get(id).into_iter().flatten();
        let chunks = chunks.map(|(n, c)| (*n, c.value.clone(), c.version));
        scheduler.add_job(&job.value, view.end(id), chunks, now);
    }
}

/// Hands the view's news to the scheduler.
fn apply_view_changes(node: &Controller, leading: &LeaderTerm) {
    let now = node.clock.now();
    let mut scheduler = leading.scheduler.borrow_mut();
    for seen in node.store.take_changes() {
        let view = node.store.view.borrow();
        match seen {
            ViewChange::Job(id) => add_job(&mut scheduler, &view, &id, now),
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

/// The duty that reads the machine types and keeps them for controllers that can't.
async fn refresh_machine_types(node: &Controller, leading: &LeaderTerm) -> &'static str {
    loop {
        let pause = match node.cloud.machine_types().await {
            Ok(machine_types) => {
                leading
                    .scheduler
                    .borrow_mut()
                    .set_machine_types(&machine_types);
                let known = node.store.view.borrow().machine_types.clone();
                if known.is_none_or(|k| !same_but_prices(&k.value, &machine_types)) {
                    let put = Change::put(MACHINE_TYPES.into(), json!(machine_types));
                    let when = [leading.leader_condition()];
                    if let Err(e) = node.state.txn(Urgency::Now, &when, &[put]).await {
                        debug!("event=machine_types_write_failed error={:?}", e.to_string());
                        sleep(Micros::millis(500)).await;
                        continue;
                    }
                }
                MACHINE_TYPES_INTERVAL
            }
            Err(e) => {
                debug!("event=machine_types_failed error={:?}", e.to_string());
                Micros::secs(1)
            }
        };
        sleep(pause).await;
    }
}

fn same_but_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let bare = |f: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..f.clone()
    };
    a.iter().map(bare).eq(b.iter().map(bare))
}

/// The duty that reads the machine list.
async fn refresh_machine_list(node: &Controller, leading: &LeaderTerm) -> &'static str {
    let every = Micros::from_secs_f64((4.0 / node.platform.facts.cloud.rps).max(2.0));
    loop {
        // What came or went while the pages were read may stand in none or in an old one of them.
        let asked_at = node.clock.now();
        match node.cloud.list().await {
            Ok(list) => {
                let took = node.clock.now().since(asked_at);
                if took > SLOW_MACHINE_LIST {
                    warn!(
                        "event=machine_list_slow machines={} took={took}",
                        list.len()
                    );
                }
                let mut scheduler = leading.scheduler.borrow_mut();
                scheduler.on_list(&list, asked_at);
            }
            Err(e) => debug!("event=machine_list_failed error={:?}", e.to_string()),
        }
        sleep(every).await;
    }
}

/// The duty that rents and terminates machines.
async fn scale_fleet(node: &Controller, leading: &LeaderTerm) -> &'static str {
    resume_provisioning(node, leading).await;
    loop {
        sleep(FLEET_INTERVAL).await;
        let now = node.clock.now();
        node.detect_pause(now);
        if !leading.may_send_commands(now) {
            // Nothing else may be decided now, but a cancelled task must go, whoever leads by then: unless this
            // controller is alone, it would have heard of another leader.
            if !node.is_isolated() && node.cluster_status().token == leading.token() {
                let unix_time = node.clock.unix_time();
                let overdue = leading.scheduler.borrow_mut().overdue_cancels(unix_time);
                terminate(node, leading, &overdue, |_| true).await;
            }
            continue;
        }
        let plan = {
            let mut scheduler = leading.scheduler.borrow_mut();
            scheduler.set_controllers(&node.controllers(), now);
            if node.peer_reports_partition() {
                scheduler.end_calm();
            }
            scheduler.plan_fleet(now, node.clock.unix_time())
        };
        if leading.scheduler.borrow_mut().look_at_rebuild(now)
            && let Err(why) = state_loss::finish(node, &leading.leadership, true).await
        {
            return why;
        }
        let still = |now| leading.may_send_commands(now);
        let terminate = terminate(node, leading, &plan.terminate, still);
        let provision = provision(node, leading, &plan.provision);
        future::zip(terminate, provision).await;
    }
}

async fn terminate(
    node: &Controller,
    leading: &LeaderTerm,
    machines: &[MachineId],
    may: impl Fn(Micros) -> bool,
) {
    for part in machines.chunks(MAX_MACHINES_PER_TERMINATION) {
        // Guards against a leader that was paused or was cut off in between: by now another may use these machines.
        if !may(node.clock.now()) {
            return;
        }
        match node.cloud.terminate(part).await {
            Ok(()) => {
                info!("event=machines_terminated count={}", part.len());
                let now = node.clock.now();
                leading.scheduler.borrow_mut().on_terminated(part, now);
                let gone: HashSet<&MachineId> = part.iter().collect();
                for record in leading.provisioning.borrow_mut().values_mut() {
                    if let Some(machines) = &mut record.machines {
                        machines.retain(|m| !gone.contains(m));
                    }
                }
                leading.work.notify(usize::MAX);
            }
            Err(e) => {
                info!("event=termination_failed error={:?}", e.to_string());
                return;
            }
        }
    }
}
