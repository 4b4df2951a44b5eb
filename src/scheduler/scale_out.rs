//! Scale-out: what to provision for tasks that neither free nor incoming capacity will hold.

use super::fleet::{Pool, ScaleOutRequest};
use super::job::Job;
use super::job_spec::{JobSpec, Shape};
use super::machine::{MAX_TASKS_PER_MACHINE, Machine, MachineState};
use super::machine_type::MachineType;
use super::offers::zone_allows;
use super::reserve::Reserve;
use super::{JobId, Scheduler, TaskId};
use crate::units::{Micros, Resources};
use ravenhead_index::FirstFitByKind;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Steps of one plan, each of which fills a machine or goes on to the next; or so many for each machine, if that is more.
const STEPS_PER_PLAN: usize = 10_000;
const STEPS_PER_MACHINE: usize = 4;
/// Fewer waiting tasks than this are no ramp.
const RAMP_FROM: usize = 16;

/// What an index knows of a bin: its free processors, accelerators and memory.
type Amounts = [i64; 3];
type Index = FirstFitByKind<3, KINDS>;

/// Which bins a job asks for; each kind has an index of its own.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// Any.
    Any,
    /// Those whose room is there as soon as the machine is.
    Soon,
    /// Ordinary machines.
    Ordinary,
    /// Both.
    OrdinarySoon,
}

const KINDS: usize = 4;

impl Kind {
    const ALL: [Kind; KINDS] = [Kind::Any, Kind::Soon, Kind::Ordinary, Kind::OrdinarySoon];

    fn of(patient: bool, ordinary_only: bool) -> Kind {
        match (patient, ordinary_only) {
            (true, false) => Kind::Any,
            (false, false) => Kind::Soon,
            (true, true) => Kind::Ordinary,
            (false, true) => Kind::OrdinarySoon,
        }
    }
}

/// Incoming capacity: a machine that boots, is being provisioned, or is about to be provisioned.
struct Bin {
    pool: Pool,
    free: Resources,
    /// How many more tasks it may take, whatever their size.
    slots: usize,
    new: bool,
    /// Whether the room is there only once tasks that run there now have ended.
    later: bool,
}

impl Bin {
    /// A machine that is being provisioned, or about to be.
    fn provisioned(pool: Pool, room: Resources, new: bool) -> Bin {
        Bin {
            pool,
            free: room,
            slots: MAX_TASKS_PER_MACHINE,
            new,
            later: false,
        }
    }

    /// How many tasks of this size it takes, of so many.
    fn takes(&self, need: &Resources, wanted: usize) -> usize {
        self.free.count_of(need).min(self.slots).min(wanted)
    }

    fn fill(&mut self, need: &Resources, tasks: usize) {
        self.free -= need.times(tasks);
        self.slots -= tasks;
    }

    /// What an index of a kind knows of it.
    fn amounts(&self, kind: Kind) -> Amounts {
        let is_of_kind = match kind {
            Kind::Any => true,
            Kind::Soon => !self.later,
            Kind::Ordinary => !self.pool.spot,
            Kind::OrdinarySoon => !self.later && !self.pool.spot,
        };
        if !is_of_kind || self.slots == 0 {
            return Index::ABSENT_KEY;
        }
        self.free.amounts()
    }
}

/// A plan of provisioning requests in the making.
struct Plan {
    bins: Vec<Bin>,
    index: Index,
    /// The first bin that may take the next task of the job at hand.
    next: usize,
    /// Machines to be provisioned by it.
    provisioned: usize,
    /// Machines by zone, those to be provisioned included.
    in_zone: BTreeMap<String, usize>,
}

impl Plan {
    /// The first bin of a kind at or after the place that has so much room.
    fn first_from(&mut self, from: usize, kind: Kind, need: &Resources) -> Option<usize> {
        let bins = &self.bins;
        let need = need.amounts();
        self.index
            .first_from(kind as usize, from, &need, |i| bins[i].amounts(kind))
    }

    fn fill(&mut self, bin: usize, need: &Resources, tasks: usize) {
        self.bins[bin].fill(need, tasks);
        let filled = &self.bins[bin];
        self.index.set(bin, |kind| filled.amounts(Kind::ALL[kind]));
    }

    fn add(&mut self, bin: Bin) -> usize {
        self.index.push(|kind| bin.amounts(Kind::ALL[kind]));
        self.bins.push(bin);
        self.bins.len() - 1
    }
}

/// Tasks of one job for which room was found: in which zone, and how many.
struct Found {
    zone: String,
    tasks: usize,
}

impl Scheduler {
    /// What to provision for waiting tasks that neither free nor incoming capacity will hold, and for the reserve.
    pub(super) fn plan_scale_out(
        &mut self,
        reserve: Option<Reserve>,
        now: Micros,
    ) -> Vec<ScaleOutRequest> {
        // A new leader first hears what there is.
        let discovery_period = self.config.heartbeat_interval.scaled(5, 4) + Micros::secs(1);
        if now.since(self.started_at) < discovery_period && !self.all_have_reported() {
            return Vec::new();
        }
        let free = reserve
            .as_ref()
            .map_or(0, |r| self.free_places(&r.template));
        let ramp = reserve.as_ref().map_or(0, |_| self.ramp_extra());
        let places = reserve.as_ref().map_or(0, |r| r.places);
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() && free >= places.max(ramp) {
            return Vec::new();
        }
        let mut plan = self.begin_plan(now);
        if let Some(reserve) = &reserve {
            self.plan_places(&reserve.template, ramp.saturating_sub(free), &mut plan, now);
        }
        self.plan_waiting(&waiting, &mut plan, now);
        if let Some(reserve) = &reserve {
            self.plan_places(
                &reserve.template,
                places.saturating_sub(free),
                &mut plan,
                now,
            );
        }
        self.count_steps(plan.index.visited() as usize);
        self.requests(plan)
    }

    /// Finds room for the waiting tasks of these jobs, in their order.
    fn plan_waiting(&self, waiting: &[JobId], plan: &mut Plan, now: Micros) {
        let mut planned_use: BTreeMap<String, Resources> = BTreeMap::new();
        let mut left = STEPS_PER_PLAN.max(self.machines.len() * STEPS_PER_MACHINE);
        for id in waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let need = spec.need();
            let planned = planned_use.entry(spec.team.clone()).or_default();
            // Where it matters which zone the others are in, each is planned by itself.
            let at_once = if spec.together || spec.spread {
                1
            } else {
                usize::MAX
            };
            let mut in_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut open = job.schedulable_tasks() as usize;
            plan.next = 0;
            while open > 0 && left > 0 {
                left -= 1;
                let allowed = self.tasks_within_limit(&spec.team, planned, &need);
                let wanted = open.min(allowed).min(at_once);
                if wanted == 0 {
                    break;
                }
                let Some(found) = self.plan_tasks(job, wanted, &in_zone, plan, now) else {
                    break;
                };
                *planned += need.times(found.tasks);
                *in_zone.entry(found.zone).or_default() += found.tasks as u32;
                open -= found.tasks;
            }
        }
    }

    /// The machines that a plan adds, pool by pool, as many as may be provisioned at a time.
    fn requests(&self, plan: Plan) -> Vec<ScaleOutRequest> {
        let mut requests: BTreeMap<Pool, usize> = BTreeMap::new();
        for bin in plan.bins.into_iter().filter(|b| b.new) {
            *requests.entry(bin.pool).or_default() += 1;
        }
        let mut allowed = self.config.max_scale_out_per_cycle;
        let mut rent = Vec::new();
        for (pool, count) in requests {
            let count = count.min(allowed);
            allowed -= count;
            if count > 0 {
                rent.push(ScaleOutRequest { pool, count });
            }
        }
        rent
    }

    /// Plans so many more places for such tasks.
    fn plan_places(&self, spec: &Rc<JobSpec>, places: usize, plan: &mut Plan, now: Micros) {
        let job = Job::new(spec.clone(), 0, None, Micros::ZERO);
        let nowhere = BTreeMap::new();
        plan.next = 0;
        let mut left = places;
        while left > 0 {
            let Some(found) = self.plan_tasks(&job, left, &nowhere, plan, now) else {
                return;
            };
            left -= found.tasks;
        }
    }

    /// Places to provision beyond what waits, while much of the classes that can't wait for a boot does: boots differ by
    /// more than double, so that of more machines those needed are up sooner.
    fn ramp_extra(&self) -> usize {
        let (mut waiting, mut running) = (0, 0);
        for job in self.jobs.values() {
            if self.config.max_start_delay.contains_key(&job.spec.class) && !job.spec.spot {
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
    fn all_have_reported(&self) -> bool {
        let is_up = |m: &Machine| m.listed_running || !m.reserved.is_empty();
        let mut machines = self.machines.values();
        self.fleet.listed && machines.all(|m| m.state != MachineState::Provisioning || !is_up(m))
    }

    /// Jobs with waiting tasks in the order in which they are offered, those that back off left out. For one crash-looping
    /// nothing is provisioned as long as there is any machine that it could fail on.
    fn waiting_jobs(&self, now: Micros) -> Vec<JobId> {
        let any_up = self.machines.values().any(Machine::takes_offers);
        self.count_steps(self.job_index.waiting_count());
        let mut waiting: Vec<&Job> = self
            .jobs_with_waiting_tasks()
            .filter(|j| j.schedulable_tasks() > 0 && j.next_offer_at <= now + Micros::secs(2))
            .filter(|j| !(j.crash_looping && any_up))
            .collect();
        self.sort_by_queue_position(&mut waiting);
        waiting.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// Capacity that comes without provisioning anything more.
    fn incoming_capacity(&self, now: Micros) -> Vec<Bin> {
        let mut bins = Vec::new();
        let offered_within = self.config.retry_interval + self.config.max_retry_jitter.scaled(2, 1);
        for m in self.machines.values() {
            let boot = self
                .machine_types
                .get(&m.machine_type)
                .map_or(Micros::secs(60), MachineType::boot);
            // One that reported, but not yet to have heard this leader, does so with its next heartbeat or is not there.
            let reports_soon = m.newest.is_none()
                || now.since(m.last_contact) < self.config.heartbeat_interval.scaled(2, 1);
            let is_provisioning = m.state == MachineState::Provisioning
                && reports_soon
                && m.total != Resources::default()
                && !m.lost
                && self
                    .provisioning_times
                    .is_provisioned_soon(m, &self.machine_types, now);
            let mut free = m.free();
            let mut frees = false;
            let mut later = false;
            if m.takes_offers() {
                for (task, need) in &m.reserved {
                    let stopping = self.is_stopping(task);
                    if stopping || self.ends_within(task, boot.scaled(1, 3), now) {
                        free += *need;
                        frees = true;
                        later |= !stopping;
                    }
                }
            }
            // Guards against provisioning once more for tasks that wait a moment longer for their next offer.
            let just_up = m.takes_offers()
                && m.is_empty()
                && m.idle_since.is_some_and(|t| now.since(t) <= offered_within);
            if is_provisioning || frees || just_up {
                bins.push(Bin {
                    pool: Pool {
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    },
                    free,
                    slots: MAX_TASKS_PER_MACHINE.saturating_sub(m.reported_tasks()),
                    new: false,
                    later,
                });
            }
        }
        for request in &self.fleet.in_flight_requests {
            let Some(machine_type) = self.machine_types.get(&request.pool.machine_type) else {
                continue;
            };
            let room = machine_type.resources();
            let provisioned = || Bin::provisioned(request.pool.clone(), room, false);
            bins.extend(std::iter::repeat_with(provisioned).take(request.count));
        }
        bins
    }

    pub(super) fn is_stopping(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let p = job.and_then(|j| j.placement(task.index));
        p.is_some_and(|p| p.stopping.is_some())
    }

    /// Whether a task is done so soon, by its owner's estimate, that provisioning would not help sooner.
    fn ends_within(&self, task: &TaskId, limit: Micros, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(since) = job.placement(task.index).and_then(|p| p.running_since) else {
            return false;
        };
        let expected = Micros::from_secs_f64(job.spec.expected_run_s);
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
        let bins = self.incoming_capacity(now);
        Plan {
            index: Index::new(bins.len()),
            bins,
            next: 0,
            provisioned: 0,
            in_zone,
        }
    }

    /// Finds incoming capacity for some of these tasks of a job, or adds a machine to provision; none where there is none.
    fn plan_tasks(
        &self,
        job: &Job,
        wanted: usize,
        in_zone: &BTreeMap<String, u32>,
        plan: &mut Plan,
        now: Micros,
    ) -> Option<Found> {
        let spec = &job.spec;
        let need = spec.need();
        let zone_fits = |zone: &str| {
            let here = in_zone.get(zone).copied().unwrap_or(0);
            let elsewhere: u32 = in_zone.values().sum::<u32>() - here;
            zone_allows(job, zone, here, None) && !(spec.together && elsewhere > 0)
        };
        // What has a deadline or must start at once does not wait for others to end.
        // For latency-sensitive work a provisioned machine comes later than what ends within a part of a boot.
        let patient = spec.due_s.is_none() && self.has_time_for_provisioning(spec)
            || self.is_latency_sensitive(spec);
        let ordinary_only = !spec.spot || job.lost_work_on_spot;
        let kind = Kind::of(patient, ordinary_only);
        // What did not take one task of a job does not take the next.
        while let Some(i) = plan.first_from(plan.next, kind, &need) {
            self.count_steps(1);
            plan.next = i;
            let bin = &plan.bins[i];
            let zone = bin.pool.zone.clone();
            let tasks = bin.takes(&need, wanted);
            if tasks > 0
                && job.allows(&bin.pool.machine_type, &zone, bin.pool.spot)
                && zone_fits(&zone)
            {
                plan.fill(i, &need, tasks);
                return Some(Found { zone, tasks });
            }
            plan.next = i + 1;
        }
        if plan.provisioned >= self.config.max_scale_out_per_cycle {
            return None;
        }
        let (pool, room) = self.choose_pool(job, plan, now, zone_fits)?;
        let zone = pool.zone.clone();
        plan.provisioned += 1;
        *plan.in_zone.entry(zone.clone()).or_default() += 1;
        let bin = Bin::provisioned(pool, room, true);
        let tasks = bin.takes(&need, wanted).max(1);
        let i = plan.add(bin);
        plan.fill(i, &need, tasks);
        Some(Found { zone, tasks })
    }

    /// Whether the start aim of the job's class, if it has one, leaves the time of two boots.
    fn has_time_for_provisioning(&self, spec: &JobSpec) -> bool {
        let boot = self.machine_types.values().map(MachineType::boot).max();
        let within = self.config.max_start_delay.get(&spec.class);
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
    ) -> Option<(Pool, Resources)> {
        let need = job.spec.need();
        let mut best: Option<((bool, f64, usize), Pool, Resources)> = None;
        for machine_type in self.machine_types.values() {
            let room = machine_type.resources();
            let places = room.count_of(&need).min(1_000);
            if places == 0 {
                continue;
            }
            for zone in machine_type.zones.iter().filter(|z| zone_fits(z)) {
                for spot in [true, false] {
                    let pool = Pool {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !job.allows(&pool.machine_type, zone, spot)
                        || self.fleet.paused.get(&pool).is_some_and(|t| *t > now)
                    {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    let there = plan.in_zone.get(zone).copied().unwrap_or(0);
                    let is_suspect = self.failure_detector.is_zone_unreachable(zone)
                        || self.provisioning_times.is_slow(zone);
                    let rank = (is_suspect, price / places as f64, there);
                    if best.as_ref().is_none_or(|(r, _, _)| rank < *r) {
                        best = Some((rank, pool, room));
                    }
                }
            }
        }
        best.map(|(_, pool, room)| (pool, room))
    }
}
