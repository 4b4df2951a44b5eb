//! Checks the protocol's invariants against what happens in a simulated cluster.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Pool of a machine, which the placement constraints of jobs are checked against.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A job as its user and the invariant checker know it.
#[derive(Debug, Default, Clone)]
pub struct TrackedJob {
    /// Submitted specification.
    pub spec: Value,
    /// Time in microseconds at which a response first confirmed the job. `None` before that.
    pub accepted_at: Option<u64>,
    /// Whether a user has requested its cancellation.
    pub cancel_requested: bool,
    /// First final state that a response reported, and when.
    pub final_state: Option<(String, u64)>,
    /// Indexes of the tasks that completed.
    pub completed: BTreeSet<u32>,
}

/// A task: the job's name and the task's index.
type TaskKey = (String, u32);

/// Records what happens to users, workers and machines, and which invariants this violates.
///
/// The rule names are those of the published specification: `ran_twice`, `quota`, `wrong_place`, `ran_cancelled`,
/// `forgotten`, `invented`, `not_done` and `went_back`, and `nothing_ran` for a scenario in which no task started. Two
/// stricter ones are this suite's own: `aborted_too_early` if a response confirms a cancellation while a task of the job
/// is on a machine, and `started_after_cancel` if a task starts at any time after the confirmation.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Time in microseconds within which tasks of a cancelled job must stop.
    cancel_deadline: u64,
    /// Limit of accelerators by team.
    limits: BTreeMap<String, f64>,
    /// All submitted jobs by name.
    pub jobs: BTreeMap<String, TrackedJob>,
    /// Running tasks with their machine and its pool.
    running_on: BTreeMap<TaskKey, (String, Pool)>,
    /// Jobs whose cancellation a response has confirmed.
    cancelled: BTreeSet<String>,
    /// Whether stored state was lost. Tasks may then run that no record has, so that a cancellation may be confirmed
    /// before they are stopped; the deadline of cancellations holds all the same.
    pub is_state_lost: bool,
    /// Violated invariants, each as the rule's name, the time in seconds and the details, without duplicates.
    pub violations: Vec<String>,
    /// All recorded events in order.
    pub event_log: Vec<String>,
    /// Number of task starts.
    pub starts: usize,
}

impl InvariantChecker {
    /// Creates a checker with the cancellation deadline in seconds and the accelerator limits of teams.
    pub fn new(cancel_s: f64, limits: &[(&str, f64)]) -> InvariantChecker {
        let limits = limits
            .iter()
            .map(|(team, limit)| ((*team).to_owned(), *limit));
        InvariantChecker {
            cancel_deadline: (cancel_s * 1e6) as u64,
            limits: limits.collect(),
            ..InvariantChecker::default()
        }
    }

    fn record_violation(&mut self, now: u64, rule: &str, details: String) {
        let line = format!("{rule} at {:.3}: {details}", now as f64 / 1e6);
        if !self.violations.contains(&line) {
            self.violations.push(line);
        }
    }

    fn log_event(&mut self, now: u64, details: String) {
        self.event_log.push(format!("{now} {details}"));
    }

    /// Records that a user submits a job, possibly not for the first time.
    pub fn record_submission(&mut self, spec: &Value) {
        let id = spec["nameId"].as_str().expect("a job name").to_owned();
        self.jobs.entry(id).or_default().spec = spec.clone();
    }

    /// Records that a user requests the cancellation of a job.
    pub fn record_cancel_request(&mut self, now: u64, id: &str) {
        self.log_event(now, format!("cancel {id}"));
        self.jobs.entry(id.to_owned()).or_default().cancel_requested = true;
    }

    /// Records and checks a response to a user's request, which was sent at `since`. `request` is its kind, which may be
    /// followed by `@` and the controller.
    pub fn record_response(
        &mut self,
        now: u64,
        since: u64,
        request: &str,
        id: &str,
        status: u16,
        state: &str,
    ) {
        self.log_event(now, format!("{request} {id}: {status} {state}"));
        let Some(job) = self.jobs.get_mut(id) else {
            if status == 200 || status == 201 {
                self.record_violation(now, "invented", id.to_owned());
            }
            return;
        };
        let is_submission = request.split('@').next() == Some("submit");
        let was_accepted = job.accepted_at.is_some_and(|at| at <= since);
        if status == 404 && !is_submission && was_accepted {
            self.record_violation(now, "forgotten", format!("{request} {id}: 404"));
            return;
        }
        if (status == 400 || status == 422) && is_submission && was_accepted {
            self.record_violation(now, "forgotten", format!("submit {id}: {status}"));
            return;
        }
        if status != 200 && status != 201 {
            return;
        }
        job.accepted_at.get_or_insert(now);
        let tasks = job.spec["takes"].as_u64().unwrap_or(0) as usize;
        let (completed, cancel_requested) = (job.completed.len(), job.cancel_requested);
        let known = job.final_state.clone();
        match (&known, state) {
            (Some((end, at)), state) if end != state && *at <= since => {
                self.record_violation(now, "went_back", format!("{id}: {end}, then {state}"));
            }
            (None, "done" | "aborted") => {
                job.final_state = Some((state.to_owned(), now));
                if state == "aborted" {
                    self.cancelled.insert(id.to_owned());
                    self.check_tasks_gone(now, id);
                }
                if state == "done" && completed < tasks {
                    self.record_violation(now, "not_done", format!("{id}: {completed} of {tasks}"));
                }
                if state == "aborted" && !cancel_requested {
                    self.record_violation(now, "went_back", format!("{id}: no user cancelled it"));
                }
            }
            _ => {}
        }
    }

    /// Records and checks that a task starts on a machine, once its image is fetched.
    pub fn record_start(&mut self, now: u64, id: &str, index: u32, machine: &str, pool: &Pool) {
        self.log_event(now, format!("start {id}/{index} on {machine}"));
        self.starts += 1;
        let key = (id.to_owned(), index);
        if let Some((other, _)) = self.running_on.get(&key)
            && other != machine
        {
            let details = format!("{id}/{index} on {other} and {machine}");
            self.record_violation(now, "ran_twice", details);
        }
        let Some(job) = self.jobs.get(id).cloned() else {
            self.record_violation(now, "invented", format!("{id} started"));
            return;
        };
        if let Some((end, at)) = &job.final_state
            && end == "aborted"
        {
            self.record_violation(now, "started_after_cancel", format!("{id}/{index}"));
            if now > at + self.cancel_deadline {
                self.record_violation(now, "ran_cancelled", format!("{id}/{index} started"));
            }
        }
        self.running_on
            .insert(key, (machine.to_owned(), pool.clone()));
        self.check_placement(now, id, &job.spec, machine, pool);
        self.check_quota(now, job.spec["crew"].as_str().unwrap_or_default());
    }

    fn check_placement(&mut self, now: u64, id: &str, spec: &Value, machine: &str, pool: &Pool) {
        let allowed = |field: &str, has: &str| match &spec[field] {
            Value::Array(all) => all.iter().any(|v| v == has),
            Value::String(one) => one == has,
            _ => true,
        };
        let zones: Vec<&str> = self
            .tasks_of(id)
            .map(|(_, (_, p))| p.zone.as_str())
            .collect();
        let here = zones.iter().filter(|z| **z == pool.zone).count();
        let tasks = spec["takes"].as_u64().unwrap_or(0) as usize;
        let allowed_here = allowed("rigs", &pool.machine_type)
            && allowed("yard", &pool.zone)
            && (spec["loaners"] == true || !pool.spot)
            && (spec["together"] != true || here == zones.len())
            && (spec["spread"] != true || here <= tasks.div_ceil(2));
        if !allowed_here {
            self.record_violation(now, "wrong_place", format!("{id} on {machine}"));
        }
    }

    /// Returns the running tasks of a job.
    fn tasks_of(&self, id: &str) -> impl Iterator<Item = (&TaskKey, &(String, Pool))> {
        let range = (id.to_owned(), 0)..=(id.to_owned(), u32::MAX);
        self.running_on.range(range)
    }

    fn check_quota(&mut self, now: u64, team: &str) {
        let limit = self.limits.get(team).copied().unwrap_or(0.0);
        if limit <= 0.0 {
            return;
        }
        let used: f64 = self
            .running_on
            .keys()
            .filter_map(|(id, _)| self.jobs.get(id))
            .filter(|j| j.spec["crew"] == team)
            .map(|j| j.spec["cards"].as_f64().unwrap_or(0.0))
            .sum();
        if used > limit + 1e-9 {
            self.record_violation(now, "quota", format!("{team}: {used} of {limit}"));
        }
    }

    /// Records that a task has ended on its machine, completed or stopped.
    pub fn record_end(&mut self, now: u64, id: &str, index: u32, machine: &str, completed: bool) {
        self.log_event(
            now,
            format!("end {id}/{index} on {machine} done={completed}"),
        );
        let key = (id.to_owned(), index);
        if self.running_on.get(&key).is_some_and(|(m, _)| m == machine) {
            self.running_on.remove(&key);
        }
        if let Some(job) = self.jobs.get_mut(id).filter(|_| completed) {
            job.completed.insert(index);
        }
    }

    /// Records that a machine was terminated together with its tasks.
    pub fn record_machine_loss(&mut self, now: u64, machine: &str) {
        self.log_event(now, format!("terminated {machine}"));
        self.running_on.retain(|_, (m, _)| m != machine);
    }

    /// Checks that no task of a job whose cancellation is being confirmed is on a machine.
    fn check_tasks_gone(&mut self, now: u64, id: &str) {
        let machines = self.machines_of(id);
        if !machines.is_empty() && !self.is_state_lost {
            let details = format!("{id} has tasks on {}", machines.join(", "));
            self.record_violation(now, "aborted_too_early", details);
        }
    }

    /// Checks that no task of a cancelled job runs past the cancellation deadline.
    pub fn check_deadlines(&mut self, now: u64) {
        let overdue = self.cancelled.iter().filter(|id| {
            let end = self.jobs.get(*id).and_then(|j| j.final_state.as_ref());
            end.is_some_and(|(_, at)| now > at + self.cancel_deadline)
        });
        let running = overdue.flat_map(|id| self.tasks_of(id));
        let late: Vec<String> = running
            .map(|((id, index), (machine, _))| format!("{id}/{index} on {machine}"))
            .collect();
        for details in late {
            self.record_violation(now, "ran_cancelled", details);
        }
    }

    /// Returns all running tasks and their machines.
    pub fn all_running(&self) -> Vec<String> {
        let tasks = self.running_on.iter();
        tasks
            .map(|((id, index), (machine, _))| format!("{id}/{index} on {machine}"))
            .collect()
    }

    /// Returns the number of running tasks of a job.
    pub fn running(&self, id: &str) -> usize {
        self.tasks_of(id).count()
    }

    /// Returns the number of tasks that run on a machine.
    pub fn tasks_on(&self, machine: &str) -> usize {
        self.running_on
            .values()
            .filter(|(m, _)| m == machine)
            .count()
    }

    /// Returns the machines on which tasks of a job run.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let names: BTreeSet<String> = self.tasks_of(id).map(|(_, (m, _))| m.clone()).collect();
        names.into_iter().collect()
    }
}
