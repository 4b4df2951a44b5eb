//! Scale-out: planning of machines to provision for tasks that fit into neither free nor incoming capacity.

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

/// Maximum number of planning steps for waiting tasks, each of which assigns tasks to one machine. For a large fleet it
/// is [`MAX_PLAN_STEPS_PER_MACHINE`] for each machine if that is more.
const MAX_PLAN_STEPS: usize = 10_000;
/// Maximum number of planning steps per machine of a fleet for which this gives more than [`MAX_PLAN_STEPS`].
const MAX_PLAN_STEPS_PER_MACHINE: usize = 4;
/// Maximum number of waiting tasks for which no extra machines are provisioned, however few tasks are running.
const RAMP_UP_THRESHOLD_TASKS: usize = 16;

/// Key of a bin in an index: its free processors, accelerators and memory.
type IndexKey = [i64; 3];
/// Finds the first bin of each kind with enough free resources.
type Index = FirstFitByKind<3, KINDS>;

/// The bins that a job may use. Each kind has its own index.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// All bins.
    Any,
    /// Bins whose resources are free without waiting for tasks to end.
    Immediate,
    /// Bins of on-demand machines.
    OnDemand,
    /// Bins of on-demand machines whose resources are free without waiting for tasks to end.
    OnDemandImmediate,
}

const KINDS: usize = 4;

impl Kind {
    const ALL: [Kind; KINDS] = [
        Kind::Any,
        Kind::Immediate,
        Kind::OnDemand,
        Kind::OnDemandImmediate,
    ];

    fn of(may_wait_for_tasks: bool, on_demand_only: bool) -> Kind {
        match (may_wait_for_tasks, on_demand_only) {
            (true, false) => Kind::Any,
            (false, false) => Kind::Immediate,
            (true, true) => Kind::OnDemand,
            (false, true) => Kind::OnDemandImmediate,
        }
    }
}

/// Incoming capacity of one machine: one that is being provisioned, is to be provisioned, has recently become ready, or
/// on which tasks are about to end.
struct Bin {
    pool: Pool,
    free: Resources,
    /// Number of tasks that may still be assigned to it, regardless of their size.
    slots: usize,
    /// Whether this plan adds the machine; false if it exists or was requested before.
    is_new: bool,
    /// Whether some of the free resources become available only when running tasks end without being stopped.
    waits_for_tasks: bool,
}

impl Bin {
    /// Creates the bin of an empty machine that is being provisioned or is to be provisioned.
    fn provisioned(pool: Pool, total: Resources, is_new: bool) -> Bin {
        Bin {
            pool,
            free: total,
            slots: MAX_TASKS_PER_MACHINE,
            is_new,
            waits_for_tasks: false,
        }
    }

    /// Returns how many of `wanted` tasks that need `need` each fit into this bin.
    fn capacity_for(&self, need: &Resources, wanted: usize) -> usize {
        self.free.count_fitting(need).min(self.slots).min(wanted)
    }

    fn fill(&mut self, need: &Resources, tasks: usize) {
        self.free -= need.times(tasks);
        self.slots -= tasks;
    }

    /// Returns the key of this bin in the index of a kind, or the key for absent bins if it is not of the kind or full.
    fn index_key(&self, kind: Kind) -> IndexKey {
        let is_of_kind = match kind {
            Kind::Any => true,
            Kind::Immediate => !self.waits_for_tasks,
            Kind::OnDemand => !self.pool.spot,
            Kind::OnDemandImmediate => !self.waits_for_tasks && !self.pool.spot,
        };
        if !is_of_kind || self.slots == 0 {
            return Index::ABSENT_AMOUNTS;
        }
        self.free.amounts()
    }
}

/// A scale-out plan under construction.
struct Plan {
    bins: Vec<Bin>,
    index: Index,
    /// First bin that may have capacity for the remaining tasks of the current job.
    next_bin: usize,
    /// Number of machines that this plan adds.
    added_machines: usize,
    /// Number of machines by zone, including those that this plan adds.
    machines_by_zone: BTreeMap<String, usize>,
}

impl Plan {
    /// Returns the first bin of a kind, at index `from` or later, with free resources of at least `need`.
    fn first_from(&mut self, from: usize, kind: Kind, need: &Resources) -> Option<usize> {
        let bins = &self.bins;
        let need = need.amounts();
        self.index
            .first_from(kind as usize, from, &need, |i| bins[i].index_key(kind))
    }

    fn fill(&mut self, bin: usize, need: &Resources, tasks: usize) {
        self.bins[bin].fill(need, tasks);
        let filled = &self.bins[bin];
        self.index
            .set(bin, |kind| filled.index_key(Kind::ALL[kind]));
    }

    fn add(&mut self, bin: Bin) -> usize {
        self.index.push(|kind| bin.index_key(Kind::ALL[kind]));
        self.bins.push(bin);
        self.bins.len() - 1
    }
}

/// Tasks of one job that were assigned to a bin, and the zone of the bin.
struct AssignedTasks {
    zone: String,
    tasks: usize,
}

impl Scheduler {
    /// Returns the machines to provision for waiting tasks that fit into neither free nor incoming capacity, and for
    /// the reserve.
    pub(super) fn plan_scale_out(
        &mut self,
        reserve: Option<Reserve>,
        now: Micros,
    ) -> Vec<ScaleOutRequest> {
        // A new leader first waits for the heartbeats of existing machines.
        let discovery_period = self.config.heartbeat_interval.scaled(5, 4) + Micros::secs(1);
        if now.since(self.started_at) < discovery_period && !self.all_have_reported() {
            return Vec::new();
        }
        let free = reserve
            .as_ref()
            .map_or(0, |r| self.free_places(&r.template));
        let ramp_up = reserve.as_ref().map_or(0, |_| self.ramp_up_places());
        let places = reserve.as_ref().map_or(0, |r| r.places);
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() && free >= places.max(ramp_up) {
            return Vec::new();
        }
        let mut plan = self.begin_plan(now);
        if let Some(reserve) = &reserve {
            self.plan_places(
                &reserve.template,
                ramp_up.saturating_sub(free),
                &mut plan,
                now,
            );
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

    /// Assigns the waiting tasks of these jobs to bins, in the order of the jobs.
    fn plan_waiting(&self, waiting: &[JobId], plan: &mut Plan, now: Micros) {
        let mut planned_use: BTreeMap<String, Resources> = BTreeMap::new();
        let mut steps_left = MAX_PLAN_STEPS.max(self.machines.len() * MAX_PLAN_STEPS_PER_MACHINE);
        for id in waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let need = spec.need();
            let planned = planned_use.entry(spec.team.clone()).or_default();
            // If the zones of a job's tasks depend on each other, the tasks are assigned one at a time.
            let max_per_step = if spec.together || spec.spread {
                1
            } else {
                usize::MAX
            };
            let mut tasks_by_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut unassigned = job.schedulable_tasks() as usize;
            plan.next_bin = 0;
            while unassigned > 0 && steps_left > 0 {
                steps_left -= 1;
                let within_limit = self.tasks_within_limit(&spec.team, planned, &need);
                let wanted = unassigned.min(within_limit).min(max_per_step);
                if wanted == 0 {
                    break;
                }
                let Some(assigned) = self.plan_tasks(job, wanted, &tasks_by_zone, plan, now) else {
                    break;
                };
                *planned += need.times(assigned.tasks);
                *tasks_by_zone.entry(assigned.zone).or_default() += assigned.tasks as u32;
                unassigned -= assigned.tasks;
            }
        }
    }

    /// Returns the machines that a plan adds, by pool, up to the maximum per scheduling cycle.
    fn requests(&self, plan: Plan) -> Vec<ScaleOutRequest> {
        let mut requests: BTreeMap<Pool, usize> = BTreeMap::new();
        for bin in plan.bins.into_iter().filter(|b| b.is_new) {
            *requests.entry(bin.pool).or_default() += 1;
        }
        let mut allowed = self.config.max_scale_out_per_cycle;
        let mut scale_out = Vec::new();
        for (pool, count) in requests {
            let count = count.min(allowed);
            allowed -= count;
            if count > 0 {
                scale_out.push(ScaleOutRequest { pool, count });
            }
        }
        scale_out
    }

    /// Assigns `places` more tasks like those of a job to bins, adding machines to the plan as needed.
    fn plan_places(&self, spec: &Rc<JobSpec>, places: usize, plan: &mut Plan, now: Micros) {
        let job = Job::new(spec.clone(), 0, None, Micros::ZERO);
        let no_tasks_by_zone = BTreeMap::new();
        plan.next_bin = 0;
        let mut remaining = places;
        while remaining > 0 {
            let Some(assigned) = self.plan_tasks(&job, remaining, &no_tasks_by_zone, plan, now)
            else {
                return;
            };
            remaining -= assigned.tasks;
        }
    }

    /// Returns the number of task places to provision beyond the waiting tasks while many on-demand tasks wait whose
    /// class has a start objective.
    ///
    /// Provisioning times differ by more than a factor of two, so when more machines are provisioned than needed, the
    /// number needed is ready sooner.
    fn ramp_up_places(&self) -> usize {
        let (mut waiting, mut running) = (0, 0);
        for job in self.jobs.values() {
            if self.config.max_start_delay.contains_key(&job.spec.class) && !job.spec.spot {
                waiting += job.waiting() as usize;
                running += job.live as usize;
            }
        }
        if waiting > RAMP_UP_THRESHOLD_TASKS.max(running / 4) {
            waiting / 2
        } else {
            0
        }
    }

    /// Returns whether the machine list has been read and every machine that must be running has reported. These are
    /// the machines that are listed as running or have tasks placed on them.
    fn all_have_reported(&self) -> bool {
        let must_be_up = |m: &Machine| m.listed_running || !m.reserved.is_empty();
        let mut machines = self.machines.values();
        self.fleet.is_list_read
            && machines.all(|m| m.state != MachineState::Provisioning || !must_be_up(m))
    }

    /// Returns the jobs with waiting tasks in the order in which they are offered, without those that back off for more
    /// than two seconds.
    ///
    /// A job in a crash loop is included only if no machine accepts offers. Otherwise its next attempt is made on an
    /// existing machine, and nothing is provisioned for it.
    fn waiting_jobs(&self, now: Micros) -> Vec<JobId> {
        let any_accepts_offers = self.machines.values().any(Machine::accepts_offers);
        self.count_steps(self.job_index.waiting_count());
        let mut waiting: Vec<&Job> = self
            .jobs_with_waiting_tasks()
            .filter(|j| j.schedulable_tasks() > 0 && j.next_offer_at <= now + Micros::secs(2))
            .filter(|j| !(j.crash_looping && any_accepts_offers))
            .collect();
        self.sort_by_queue_position(&mut waiting);
        waiting.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// Returns the bins of capacity that becomes available without provisioning more machines.
    fn incoming_capacity(&self, now: Micros) -> Vec<Bin> {
        let mut bins = Vec::new();
        let offered_within = self.config.retry_interval + self.config.max_retry_jitter.scaled(2, 1);
        for m in self.machines.values() {
            let provisioning_time = self
                .machine_types
                .get(&m.machine_type)
                .map_or(Micros::secs(60), MachineType::provisioning_time);
            // A machine that has sent heartbeats, but is not ready because none of them contained this leader's fencing
            // token, sends one that does within two heartbeat intervals or no longer exists.
            let reports_soon = m.newest_heartbeat.is_none()
                || now.since(m.last_contact) < self.config.heartbeat_interval.scaled(2, 1);
            let is_provisioning = m.state == MachineState::Provisioning
                && reports_soon
                && m.total != Resources::default()
                && !m.is_gone
                && self
                    .provisioning_times
                    .counts_as_incoming(m, &self.machine_types, now);
            let mut free = m.free();
            let mut is_freed_by_tasks = false;
            let mut waits_for_tasks = false;
            if m.accepts_offers() {
                for (task, need) in &m.reserved {
                    let stopping = self.is_stopping(task);
                    if stopping || self.ends_within(task, provisioning_time.scaled(1, 3), now) {
                        free += *need;
                        is_freed_by_tasks = true;
                        waits_for_tasks |= !stopping;
                    }
                }
            }
            // Without this, machines would be provisioned again for tasks that wait for their next offer, although the
            // machines provisioned for them have become ready.
            let is_newly_idle = m.accepts_offers()
                && m.is_empty()
                && m.idle_since.is_some_and(|t| now.since(t) <= offered_within);
            if is_provisioning || is_freed_by_tasks || is_newly_idle {
                bins.push(Bin {
                    pool: Pool {
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    },
                    free,
                    slots: MAX_TASKS_PER_MACHINE.saturating_sub(m.reported_tasks()),
                    is_new: false,
                    waits_for_tasks,
                });
            }
        }
        for request in &self.fleet.in_flight_requests {
            let Some(machine_type) = self.machine_types.get(&request.pool.machine_type) else {
                continue;
            };
            let total = machine_type.resources();
            let provisioned = || Bin::provisioned(request.pool.clone(), total, false);
            bins.extend(std::iter::repeat_with(provisioned).take(request.count));
        }
        bins
    }

    /// Returns whether a placed task is being stopped.
    pub(super) fn is_stopping(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let p = job.and_then(|j| j.placement(task.index));
        p.is_some_and(|p| p.stopping.is_some())
    }

    /// Returns whether an array task is expected to end within `limit`, by the run time that its job's owner estimated.
    fn ends_within(&self, task: &TaskId, limit: Micros, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(since) = job.placement(task.index).and_then(|p| p.running_since) else {
            return false;
        };
        let expected = Micros::from_secs_f64(job.spec.expected_run_s);
        let remaining = expected.since(now.since(since));
        // Once an estimate is nearly used up or exceeded it says little, so a task is expected to run for at least
        // another quarter of it.
        job.spec.shape == Shape::Array && remaining.max(expected.scaled(1, 4)) <= limit
    }

    fn begin_plan(&self, now: Micros) -> Plan {
        let mut machines_by_zone: BTreeMap<String, usize> = BTreeMap::new();
        for m in self.machines.values() {
            match machines_by_zone.get_mut(&m.zone) {
                Some(n) => *n += 1,
                None => {
                    machines_by_zone.insert(m.zone.clone(), 1);
                }
            }
        }
        let bins = self.incoming_capacity(now);
        Plan {
            index: Index::new(bins.len()),
            bins,
            next_bin: 0,
            added_machines: 0,
            machines_by_zone,
        }
    }

    /// Assigns at least one of `wanted` tasks of a job to a bin with incoming capacity, or else to a machine added to
    /// the plan. Returns `None` if no bin fits and no machine can be added.
    fn plan_tasks(
        &self,
        job: &Job,
        wanted: usize,
        tasks_by_zone: &BTreeMap<String, u32>,
        plan: &mut Plan,
        now: Micros,
    ) -> Option<AssignedTasks> {
        let spec = &job.spec;
        let need = spec.need();
        let zone_fits = |zone: &str| {
            let here = tasks_by_zone.get(zone).copied().unwrap_or(0);
            let elsewhere: u32 = tasks_by_zone.values().sum::<u32>() - here;
            zone_allows(job, zone, here, None) && !(spec.together && elsewhere > 0)
        };
        // Jobs with a deadline, or with a start objective too short for provisioning, do not wait for other tasks to
        // end. Latency-sensitive jobs do: tasks that end within a third of a provisioning time make their resources
        // available before a new machine would be ready.
        let may_wait_for_tasks = spec.due_s.is_none() && self.has_time_for_provisioning(spec)
            || self.is_latency_sensitive(spec);
        let on_demand_only = !spec.spot || job.lost_work_on_spot;
        let kind = Kind::of(may_wait_for_tasks, on_demand_only);
        // A bin that can't hold one task of a job can't hold the next one either.
        while let Some(i) = plan.first_from(plan.next_bin, kind, &need) {
            self.count_steps(1);
            plan.next_bin = i;
            let bin = &plan.bins[i];
            let zone = bin.pool.zone.clone();
            let tasks = bin.capacity_for(&need, wanted);
            if tasks > 0
                && job.allows(&bin.pool.machine_type, &zone, bin.pool.spot)
                && zone_fits(&zone)
            {
                plan.fill(i, &need, tasks);
                return Some(AssignedTasks { zone, tasks });
            }
            plan.next_bin = i + 1;
        }
        if plan.added_machines >= self.config.max_scale_out_per_cycle {
            return None;
        }
        let (pool, total) = self.choose_pool(job, plan, now, zone_fits)?;
        let zone = pool.zone.clone();
        plan.added_machines += 1;
        *plan.machines_by_zone.entry(zone.clone()).or_default() += 1;
        let bin = Bin::provisioned(pool, total, true);
        let tasks = bin.capacity_for(&need, wanted).max(1);
        let i = plan.add(bin);
        plan.fill(i, &need, tasks);
        Some(AssignedTasks { zone, tasks })
    }

    /// Returns whether the start objective of the job's class is longer than twice the longest provisioning time. True
    /// if the class has none.
    fn has_time_for_provisioning(&self, spec: &JobSpec) -> bool {
        let provisioning_time = self
            .machine_types
            .values()
            .map(MachineType::provisioning_time)
            .max();
        let start_objective = self.config.max_start_delay.get(&spec.class);
        start_objective.is_none_or(|max| provisioning_time.is_some_and(|t| *max > t.scaled(2, 1)))
    }

    /// Returns the pool with the lowest price per task of a job, and the resources of its machines. Among pools of
    /// equal price, the one in the zone with the fewest machines is chosen. Zones that are unreachable or where
    /// provisioning is slow come last.
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
            let total = machine_type.resources();
            let places = total.count_fitting(&need).min(1_000);
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
                        || self
                            .fleet
                            .backoff_until
                            .get(&pool)
                            .is_some_and(|t| *t > now)
                    {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    let machines_in_zone = plan.machines_by_zone.get(zone).copied().unwrap_or(0);
                    let is_impaired = self.failure_detector.is_zone_unreachable(zone)
                        || self.provisioning_times.is_slow(zone);
                    let rank = (is_impaired, price / places as f64, machines_in_zone);
                    if best.as_ref().is_none_or(|(r, _, _)| rank < *r) {
                        best = Some((rank, pool, total));
                    }
                }
            }
        }
        best.map(|(_, pool, total)| (pool, total))
    }
}
