//! The fleet: what to rent for tasks that nobody took, and what to give back.

use super::offers::zone_takes;
use super::*;
use crate::cloud::{Listed, ListedStatus};

/// How long a pool that had no machine is left alone.
const POOL_PAUSE: Micros = Micros::secs(20);
/// Tasks looked at in one round when counting what to rent.
const TASKS_PER_ROUND: usize = 10_000;
/// The cloud charges at least so much for a machine that is given back.
const LEAST_CHARGE: Micros = Micros::secs(60);
/// Fewer waiting tasks than this are no ramp.
const RAMP_FROM: usize = 16;
/// How often it is noted how much brisk work asks for, and at which part of these times there is to be room for it.
const SAMPLE_EVERY: Micros = Micros::secs(1);
const ASKED_OVER: Micros = Micros::secs(60);
const MOSTLY: (usize, usize) = (3, 4);
/// How far back arrivals are counted to size the reserve.
const ARRIVALS_OVER: Micros = Micros::secs(120);

/// Machines of one type, zone and kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    /// The type.
    pub rig: String,
    /// The zone.
    pub zone: String,
    /// Whether spot.
    pub spot: bool,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Want {
    /// From where.
    pub pool: Pool,
    /// How many.
    pub count: usize,
}

/// What is to be done with the fleet now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetPlan {
    /// To rent.
    pub rent: Vec<Want>,
    /// To give back.
    pub give_back: Vec<MachineId>,
}

/// What the scheduler remembers of its rentals.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Whether the machine list was read in this term.
    listed: bool,
    /// When there was work that can't wait for a boot and may use spot machines.
    brisk_spot_at: Option<Micros>,
    /// When there was work that can't wait for a boot and may not use them.
    brisk_ordinary_at: Option<Micros>,
    /// Processors that brisk work asked for at recent times, running and waiting.
    brisk_asked: VecDeque<(Micros, i64)>,
    /// Asked for, not answered.
    renting: Vec<Want>,
    /// Pools that had none, and until when they are left alone.
    paused: BTreeMap<Pool, Micros>,
}

/// Room that is expected: a machine that boots, is being rented, or is about to be rented.
struct Bin {
    pool: Pool,
    free: Room,
    /// How many more tasks it may take, whatever their size.
    slots: usize,
    new: bool,
    /// Whether the room is there only once tasks that run there now have ended.
    later: bool,
}

/// A plan of rentals in the making.
struct Plan {
    bins: Vec<Bin>,
    /// The first bin that may take the next task of the job at hand.
    next: usize,
    /// Machines to be rented by it.
    rented: usize,
    /// Machines by zone, those to be rented included.
    in_zone: BTreeMap<String, usize>,
}

impl Scheduler {
    /// What to rent and give back. `wall` is the time of day in microseconds.
    pub fn plan_fleet(&mut self, now: Micros, wall: u64) -> FleetPlan {
        self.wall = wall;
        self.lose_touch(now);
        self.touch.shed = self.workers_to_shed(now);
        self.give_up_lost(now);
        self.overdue_cancels(wall);
        self.look_for_brisk(now);
        let reserve = self.reserve(wall);
        self.plan_fold(reserve.as_ref(), now);
        self.give_up_idle(reserve.as_ref(), now);
        FleetPlan {
            rent: self.plan_rentals(reserve, now),
            give_back: self
                .machines
                .iter()
                .filter(|(_, m)| m.life == Life::Returning)
                .map(|(id, _)| id.clone())
                .collect(),
        }
    }

    /// Takes in what is known of a machine, and moves its tasks' zone counts along.
    pub(super) fn learn_machine(
        &mut self,
        id: &MachineId,
        rig: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) {
        let total = self.flavors.get(rig).map(Flavor::room);
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| unknown_machine(now));
        if m.rig == rig && m.zone == zone && m.spot == spot && m.total != Room::default() {
            return;
        }
        m.rig = rig.to_owned();
        m.spot = spot;
        m.total = total.unwrap_or_default();
        let before = std::mem::replace(&mut m.zone, zone.to_owned());
        if before == zone {
            return;
        }
        for task in m.held.keys() {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if let Some(n) = job.live_in.get_mut(&before) {
                    *n = n.saturating_sub(1);
                }
                *job.live_in.entry(zone.to_owned()).or_default() += 1;
            }
        }
    }

    /// Machines that were rented so long ago, by this leader or an earlier one, which the list may not show yet.
    ///
    /// Guards against a new leader that counts on machines which the earlier one gave back meanwhile, as if they were just
    /// about to boot.
    pub fn inherit_rented(
        &mut self,
        pool: &Pool,
        machines: &[MachineId],
        age: Micros,
        now: Micros,
    ) {
        for id in machines {
            if self.gone.contains(id) {
                continue;
            }
            let known = self.machines.contains_key(id);
            self.learn_machine(id, &pool.rig, &pool.zone, pool.spot, now);
            if let Some(m) = self.machines.get_mut(id).filter(|_| !known) {
                m.since = now.since(age);
            }
        }
    }

    /// A rental request is on its way.
    pub fn rent_started(&mut self, want: &Want) {
        self.fleet.renting.push(want.clone());
    }

    /// A rental request was answered: the machines, or none where it failed.
    pub fn rent_done(&mut self, want: &Want, machines: &[MachineId], now: Micros) {
        if let Some(i) = self.fleet.renting.iter().position(|w| w == want) {
            self.fleet.renting.swap_remove(i);
        }
        if machines.len() < want.count {
            self.fleet
                .paused
                .insert(want.pool.clone(), now + POOL_PAUSE);
        }
        self.inherit_rented(&want.pool, machines, Micros::ZERO, now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.rented_now = true;
            }
        }
    }

    /// The cloud confirmed that these machines are gone, with everything on them.
    pub fn returned(&mut self, machines: &[MachineId], now: Micros) {
        for id in machines {
            let held: Vec<TaskId> = match self.machines.get(id) {
                Some(m) => m.held.keys().cloned().collect(),
                None => Vec::new(),
            };
            let spot = self.machines.get(id).is_some_and(|m| m.spot);
            for task in held {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    let p = job.placement(task.index);
                    let ran = p.is_some_and(|p| p.running_since.is_some());
                    job.lost_on_spot |= spot && ran && job.spec.save_slack() == 0.0;
                }
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
            let gone = self.machines.remove(id);
            let known = self.known_images.remove(id).is_some();
            if known || gone.is_some_and(|m| !m.written_images.is_empty()) {
                self.new_images.insert(id.clone());
            }
            if self.gone.insert(id.clone()) {
                self.gone_order.push_back(id.clone());
            }
            if self.gone_order.len() > GONE_KEPT
                && let Some(old) = self.gone_order.pop_front()
            {
                self.gone.remove(&old);
            }
        }
    }

    /// Takes in the machine list, which lags.
    pub fn on_list(&mut self, list: &[Listed], now: Micros) {
        let lag = self.knobs.list_lag;
        self.fleet.listed = true;
        let mut listed = HashSet::new();
        for entry in list {
            listed.insert(&entry.machine);
            if self.gone.contains(&entry.machine) {
                continue;
            }
            let known = self.machines.contains_key(&entry.machine);
            self.learn_machine(&entry.machine, &entry.rig, &entry.zone, entry.spot, now);
            let Some(m) = self.machines.get_mut(&entry.machine) else {
                continue;
            };
            if !known {
                m.since = now.since(Micros::from_secs_f64(entry.age_s));
            }
            m.listed_at.get_or_insert(now);
            m.listed_running = entry.status == ListedStatus::Running;
            if entry.status == ListedStatus::Failed && !m.lost {
                m.lost = true;
            }
        }
        for (id, m) in &mut self.machines {
            // A list may be older than the one before it, by twice the lag at most: only what is older than that
            // can be missed for being gone.
            let old = now.since(m.since) > lag.scaled(3, 1) + Micros::secs(1);
            // Guards against a new leader that counts on what the one before rented and gave back, and takes these machines
            // for late boots: those that are there are listed by now.
            let never_came = m.newest.is_none() && !m.rented_now;
            if (m.listed_at.is_some() || never_came) && old && !listed.contains(id) {
                m.lost = true;
            }
        }
    }

    /// Machines that could not be told of a cancellation in good time: they go back with the cancelled task.
    pub fn overdue_cancels(&mut self, wall: u64) -> Vec<MachineId> {
        let patience = self.knobs.cancel.scaled(3, 5).0;
        let mut overdue = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(end) = job.end else { continue };
            if job.live > 0 && wall > end.at.saturating_add(patience) {
                overdue
                    .extend(live_tasks(job).map(|(_, p)| (p.machine.clone(), job.spec.id.clone())));
            }
        }
        for (id, job) in &overdue {
            if let Some(m) = self.machines.get_mut(id)
                && m.life != Life::Returning
            {
                m.life = Life::Returning;
                self.notes.push(format!(
                    "event=machine_given_up machine={id} why=cancelled_task_left job={job}"
                ));
            }
        }
        overdue.into_keys().collect()
    }

    /// Gives back machines that stood empty long enough, the highest ids first, down to the reserve.
    fn give_up_idle(&mut self, reserve: Option<&(Rc<JobSpec>, usize)>, now: Micros) {
        let mut spare = match reserve {
            Some((spec, places)) => self.free_places(spec).saturating_sub(*places),
            None => usize::MAX,
        };
        let mut idle = Vec::new();
        // Ordinary machines cost about three times as much.
        let mut machines: Vec<(&MachineId, &Machine)> = self.machines.iter().rev().collect();
        machines.sort_by_key(|(_, m)| m.spot);
        for (id, m) in machines {
            let Some(since) = m.idle_since else { continue };
            // What it reports as finished must be written first.
            if !m.is_empty()
                || !m.exited.is_empty()
                || now.since(m.heard_at) > self.knobs.report.scaled(2, 1)
            {
                continue;
            }
            let drained = m.life == Life::Draining;
            let stale = m.life == Life::Up
                && now.since(since) >= self.idle_limit(m)
                && now.since(m.since) >= LEAST_CHARGE;
            if drained {
                idle.push(id.clone());
            } else if stale {
                let places = reserve.map_or(0, |(s, _)| self.places_on(m, s));
                // Ordinary machines are not kept for what spot ones may serve.
                let too_expensive = !m.spot && reserve.is_some_and(|(s, _)| s.spot);
                if places <= spare || too_expensive {
                    spare = spare.saturating_sub(places);
                    idle.push(id.clone());
                }
            }
        }
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.life = Life::Returning;
                self.notes
                    .push(format!("event=machine_idle machine={id} zone={}", m.zone));
            }
        }
    }

    /// How long an empty machine is kept: a while that is short against booting another, or as long as that takes while
    /// there is brisk work, for which another would come too late.
    ///
    /// Guards against ordinary machines, at about three times the price, that are kept for work that spot ones may serve.
    fn idle_limit(&self, m: &Machine) -> Micros {
        let boot = self.flavors.get(&m.rig).map_or(Micros::ZERO, Flavor::boot);
        let lately = |at: Micros| self.latest.since(at) < ARRIVALS_OVER;
        let brisk_at = if m.spot {
            self.fleet.brisk_spot_at
        } else {
            self.fleet.brisk_ordinary_at
        };
        let brisk = brisk_at.is_some_and(lately);
        self.knobs
            .idle
            .unwrap_or(boot.scaled(if brisk { 8 } else { 1 }, 8))
    }

    /// Whether what a job's aims allow it to wait is over before a machine that is rented for it has booted.
    fn is_brisk(&self, spec: &JobSpec) -> bool {
        let Some(boot) = self.flavors.values().map(Flavor::boot).min() else {
            return false;
        };
        let spare = |due: f64| Micros::from_secs_f64(due - spec.expect_s);
        let starts_in_time = self.knobs.wait_within.get(&spec.class);
        let ends_in_time = spec.due_s.map(spare);
        let least = starts_in_time
            .copied()
            .into_iter()
            .chain(ends_in_time)
            .min();
        spec.shape == Shape::Array && least.is_some_and(|least| least < boot)
    }

    /// Notes the brisk work that is there.
    fn look_for_brisk(&mut self, now: Micros) {
        let mut asked = 0;
        let (mut any_spot, mut any_ordinary) = (false, false);
        let open = self.jobs.values().filter(|j| !j.ending);
        for job in open.filter(|j| self.is_brisk(&j.spec)) {
            let left = (job.spec.tasks - job.done) as usize;
            asked += job.spec.need().times(left).cores;
            any_spot |= job.spec.spot;
            any_ordinary |= !job.spec.spot || job.lost_on_spot;
        }
        if any_spot {
            self.fleet.brisk_spot_at = Some(now);
        }
        if any_ordinary {
            self.fleet.brisk_ordinary_at = Some(now);
        }
        let samples = &mut self.fleet.brisk_asked;
        if samples
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= SAMPLE_EVERY)
        {
            samples.push_back((now, asked));
        }
        samples.retain(|(at, _)| now.since(*at) < ASKED_OVER);
    }

    /// The brisk job that came last, and how many places like its own are to be free: so many that what brisk work asked
    /// for at most of the recent times would find room.
    fn brisk_reserve(&self) -> Option<(Rc<JobSpec>, usize)> {
        let brisk = |j: &&Job| !j.ending && self.is_brisk(&j.spec);
        let jobs = || self.jobs.values().filter(brisk);
        let spec = jobs().max_by_key(|j| j.at)?.spec.clone();
        let mut asked: Vec<i64> = self.fleet.brisk_asked.iter().map(|(_, a)| *a).collect();
        asked.sort_unstable();
        let usual = *asked.get(asked.len() * MOSTLY.0 / MOSTLY.1)?;
        let now: i64 = jobs()
            .map(|j| j.spec.need().times(j.live as usize).cores)
            .sum();
        let places = (usual - now).max(0) / spec.need().cores.max(1);
        Some((spec, places as usize))
    }

    /// The places to keep for tasks that can't wait for a boot, with a job that stands for them.
    fn reserve(&self, wall: u64) -> Option<(Rc<JobSpec>, usize)> {
        let mut newest: Option<&Job> = None;
        let mut recent = 0;
        let mut running = 0;
        for job in self.jobs.values().filter(|j| !j.ending) {
            if !self.knobs.wait_within.contains_key(&job.spec.class) || job.spec.spot {
                continue;
            }
            running += job.live;
            if wall.saturating_sub(job.at) < ARRIVALS_OVER.0 {
                recent += job.spec.tasks;
            }
            if newest.is_none_or(|n| n.at < job.at) {
                newest = Some(job);
            }
        }
        let Some(newest) = newest else {
            return self.brisk_reserve();
        };
        let spec = newest.spec.clone();
        if let Some(fixed) = self.knobs.reserve {
            return Some((spec, fixed as usize));
        }
        let boot = self.flavors.values().map(Flavor::boot).min()?;
        let within = self.knobs.wait_within.get(&spec.class)?;
        if boot < *within {
            return None;
        }
        let in_a_boot = (u64::from(recent) * boot.0).div_ceil(ARRIVALS_OVER.0);
        let most = u64::from(running / 8).max(2);
        Some((spec, in_a_boot.clamp(1, most) as usize))
    }

    /// Places for such tasks on machines that are up, those included that tasks of lower priority would make way for.
    fn free_places(&self, spec: &JobSpec) -> usize {
        self.machines
            .values()
            .filter(|m| m.takes_offers())
            .map(|m| self.places_on(m, spec))
            .sum()
    }

    /// How many such tasks a machine could take.
    fn places_on(&self, m: &Machine, spec: &JobSpec) -> usize {
        if !spec.allows(&m.rig, &m.zone, m.spot) {
            return 0;
        }
        let mut room = m.free();
        for (task, need) in &m.held {
            let job = self.jobs.get(&task.job);
            if spec.shape == Shape::Service && job.is_some_and(|j| j.spec.priority < spec.priority)
            {
                room += *need;
            }
        }
        room.count_of(&spec.need()).min(1_000)
    }

    /// What to rent for waiting tasks that neither free nor coming room will hold, and for the reserve.
    fn plan_rentals(&mut self, reserve: Option<(Rc<JobSpec>, usize)>, now: Micros) -> Vec<Want> {
        // A new leader first hears what there is.
        let hears_for = self.knobs.report.scaled(5, 4) + Micros::secs(1);
        if now.since(self.began) < hears_for && !self.has_heard_all() {
            return Vec::new();
        }
        let mut plan = self.begin_plan(now);
        let mut planned_use: BTreeMap<String, Room> = BTreeMap::new();
        let mut left = TASKS_PER_ROUND;
        if let Some((spec, _)) = &reserve {
            self.plan_places(spec, self.ramp_extra(), &mut plan, now);
        }
        for id in self.waiting_jobs(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let spec = job.spec.clone();
            let need = spec.need();
            let mut in_zone: BTreeMap<String, u32> = BTreeMap::new();
            plan.next = 0;
            for _ in 0..job.open() {
                let planned = planned_use.entry(spec.team.clone()).or_default();
                if left == 0 || !self.within_limit(&spec.team, &(*planned + need)) {
                    break;
                }
                let Some(zone) = self.plan_task(job, &in_zone, &mut plan, now) else {
                    break;
                };
                *planned += need;
                *in_zone.entry(zone).or_default() += 1;
                left -= 1;
            }
        }
        if let Some((spec, places)) = reserve {
            self.plan_places(&spec, places, &mut plan, now);
        }
        let mut wants: BTreeMap<Pool, usize> = BTreeMap::new();
        for bin in plan.bins.into_iter().filter(|b| b.new) {
            *wants.entry(bin.pool).or_default() += 1;
        }
        let mut allowed = self.knobs.rent_per_round;
        let mut rent = Vec::new();
        for (pool, count) in wants {
            let count = count.min(allowed);
            allowed -= count;
            if count > 0 {
                rent.push(Want { pool, count });
            }
        }
        rent
    }

    /// Sees to it that there are, or come, so many places for such tasks.
    fn plan_places(&self, spec: &Rc<JobSpec>, places: usize, plan: &mut Plan, now: Micros) {
        let job = Job::new(spec.clone(), 0, None, Micros::ZERO);
        let nowhere = BTreeMap::new();
        plan.next = 0;
        for _ in self.free_places(spec)..places {
            if self.plan_task(&job, &nowhere, plan, now).is_none() {
                return;
            }
        }
    }

    /// Places to rent beyond what waits, while much of the classes that can't wait for a boot does: boots differ by
    /// more than double, so that of more machines those needed are up sooner.
    fn ramp_extra(&self) -> usize {
        let (mut waiting, mut running) = (0, 0);
        for job in self.jobs.values() {
            if self.knobs.wait_within.contains_key(&job.spec.class) && !job.spec.spot {
                waiting += job.waiting() as usize;
                running += job.live as usize;
            }
        }
        if waiting > RAMP_FROM.max(running / 4) {
            waiting / 2
        } else {
            0
        }
    }

    /// Whether the machine list was read, and every machine that must be up by it, or by its tasks, has reported.
    fn has_heard_all(&self) -> bool {
        let is_up = |m: &Machine| m.listed_running || !m.held.is_empty();
        let mut machines = self.machines.values();
        self.fleet.listed && machines.all(|m| m.life != Life::Booting || !is_up(m))
    }

    /// Jobs with waiting tasks in the order in which they are offered, those that back off left out. For one at fault
    /// nothing is rented as long as there is any machine that it could fail on.
    fn waiting_jobs(&self, now: Micros) -> Vec<JobId> {
        let any_up = self.machines.values().any(Machine::takes_offers);
        let mut waiting: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.open() > 0 && j.next_try <= now + Micros::secs(2))
            .filter(|j| !(j.at_fault && any_up))
            .collect();
        self.sort_by_turn(&mut waiting);
        waiting.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// Room that comes without renting anything more.
    fn coming(&self, now: Micros) -> Vec<Bin> {
        let mut bins = Vec::new();
        let offered_within = self.knobs.retry + self.knobs.jitter.scaled(2, 1);
        for m in self.machines.values() {
            let boot = self
                .flavors
                .get(&m.rig)
                .map_or(Micros::secs(60), Flavor::boot);
            // One that reported, but not yet to have heard this leader, does so with its next report or is not there.
            let reports_soon =
                m.newest.is_none() || now.since(m.heard_at) < self.knobs.report.scaled(2, 1);
            let on_its_way = m.life == Life::Booting
                && reports_soon
                && m.total != Room::default()
                && !m.lost
                && self.comes_soon(m, now);
            let mut free = m.free();
            let mut frees = false;
            let mut later = false;
            if m.takes_offers() {
                for (task, need) in &m.held {
                    let stopping = self.is_stopping(task);
                    if stopping || self.ends_within(task, boot.scaled(1, 3), now) {
                        free += *need;
                        frees = true;
                        later |= !stopping;
                    }
                }
            }
            // Guards against renting once more for tasks that wait a moment longer for their next offer.
            let just_up = m.takes_offers()
                && m.is_empty()
                && m.idle_since.is_some_and(|t| now.since(t) <= offered_within);
            if on_its_way || frees || just_up {
                bins.push(Bin {
                    pool: Pool {
                        rig: m.rig.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    },
                    free,
                    slots: MOST_TASKS.saturating_sub(m.reported_tasks()),
                    new: false,
                    later,
                });
            }
        }
        for want in &self.fleet.renting {
            let Some(flavor) = self.flavors.get(&want.pool.rig) else {
                continue;
            };
            for _ in 0..want.count {
                bins.push(Bin {
                    pool: want.pool.clone(),
                    free: flavor.room(),
                    slots: MOST_TASKS,
                    new: false,
                    later: false,
                });
            }
        }
        bins
    }

    pub(super) fn is_stopping(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let p = job.and_then(|j| j.placement(task.index));
        p.is_some_and(|p| p.stopping.is_some())
    }

    /// Whether a task is done so soon, by its owner's estimate, that renting would not help sooner.
    fn ends_within(&self, task: &TaskId, limit: Micros, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(since) = job.placement(task.index).and_then(|p| p.running_since) else {
            return false;
        };
        let expected = Micros::from_secs_f64(job.spec.expect_s);
        let left = expected.since(now.since(since));
        // An estimate that has run out says little; a quarter as long again is a fair guess.
        job.spec.shape == Shape::Array && left.max(expected.scaled(1, 4)) <= limit
    }

    fn begin_plan(&self, now: Micros) -> Plan {
        let mut in_zone: BTreeMap<String, usize> = BTreeMap::new();
        for m in self.machines.values() {
            match in_zone.get_mut(&m.zone) {
                Some(n) => *n += 1,
                None => {
                    in_zone.insert(m.zone.clone(), 1);
                }
            }
        }
        Plan {
            bins: self.coming(now),
            next: 0,
            rented: 0,
            in_zone,
        }
    }

    /// Finds coming room for a task, or adds a machine to rent; the zone, or none where nothing can be had.
    fn plan_task(
        &self,
        job: &Job,
        in_zone: &BTreeMap<String, u32>,
        plan: &mut Plan,
        now: Micros,
    ) -> Option<String> {
        let spec = &job.spec;
        let need = spec.need();
        let zone_fits = |zone: &str| {
            let here = in_zone.get(zone).copied().unwrap_or(0);
            let elsewhere: u32 = in_zone.values().sum::<u32>() - here;
            zone_takes(job, zone, here, None) && !(spec.together && elsewhere > 0)
        };
        // What has a deadline or must start at once does not wait for others to end.
        // For brisk work a rented machine comes later than what ends within a part of a boot.
        let patient = spec.due_s.is_none() && self.has_time_for_boots(spec) || self.is_brisk(spec);
        // What did not take one task of a job does not take the next.
        while let Some(bin) = plan.bins.get_mut(plan.next) {
            if bin.free.holds(&need)
                && bin.slots > 0
                && (patient || !bin.later)
                && job.allows(&bin.pool.rig, &bin.pool.zone, bin.pool.spot)
                && zone_fits(&bin.pool.zone)
            {
                bin.free -= need;
                bin.slots -= 1;
                return Some(bin.pool.zone.clone());
            }
            plan.next += 1;
        }
        if plan.rented >= self.knobs.rent_per_round {
            return None;
        }
        let (pool, room) = self.choose_pool(job, plan, now, zone_fits)?;
        let zone = pool.zone.clone();
        plan.rented += 1;
        *plan.in_zone.entry(zone.clone()).or_default() += 1;
        plan.bins.push(Bin {
            pool,
            free: room - need,
            slots: MOST_TASKS - 1,
            new: true,
            later: false,
        });
        Some(zone)
    }

    /// Whether the start aim of the job's class, if it has one, leaves the time of two boots.
    fn has_time_for_boots(&self, spec: &JobSpec) -> bool {
        let boot = self.flavors.values().map(Flavor::boot).max();
        let within = self.knobs.wait_within.get(&spec.class);
        within.is_none_or(|w| boot.is_some_and(|b| *w > b.scaled(2, 1)))
    }

    /// The pool where a place for such a task is cheapest; among equals the zone with the fewest machines. Zones of which
    /// nothing is heard, or where machines come up late, come last.
    fn choose_pool(
        &self,
        job: &Job,
        plan: &Plan,
        now: Micros,
        zone_fits: impl Fn(&str) -> bool,
    ) -> Option<(Pool, Room)> {
        let need = job.spec.need();
        let mut best: Option<((bool, f64, usize), Pool, Room)> = None;
        for flavor in self.flavors.values() {
            let room = flavor.room();
            let places = room.count_of(&need).min(1_000);
            if places == 0 {
                continue;
            }
            for zone in flavor.zones.iter().filter(|z| zone_fits(z)) {
                for spot in [true, false] {
                    let pool = Pool {
                        rig: flavor.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !job.allows(&pool.rig, zone, spot)
                        || self.fleet.paused.get(&pool).is_some_and(|t| *t > now)
                    {
                        continue;
                    }
                    let price = if spot {
                        flavor.spot_price
                    } else {
                        flavor.price
                    };
                    let there = plan.in_zone.get(zone).copied().unwrap_or(0);
                    let doubtful = self.is_dark(zone) || self.boots.is_slow(zone);
                    let rank = (doubtful, price / places as f64, there);
                    if best.as_ref().is_none_or(|(r, _, _)| rank < *r) {
                        best = Some((rank, pool, room));
                    }
                }
            }
        }
        best.map(|(_, pool, room)| (pool, room))
    }
}
