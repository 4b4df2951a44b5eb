//! Fleet management: planning of machines to provision and to terminate, and the state of provisioning requests.

use super::events::SchedulerEvent;
use super::job_spec::{JobSpec, Shape};
use super::machine::{Machine, MachineState};
use super::machine_type::MachineType;
use super::reserve::Reserve;
use super::{Scheduler, live_tasks};
use crate::cloud_types::{ListedMachine, ListedStatus};
use crate::ids::{MachineId, TaskId};
use crate::units::{Micros, Resources};
use ravenhead_recovery::Resolution;
use std::collections::{BTreeMap, HashSet};

/// How long no machines are requested from a pool after it has run out of capacity.
const POOL_BACKOFF: Micros = Micros::secs(20);
/// Minimum time that the cloud bills for a machine.
const MIN_BILLED_TIME: Micros = Micros::secs(60);
/// Maximum number of terminated machines whose ids are kept, because late heartbeats and machine lists may still
/// contain them. If the id of one that is no longer kept appears again, that machine is just terminated again.
const MAX_REMEMBERED_TERMINATED: usize = 20_000;

/// The machines of one machine type, in one zone, that are all spot or all on-demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether they are spot machines rather than on-demand ones.
    pub spot: bool,
}

/// A request to provision machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// Pool to provision them from.
    pub pool: Pool,
    /// Number of machines.
    pub count: usize,
}

/// The machines to provision and to terminate.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetPlan {
    /// Machines to provision, at most one request per pool.
    pub provision: Vec<ScaleOutRequest>,
    /// Machines to terminate, including those whose termination is not confirmed yet.
    pub terminate: Vec<MachineId>,
}

/// The state of provisioning requests.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Whether a machine list has been read in this leader term.
    pub(super) is_list_read: bool,
    /// Requests that the cloud has not answered yet.
    pub(super) in_flight_requests: Vec<ScaleOutRequest>,
    /// Pools that ran out of capacity, with the time until which no machines are requested from them.
    pub(super) backoff_until: BTreeMap<Pool, Micros>,
}

impl Scheduler {
    /// Returns the machines to provision and terminate. `unix_time` is the Unix time in microseconds.
    pub fn plan_fleet(&mut self, now: Micros, unix_time: u64) -> FleetPlan {
        self.unix_time = unix_time;
        self.mark_unreachable(now);
        self.plan_redirects(now);
        self.terminate_lost(now);
        self.report_recovery(now);
        self.terminate_overdue_cancellations(unix_time);
        self.observe_demand(now);
        if self.is_rebuilding() {
            // Tasks that seem to wait may already be running, and machines that seem idle may be needed.
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

    /// Returns the machines in the state [`MachineState::Terminating`], in the order of their ids.
    fn terminating_machines(&self) -> Vec<MachineId> {
        let terminating = self
            .machines
            .iter()
            .filter(|(_, m)| m.state == MachineState::Terminating);
        terminating.map(|(id, _)| id.clone()).collect()
    }

    /// Records a machine's type, its zone and whether it is a spot machine. If its zone changes, its tasks move to the
    /// new zone in their jobs' counts by zone.
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
        let old_zone = std::mem::replace(&mut m.zone, zone.to_owned());
        if old_zone == zone {
            return;
        }
        for task in m.reserved.keys() {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if let Some(n) = job.live_by_zone.get_mut(&old_zone) {
                    *n = n.saturating_sub(1);
                }
                *job.live_by_zone.entry(zone.to_owned()).or_default() += 1;
            }
        }
    }

    /// Records machines that this leader or an earlier one provisioned, which the machine list may not show yet. `age`
    /// is the time since they were provisioned.
    ///
    /// Machines that are known to be terminated are skipped. Without this, a new leader would count machines that the
    /// earlier one has terminated as incoming capacity.
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
            let was_known = self.machines.contains_key(id);
            self.observe_machine(id, &pool.machine_type, &pool.zone, pool.spot, now);
            if let Some(m) = self.machines.get_mut(id).filter(|_| !was_known) {
                m.provisioned_at = now.since(age);
            }
        }
    }

    /// Records that a provisioning request is being sent to the cloud.
    pub fn on_scale_out_started(&mut self, request: &ScaleOutRequest) {
        self.fleet.in_flight_requests.push(request.clone());
    }

    /// Records the answer to a provisioning request: the machines provisioned, none if the request failed. If they are
    /// fewer than requested, no more machines are requested from the pool for a while.
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
            .position(|r| r == request)
        {
            self.fleet.in_flight_requests.swap_remove(i);
        }
        if machines.len() < request.count {
            self.fleet
                .backoff_until
                .insert(request.pool.clone(), now + POOL_BACKOFF);
        }
        self.inherit_provisioned(&request.pool, machines, Micros::ZERO, now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.is_provisioned_by_this_term = true;
            }
        }
    }

    /// Removes machines whose termination the cloud has confirmed, and requeues the tasks placed on them.
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
                self.confirm(&task, Resolution::MachineTerminated);
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
            let removed = self.machines.remove(id);
            let had_images = self.known_images.remove(id).is_some();
            if had_images || removed.is_some_and(|m| !m.written_images.is_empty()) {
                self.unwritten_images.insert(id.clone());
            }
            if self.terminated.insert(id.clone()) {
                self.terminated_order.push_back(id.clone());
            }
            if self.terminated_order.len() > MAX_REMEMBERED_TERMINATED
                && let Some(oldest) = self.terminated_order.pop_front()
            {
                self.terminated.remove(&oldest);
            }
        }
    }

    /// Records a machine list. `requested_at` is the time when its first page was requested; the list may be out of
    /// date by the configured lag.
    pub fn on_list(&mut self, list: &[ListedMachine], requested_at: Micros) {
        let lag = self.config.list_lag;
        self.fleet.is_list_read = true;
        self.observe_machine_list_in_rebuild(requested_at);
        let mut listed = HashSet::new();
        for entry in list {
            listed.insert(&entry.machine);
            if self.terminated.contains(&entry.machine) {
                continue;
            }
            let was_known = self.machines.contains_key(&entry.machine);
            self.observe_machine(
                &entry.machine,
                &entry.machine_type,
                &entry.zone,
                entry.spot,
                requested_at,
            );
            let Some(m) = self.machines.get_mut(&entry.machine) else {
                continue;
            };
            if !was_known {
                m.provisioned_at = requested_at.since(Micros::from_secs_f64(entry.age_s));
            }
            m.first_listed_at.get_or_insert(requested_at);
            m.listed_running = entry.status == ListedStatus::Running;
            if entry.status == ListedStatus::Failed && !m.is_gone {
                m.is_gone = true;
            }
        }
        for (id, m) in &mut self.machines {
            // A list may be older than the one before it, by at most twice the lag. A machine that the list does not
            // contain is known to be gone only if it is older than that, with a margin.
            let is_old_enough =
                requested_at.since(m.provisioned_at) > lag.scaled(3, 1) + Micros::secs(1);
            // Without this, a new leader would take machines that the earlier one provisioned and terminated for
            // machines that are slow to provision. Those that still exist are listed by this age.
            let never_reported = m.newest_heartbeat.is_none() && !m.is_provisioned_by_this_term;
            if (m.first_listed_at.is_some() || never_reported)
                && is_old_enough
                && !listed.contains(id)
            {
                m.is_gone = true;
            }
        }
    }

    /// Marks machines for termination that still have tasks of a cancelled job when three fifths of the time within
    /// which they must stop have passed. Returns these machines, including those marked before.
    pub fn terminate_overdue_cancellations(&mut self, unix_time: u64) -> Vec<MachineId> {
        let timeout_us = self.config.cancellation_timeout.scaled(3, 5).0;
        let mut overdue = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(end) = job.end else { continue };
            if job.live > 0 && unix_time > end.at.saturating_add(timeout_us) {
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

    /// Marks drained machines for termination, and machines that were idle long enough unless the reserve needs their
    /// free places. Considers on-demand machines before spot machines, and higher ids before lower ones.
    fn scale_in_idle(&mut self, reserve: Option<&Reserve>, now: Micros) {
        let mut surplus_places = match reserve {
            Some(reserve) => self
                .free_places(&reserve.template)
                .saturating_sub(reserve.places),
            None => usize::MAX,
        };
        let mut idle = Vec::new();
        // On-demand machines come first, as they cost about three times as much as spot machines.
        let mut machines: Vec<(&MachineId, &Machine)> = self.machines.iter().rev().collect();
        machines.sort_by_key(|(_, m)| m.spot);
        for (id, m) in machines {
            let Some(since) = m.idle_since else { continue };
            // The results of exited tasks must be stored before the machine is terminated.
            if !m.is_empty()
                || !m.exited.clearable().is_empty()
                || now.since(m.last_contact) > self.config.heartbeat_interval.scaled(2, 1)
            {
                continue;
            }
            let is_drained = m.state == MachineState::Draining;
            let is_idle_too_long = m.state == MachineState::Ready
                && now.since(since) >= self.idle_limit(m)
                && now.since(m.provisioned_at) >= MIN_BILLED_TIME;
            if is_drained {
                idle.push(id.clone());
            } else if is_idle_too_long {
                let places = reserve.map_or(0, |r| self.places_on(m, &r.template));
                // On-demand machines are not kept for work that may run on spot machines.
                let is_too_expensive = !m.spot && reserve.is_some_and(|r| r.template.spot);
                if places <= surplus_places || is_too_expensive {
                    surplus_places = surplus_places.saturating_sub(places);
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

    /// Returns how long an idle machine is kept. Unless configured, this is an eighth of its provisioning time, or all
    /// of it after recent latency-sensitive work that could use the machine, for which a new machine would come too
    /// late.
    ///
    /// The demand is counted separately for spot and on-demand machines. Otherwise on-demand machines, at about three
    /// times the price, would be kept for work that may run on spot machines.
    fn idle_limit(&self, m: &Machine) -> Micros {
        let provisioning_time = self
            .machine_types
            .get(&m.machine_type)
            .map_or(Micros::ZERO, MachineType::provisioning_time);
        let has_recent_demand = self.demand.is_recent_for(m.spot, self.last_event_at);
        self.config
            .idle_timeout
            .unwrap_or(provisioning_time.scaled(if has_recent_demand { 8 } else { 1 }, 8))
    }

    /// Returns the number of tasks of a job that would fit on the machines that accept offers. For a service, resources
    /// that preemption of tasks of lower priority would free are included.
    pub(super) fn free_places(&self, spec: &JobSpec) -> usize {
        self.count_steps(self.machines.len());
        self.machines
            .values()
            .filter(|m| m.accepts_offers())
            .map(|m| self.places_on(m, spec))
            .sum()
    }

    /// Returns the number of tasks of a job that would fit on a machine, at most 1000. It is zero if the job may not
    /// use the machine's pool.
    pub(super) fn places_on(&self, m: &Machine, spec: &JobSpec) -> usize {
        if !spec.allows(&m.machine_type, &m.zone, m.spot) {
            return 0;
        }
        let mut available = m.free();
        if spec.shape == Shape::Service {
            available += m.reserved_below(spec.priority);
        }
        available.count_fitting(&spec.need()).min(1_000)
    }
}
