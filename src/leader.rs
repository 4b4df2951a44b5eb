//! What the leading controller does: rounds of offers and writes, and the fleet.

mod batches;
mod rentals;

use crate::clock::sleep;
use crate::cloud::MAX_RETURN;
use crate::controller::Node;
use crate::election::{self, Leadership};
use crate::http::within;
use crate::rebuild;
use crate::scheduler::{JobId, MachineId, MachineType, Scheduler};
use crate::state::{Change, Condition, Urgency};
use crate::store::{LEADER, MACHINE_TYPES, RentalRecord, View, ViewChange};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::{FutureExt, future};
use log::{debug, info, warn};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};

use batches::write_batch;
use rentals::{finish_rentals, rent};

/// Pause before a transaction is sent again.
const RETRY_PAUSE: Micros = Micros::millis(120);
/// Most time between two rounds.
const ROUND_EVERY: Micros = Micros::millis(200);
/// How long a round waits for more reports to come in.
const GATHER: Micros = Micros::millis(15);
/// How long a report's answer waits for its round.
const ROUND_WITHIN: Micros = Micros::millis(700);
/// Batches written in one round.
const BATCHES_PER_ROUND: usize = 4;
/// Room left in a transaction of 64 KiB for its conditions.
pub(crate) const BATCH_BYTES: usize = 36 * 1024;
/// How often the fleet is looked at.
const FLEET_EVERY: Micros = Micros::millis(500);
/// Reading the machine list for longer than this is told: machines that died are then found late.
const SLOW_LIST: Micros = Micros::secs(15);
/// How often the machine types are read.
const MACHINE_TYPES_EVERY: Micros = Micros::secs(30);

/// A term of leading.
pub struct Leading {
    leadership: Leadership,
    /// The scheduler of this term.
    pub scheduler: RefCell<Scheduler>,
    work: Event,
    begun: Cell<u64>,
    ended: Cell<u64>,
    round_ended: Event,
    rentals: RefCell<BTreeMap<String, RentalRecord>>,
    rental_requests_made: Cell<u64>,
}

impl Leading {
    /// A term that begins with what the view holds.
    pub fn new(node: &Node, leadership: Leadership) -> Leading {
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
        let rentals = view.rentals.clone();
        for record in rentals.values() {
            if let Some(machines) = &record.machines {
                let age = Micros(node.clock.unix_time().saturating_sub(record.at));
                scheduler.inherit_rented(&record.pool(), machines, age, now);
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
        Leading {
            leadership,
            scheduler: RefCell::new(scheduler),
            work: Event::new(),
            begun: Cell::new(0),
            ended: Cell::new(0),
            round_ended: Event::new(),
            rentals: RefCell::new(rentals),
            rental_requests_made: Cell::new(0),
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

    /// Whether orders may be given: the lease certainly lasts.
    pub fn may_order(&self, now: Micros) -> bool {
        self.leadership.is_valid(now)
    }

    /// Waits for a round that begins after this call, but not for long.
    pub async fn round_after_now(&self) {
        let target = self.begun.get() + 1;
        self.work.notify(usize::MAX);
        let wait = async {
            loop {
                let ended = self.round_ended.listen();
                if self.ended.get() >= target {
                    return;
                }
                ended.await;
            }
        };
        within(ROUND_WITHIN, wait).await;
    }

    fn leader_condition(&self) -> Condition {
        Condition {
            key: LEADER.into(),
            version: self.leadership.revision,
        }
    }
}

/// Leads until the term is over; says why.
pub async fn lead(node: &Node, leading: &Leading) -> &'static str {
    // The leader does most of the reading and writing: half of the budget is its own.
    let limits = &node.platform.facts.state;
    node.state
        .set_share(limits.rps / 2.0, limits.write_rps / 2.0);
    let duties = rounds(node, leading)
        .or(news(node, leading))
        .or(machine_types(node, leading))
        .or(listing(node, leading))
        .or(fleet(node, leading));
    election::keep(node, &leading.leadership).or(duties).await
}

/// The duty that starts a round as soon as the view has something new.
async fn news(node: &Node, leading: &Leading) -> &'static str {
    loop {
        node.store.news.listen().await;
        leading.work.notify(usize::MAX);
    }
}

/// The duty that runs the rounds.
async fn rounds(node: &Node, leading: &Leading) -> &'static str {
    loop {
        let work = leading.work.listen();
        let pause = async {
            sleep(ROUND_EVERY).await;
        };
        work.or(pause).await;
        sleep(GATHER).await;
        leading.begun.set(leading.begun.get() + 1);
        take_news(node, leading);
        let now = node.clock.now();
        if leading.may_order(now) {
            leading.scheduler.borrow_mut().round(now);
        }
        for _ in 0..BATCHES_PER_ROUND {
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
        let (notes, details) = leading.scheduler.borrow_mut().take_notes();
        for note in notes {
            info!("{note}");
        }
        for detail in details {
            debug!("{detail}");
        }
        leading.ended.set(leading.begun.get());
        leading.round_ended.notify(usize::MAX);
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
fn take_news(node: &Node, leading: &Leading) {
    let now = node.clock.now();
    let mut scheduler = leading.scheduler.borrow_mut();
    for seen in node.store.take_changes() {
        let view = node.store.view.borrow();
        match seen {
            ViewChange::Job(id) => add_job(&mut scheduler, &view, &id, now),
            ViewChange::End(id) => {
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
async fn machine_types(node: &Node, leading: &Leading) -> &'static str {
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
                        debug!("event=flavors_not_written error={:?}", e.to_string());
                        sleep(Micros::millis(500)).await;
                        continue;
                    }
                }
                MACHINE_TYPES_EVERY
            }
            Err(e) => {
                debug!("event=flavors_failed error={:?}", e.to_string());
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
async fn listing(node: &Node, leading: &Leading) -> &'static str {
    let every = Micros::from_secs_f64((4.0 / node.platform.facts.cloud.rps).max(2.0));
    loop {
        // What came or went while the pages were read may stand in none or in an old one of them.
        let asked_at = node.clock.now();
        match node.cloud.list().await {
            Ok(list) => {
                let took = node.clock.now().since(asked_at);
                if took > SLOW_LIST {
                    warn!("event=list_slow machines={} took={took}", list.len());
                }
                let mut scheduler = leading.scheduler.borrow_mut();
                scheduler.on_list(&list, asked_at);
            }
            Err(e) => debug!("event=list_failed error={:?}", e.to_string()),
        }
        sleep(every).await;
    }
}

/// The duty that rents and gives back machines.
async fn fleet(node: &Node, leading: &Leading) -> &'static str {
    finish_rentals(node, leading).await;
    loop {
        sleep(FLEET_EVERY).await;
        let now = node.clock.now();
        node.look_for_standstill(now);
        if !leading.may_order(now) {
            // Nothing else may be decided now, but a cancelled task must go, whoever leads by then: unless this
            // controller is alone, it would have heard of another leader.
            if !node.is_alone() && node.known().token == leading.token() {
                let unix_time = node.clock.unix_time();
                let overdue = leading.scheduler.borrow_mut().overdue_cancels(unix_time);
                give_back(node, leading, &overdue, |_| true).await;
            }
            continue;
        }
        let plan = {
            let mut scheduler = leading.scheduler.borrow_mut();
            scheduler.set_controllers(&node.controllers(), now);
            if node.hears_of_a_cut() {
                scheduler.end_calm();
            }
            scheduler.plan_fleet(now, node.clock.unix_time())
        };
        if leading.scheduler.borrow_mut().look_at_rebuild(now)
            && let Err(why) = rebuild::finish(node, &leading.leadership, true).await
        {
            return why;
        }
        let still = |now| leading.may_order(now);
        let give_back = give_back(node, leading, &plan.give_back, still);
        let rent = rent(node, leading, &plan.rent);
        future::zip(give_back, rent).await;
    }
}

async fn give_back(
    node: &Node,
    leading: &Leading,
    machines: &[MachineId],
    may: impl Fn(Micros) -> bool,
) {
    for part in machines.chunks(MAX_RETURN) {
        // Guards against a leader that stood still or was cut off in between: by now another may use these machines.
        if !may(node.clock.now()) {
            return;
        }
        match node.cloud.give_back(part).await {
            Ok(()) => {
                info!("event=machines_returned count={}", part.len());
                let now = node.clock.now();
                leading.scheduler.borrow_mut().returned(part, now);
                let gone: HashSet<&MachineId> = part.iter().collect();
                for record in leading.rentals.borrow_mut().values_mut() {
                    if let Some(machines) = &mut record.machines {
                        machines.retain(|m| !gone.contains(m));
                    }
                }
                leading.work.notify(usize::MAX);
            }
            Err(e) => {
                info!("event=return_failed error={:?}", e.to_string());
                return;
            }
        }
    }
}
