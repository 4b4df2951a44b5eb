//! The fleet: what to provision for tasks that no machine took, and what to terminate.

use super::events::SchedulerEvent;
use super::job_spec::{JobSpec, Shape};
use super::machine::{Machine, MachineState};
use super::machine_type::MachineType;
use super::reserve::Reserve;
use super::{Scheduler, live_tasks};
use crate::cloud_types::{Listed, ListedStatus};
use crate::ids::{MachineId, TaskId};
use crate::units::{Micros, Resources};
use ravenhead_recovery::Resolution;
use std::collections::{BTreeMap, HashSet};

/// How long a pool that had no capacity is not asked again.
const POOL_PAUSE: Micros = Micros::secs(20);
/// The cloud charges at least so much for a machine that is terminated.
const MIN_CHARGE: Micros = Micros::secs(60);
/// Names kept of terminated machines, which late heartbeats and lists may still mention. One that was dropped and is
/// mentioned again is only terminated again.
const MAX_REMEMBERED_TERMINATED: usize = 20_000;

/// Machines of one type, zone and kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    /// The type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot.
    pub spot: bool,
}

/// Machines to provision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// From where.
    pub pool: Pool,
    /// How many.
    pub count: usize,
}

/// What is to be done with the fleet now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetPlan {
    /// To provision.
    pub provision: Vec<ScaleOutRequest>,
    /// To terminate.
    pub terminate: Vec<MachineId>,
}

/// The state of provisioning requests.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Whether the machine list was read in this term.
    pub(super) listed: bool,
    /// Requests without an answer yet.
    pub(super) in_flight_requests: Vec<ScaleOutRequest>,
    /// Pools without capacity, and until when they are not asked again.
    pub(super) paused: BTreeMap<Pool, Micros>,
}

impl Scheduler {
    /// What to provision and terminate. `unix_time` is the time of day in microseconds.
    pub fn plan_fleet(&mut self, now: Micros, unix_time: u64) -> FleetPlan {
        self.unix_time = unix_time;
        self.mark_unreachable(now);
        self.plan_redirects(now);
        self.terminate_lost(now);
        self.report_recovery(now);
        self.overdue_cancels(unix_time);
        self.observe_demand(now);
        if self.is_rebuilding() {
            // What waits may run already, and what stands empty may be needed.
            return FleetPlan {
                provision: Vec::new(),
                terminate: self.terminating_machines(),
            };
        }
        let reserve = self.reserve(unix_time);
        self.plan_consolidation(reserve.as_ref(), now);
        self.scale_in_idle(reserve.as_ref(), now);
        FleetPlan {
            provision: self.plan_scale_out(reserve, now),
            terminate: self.terminating_machines(),
        }
    }

    /// The machines to terminate.
    fn terminating_machines(&self) -> Vec<MachineId> {
        let terminating_machines = self
            .machines
            .iter()
            .filter(|(_, m)| m.state == MachineState::Terminating);
        terminating_machines.map(|(id, _)| id.clone()).collect()
    }

    /// Takes in a machine's type, zone and kind, and moves its tasks' zone counts along.
    pub(super) fn observe_machine(
        &mut self,
        id: &MachineId,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) {
        let total = self
            .machine_types
            .get(machine_type)
            .map(MachineType::resources);
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::unknown(now));
        if m.machine_type == machine_type
            && m.zone == zone
            && m.spot == spot
            && m.total != Resources::default()
        {
            return;
        }
        m.machine_type = machine_type.to_owned();
        m.spot = spot;
        m.total = total.unwrap_or_default();
        let before = std::mem::replace(&mut m.zone, zone.to_owned());
        if before == zone {
            return;
        }
        for task in m.reserved.keys() {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if let Some(n) = job.live_by_zone.get_mut(&before) {
                    *n = n.saturating_sub(1);
                }
                *job.live_by_zone.entry(zone.to_owned()).or_default() += 1;
            }
        }
    }

    /// Machines that were provisioned so long ago, by this leader or an earlier one, which the list may not show yet.
    ///
    /// Guards against a new leader that counts on machines which the earlier one terminated meanwhile, as if they were just
    /// about to boot.
    pub fn inherit_provisioned(
        &mut self,
        pool: &Pool,
        machines: &[MachineId],
        age: Micros,
        now: Micros,
    ) {
        for id in machines {
            if self.terminated.contains(id) {
                continue;
            }
            let known = self.machines.contains_key(id);
            self.observe_machine(id, &pool.machine_type, &pool.zone, pool.spot, now);
            if let Some(m) = self.machines.get_mut(id).filter(|_| !known) {
                m.since = now.since(age);
            }
        }
    }

    /// A provisioning request is on its way.
    pub fn on_scale_out_started(&mut self, request: &ScaleOutRequest) {
        self.fleet.in_flight_requests.push(request.clone());
    }

    /// A provisioning request was answered: the machines, or none where it failed.
    pub fn on_scale_out_completed(
        &mut self,
        request: &ScaleOutRequest,
        machines: &[MachineId],
        now: Micros,
    ) {
        if let Some(i) = self
            .fleet
            .in_flight_requests
            .iter()
            .position(|w| w == request)
        {
            self.fleet.in_flight_requests.swap_remove(i);
        }
        if machines.len() < request.count {
            self.fleet
                .paused
                .insert(request.pool.clone(), now + POOL_PAUSE);
        }
        self.inherit_provisioned(&request.pool, machines, Micros::ZERO, now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.is_provisioned_by_this_term = true;
            }
        }
    }

    /// The cloud confirmed that these machines are gone, with everything on them.
    pub fn on_terminated(&mut self, machines: &[MachineId], now: Micros) {
        for id in machines {
            let reserved: Vec<TaskId> = match self.machines.get(id) {
                Some(m) => m.reserved.keys().cloned().collect(),
                None => Vec::new(),
            };
            let spot = self.machines.get(id).is_some_and(|m| m.spot);
            for task in reserved {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    let p = job.placement(task.index);
                    let ran = p.is_some_and(|p| p.running_since.is_some());
                    job.lost_work_on_spot |= spot && ran && job.spec.save_grace_s() == 0.0;
                }
                self.confirm(&task, Resolution::MachineReturned);
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
            let removed = self.machines.remove(id);
            let known = self.known_images.remove(id).is_some();
            if known || removed.is_some_and(|m| !m.written_images.is_empty()) {
                self.unwritten_images.insert(id.clone());
            }
            if self.terminated.insert(id.clone()) {
                self.terminated_order.push_back(id.clone());
            }
            if self.terminated_order.len() > MAX_REMEMBERED_TERMINATED
                && let Some(old) = self.terminated_order.pop_front()
            {
                self.terminated.remove(&old);
            }
        }
    }

    /// Takes in the machine list, which lags, and of which the first page was requested at this time.
    pub fn on_list(&mut self, list: &[Listed], asked_at: Micros) {
        let lag = self.config.list_lag;
        self.fleet.listed = true;
        self.observe_machine_list_in_rebuild(asked_at);
        let mut listed = HashSet::new();
        for entry in list {
            listed.insert(&entry.machine);
            if self.terminated.contains(&entry.machine) {
                continue;
            }
            let known = self.machines.contains_key(&entry.machine);
            self.observe_machine(
                &entry.machine,
                &entry.machine_type,
                &entry.zone,
                entry.spot,
                asked_at,
            );
            let Some(m) = self.machines.get_mut(&entry.machine) else {
                continue;
            };
            if !known {
                m.since = asked_at.since(Micros::from_secs_f64(entry.age_s));
            }
            m.first_listed_at.get_or_insert(asked_at);
            m.listed_running = entry.status == ListedStatus::Running;
            if entry.status == ListedStatus::Failed && !m.lost {
                m.lost = true;
            }
        }
        for (id, m) in &mut self.machines {
            // A list may be older than the one before it, by twice the lag at most: only what is older than that
            // can be missed for being gone.
            let old = asked_at.since(m.since) > lag.scaled(3, 1) + Micros::secs(1);
            // Guards against a new leader that counts on what the one before provisioned and terminated, and takes these machines
            // for late boots: those that are there are listed by now.
            let never_came = m.newest.is_none() && !m.is_provisioned_by_this_term;
            if (m.first_listed_at.is_some() || never_came) && old && !listed.contains(id) {
                m.lost = true;
            }
        }
    }

    /// Terminates machines that did not hear of a cancellation in time, together with the cancelled task.
    pub fn overdue_cancels(&mut self, unix_time: u64) -> Vec<MachineId> {
        let patience = self.config.cancellation_timeout.scaled(3, 5).0;
        let mut overdue = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(end) = job.end else { continue };
            if job.live > 0 && unix_time > end.at.saturating_add(patience) {
                overdue
                    .extend(live_tasks(job).map(|(_, p)| (p.machine.clone(), job.spec.id.clone())));
            }
        }
        for (id, job) in &overdue {
            if let Some(m) = self.machines.get_mut(id)
                && m.state != MachineState::Terminating
            {
                m.state = MachineState::Terminating;
                self.events.push(SchedulerEvent::MachineTerminating {
                    machine: id.clone(),
                    job: job.clone(),
                });
            }
        }
        overdue.into_keys().collect()
    }

    /// Terminates machines that were idle long enough, the highest ids first, down to the reserve.
    fn scale_in_idle(&mut self, reserve: Option<&Reserve>, now: Micros) {
        let mut spare = match reserve {
            Some(reserve) => self
                .free_places(&reserve.template)
                .saturating_sub(reserve.places),
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
                || now.since(m.last_contact) > self.config.heartbeat_interval.scaled(2, 1)
            {
                continue;
            }
            let drained = m.state == MachineState::Draining;
            let stale = m.state == MachineState::Ready
                && now.since(since) >= self.idle_limit(m)
                && now.since(m.since) >= MIN_CHARGE;
            if drained {
                idle.push(id.clone());
            } else if stale {
                let places = reserve.map_or(0, |r| self.places_on(m, &r.template));
                // Ordinary machines are not kept for what spot ones may serve.
                let too_expensive = !m.spot && reserve.is_some_and(|r| r.template.spot);
                if places <= spare || too_expensive {
                    spare = spare.saturating_sub(places);
                    idle.push(id.clone());
                }
            }
        }
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                m.state = MachineState::Terminating;
                self.events.push(SchedulerEvent::MachineIdle {
                    zone: m.zone.clone(),
                    machine: id,
                });
            }
        }
    }

    /// How long an empty machine is kept: a while that is short against booting another, or as long as that takes while
    /// there is latency-sensitive work, for which another would come too late.
    ///
    /// Guards against ordinary machines, at about three times the price, that are kept for work that spot ones may serve.
    fn idle_limit(&self, m: &Machine) -> Micros {
        let boot = self
            .machine_types
            .get(&m.machine_type)
            .map_or(Micros::ZERO, MachineType::boot);
        let kept_ready = self.demand.is_recent_for(m.spot, self.last_event_at);
        self.config
            .idle_timeout
            .unwrap_or(boot.scaled(if kept_ready { 8 } else { 1 }, 8))
    }

    /// Places for such tasks on machines that are up, those included that preemption of lower priorities would free.
    pub(super) fn free_places(&self, spec: &JobSpec) -> usize {
        self.count_steps(self.machines.len());
        self.machines
            .values()
            .filter(|m| m.takes_offers())
            .map(|m| self.places_on(m, spec))
            .sum()
    }

    /// How many such tasks a machine could take.
    pub(super) fn places_on(&self, m: &Machine, spec: &JobSpec) -> usize {
        if !spec.allows(&m.machine_type, &m.zone, m.spot) {
            return 0;
        }
        let mut room = m.free();
        if spec.shape == Shape::Service {
            room += m.reserved_below(spec.priority);
        }
        room.count_of(&spec.need()).min(1_000)
    }
}
