//! A simulated worker: it sends heartbeats, executes commands, runs tasks and renews its lease.

use super::super::invariants::Pool;
use super::super::sim::with_timeout;
use super::{TaskRun, World, machine_host, public_addr};
use event_listener::Event;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl World {
    pub(super) async fn worker(self: Rc<Self>, name: String, pool: Pool) {
        let worker = Rc::new(Worker {
            name,
            pool,
            agent_epoch: Cell::new(1),
            sequence_number: Cell::new(0),
            token: Cell::new(0),
            renewed_at: Cell::new(self.sim.now()),
            tasks: RefCell::default(),
            results: RefCell::default(),
            images: RefCell::default(),
            notice_s: Cell::new(None),
            changed: Event::new(),
            total_pause: Cell::new(0),
        });
        let running = worker.clone();
        self.workers
            .borrow_mut()
            .insert(worker.name.clone(), running);
        let heartbeats = self.send_heartbeats(&worker);
        futures_lite::future::or(heartbeats, self.run_tasks(&worker)).await;
    }

    /// Advances the tasks, and kills them once the lease has expired.
    async fn run_tasks(&self, worker: &Worker) {
        loop {
            let changed = worker.changed.listen();
            let next = self.next_change(worker);
            let wait = next.saturating_sub(self.sim.now()) as f64 / 1e6;
            with_timeout(&self.sim, wait, changed).await;
            self.postpone_after_pause(worker);
            if self.sim.now() > self.lease_expires_at(worker) {
                self.expire_lease(worker);
            } else {
                self.advance_tasks(worker);
            }
        }
    }

    /// Returns the time at which the next task changes state or the lease expires.
    fn next_change(&self, worker: &Worker) -> u64 {
        let tasks = worker.tasks.borrow();
        let next_task_change = tasks.values().map(|run| run.next_change_at).min();
        next_task_change
            .unwrap_or(u64::MAX)
            .min(self.lease_expires_at(worker) + 1)
    }

    fn lease_expires_at(&self, worker: &Worker) -> u64 {
        worker.renewed_at.get() + (self.deployment.lease_s * 1e6) as u64
    }

    /// Postpones state changes of the tasks by the time for which the machine was paused.
    fn postpone_after_pause(&self, worker: &Worker) {
        let total_pause = self.sim.total_pause(machine_host(&worker.name));
        let pause = total_pause - worker.total_pause.replace(total_pause);
        for run in worker.tasks.borrow_mut().values_mut() {
            run.next_change_at = run.next_change_at.saturating_add(pause);
        }
    }

    fn expire_lease(&self, worker: &Worker) {
        self.expired_leases.set(self.expired_leases.get() + 1);
        let tasks = std::mem::take(&mut *worker.tasks.borrow_mut());
        for ((task, _), run) in tasks {
            self.record_stop(worker, &task, &run, false);
        }
        worker.agent_epoch.set(worker.agent_epoch.get() + 1);
        worker.renewed_at.set(self.sim.now());
        worker.changed.notify(usize::MAX);
    }

    fn advance_tasks(&self, worker: &Worker) {
        let now = self.sim.now();
        for ((task, _), run) in worker.tasks.borrow_mut().iter_mut() {
            if run.next_change_at > now {
                continue;
            }
            let (id, index) = split_task_id(task);
            let mut invariants = self.invariants.borrow_mut();
            if run.state == "pulling" && worker.results.borrow().contains(task) {
                run.exit("done");
            } else if run.state == "pulling" {
                run.state = "running";
                let spec = &invariants.jobs[id].spec;
                run.next_change_at = match spec["shape"].as_str() {
                    Some("standing") => u64::MAX,
                    _ => now + (spec["expectS"].as_f64().expect("a run time") * 1e6) as u64,
                };
                invariants.record_start(now, id, index, &worker.name, &worker.pool);
            } else if run.state == "running" {
                run.exit("done");
                worker.results.borrow_mut().insert(task.clone());
                invariants.record_end(now, id, index, &worker.name, true);
            }
            worker.changed.notify(usize::MAX);
        }
    }

    fn record_stop(&self, worker: &Worker, task: &str, run: &TaskRun, completed: bool) {
        if run.state == "running" {
            let (id, index) = split_task_id(task);
            let now = self.sim.now();
            self.invariants
                .borrow_mut()
                .record_end(now, id, index, &worker.name, completed);
        }
    }

    async fn send_heartbeats(&self, worker: &Worker) {
        let mut node = self.sim.random_below(self.nodes);
        let mut client = Client::new(public_addr(node));
        loop {
            let changed = worker.changed.listen();
            let sent = self.sim.now();
            let agent_epoch = worker.agent_epoch.get();
            worker.sequence_number.set(worker.sequence_number.get() + 1);
            let body = worker.heartbeat();
            self.record_and_duplicate(node, &body);
            let response = client
                .call(
                    Method::Post,
                    "/checkin",
                    Some(body.into_bytes()),
                    Micros::secs(4),
                )
                .await;
            let mut next = (node + 1) % self.nodes;
            match response {
                Ok((200, bytes)) => {
                    let response: Value = serde_json::from_slice(&bytes).expect("JSON");
                    let token = response["warrant"].as_u64().unwrap_or(0);
                    if worker.agent_epoch.get() == agent_epoch && token >= worker.token.get() {
                        worker.token.set(token);
                        worker.renewed_at.set(sent);
                        self.record_commands(worker, sent, &response["orders"]);
                        self.execute(worker, &response["orders"]);
                    }
                    self.sim.sleep(0.5).await;
                    let report_s = self.deployment.report_s;
                    let wait = report_s * (0.75 + 0.5 * self.sim.random()) - 0.5;
                    with_timeout(&self.sim, wait, changed).await;
                    continue;
                }
                Ok((421, bytes)) => {
                    let response: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                    let leader = response["muster"]
                        .as_str()
                        .and_then(|n| n[2..].parse().ok());
                    match leader.filter(|n| *n != node && *n < self.nodes) {
                        Some(leader) => next = leader,
                        None => self.sim.sleep(1.0).await,
                    }
                }
                _ => self.sim.sleep(1.0).await,
            }
            node = next;
            client = Client::new(public_addr(node));
        }
    }

    /// Lets a machine report that the cloud takes it away in `notice_s` seconds.
    pub fn give_preemption_notice(&self, machine: &str, notice_s: f64) {
        let worker = self.workers.borrow()[machine].clone();
        worker.notice_s.set(Some(notice_s));
        worker.changed.notify(usize::MAX);
    }

    /// Records the commands of a response if a scenario requires it.
    fn record_commands(&self, worker: &Worker, reported_at: u64, commands: &Value) {
        if let Some(recorded) = &mut *self.recorded_commands.borrow_mut() {
            recorded.push(RecordedCommands {
                machine: worker.name.clone(),
                agent_epoch: worker.agent_epoch.get(),
                token: worker.token.get(),
                reported_at,
                commands: commands.clone(),
            });
        }
    }

    /// Delivers a copy of commands to their machine now. Returns whether its worker executes it: the machine is there
    /// and not paused, the token is not lower than the highest one received, the agent epoch is the same, and the copy
    /// comes in time for its delivery.
    pub fn deliver_copy(&self, copy: &RecordedCommands, delivery: CopyDelivery) -> bool {
        if !self.running_machines().contains(&copy.machine)
            || self.sim.is_paused(machine_host(&copy.machine))
        {
            return false;
        }
        let worker = self.workers.borrow()[&copy.machine].clone();
        let now = self.sim.now();
        let is_late = now > copy.reported_at + RESPONSE_TIMEOUT_US;
        if worker.agent_epoch.get() != copy.agent_epoch
            || now > self.lease_expires_at(&worker)
            || copy.token < worker.token.get()
            || delivery == CopyDelivery::Response && is_late
        {
            return false;
        }
        worker.token.set(copy.token);
        self.execute(&worker, &copy.commands);
        true
    }

    fn execute(&self, worker: &Worker, commands: &Value) {
        let now = self.sim.now();
        let mut tasks = worker.tasks.borrow_mut();
        for command in commands.as_array().into_iter().flatten() {
            let task = command["take"].as_str().expect("a task id").to_owned();
            let key = (task.clone(), command["try"].as_u64().expect("an attempt"));
            match command["verb"].as_str() {
                Some("run") if !tasks.contains_key(&key) => {
                    let busy = tasks
                        .iter()
                        .any(|((t, _), run)| *t == task && run.state != "exited");
                    let fetch_us = self.fetch_time(worker, &task);
                    let run = if busy {
                        TaskRun {
                            state: "exited",
                            cause: Some("busy"),
                            next_change_at: u64::MAX,
                        }
                    } else {
                        TaskRun {
                            state: "pulling",
                            cause: None,
                            next_change_at: now + fetch_us,
                        }
                    };
                    tasks.insert(key, run);
                    worker.changed.notify(usize::MAX);
                }
                Some("stop") => {
                    if let Some(run) = tasks.get_mut(&key).filter(|r| r.state != "exited") {
                        self.record_stop(worker, &task, run, false);
                        *run = TaskRun {
                            state: "exited",
                            cause: Some("halted"),
                            next_change_at: u64::MAX,
                        };
                        worker.changed.notify(usize::MAX);
                    }
                }
                Some("clear") if tasks.get(&key).is_some_and(|r| r.state == "exited") => {
                    tasks.remove(&key);
                }
                _ => {}
            }
        }
    }

    /// Returns the time in microseconds until a machine has the image of a task.
    fn fetch_time(&self, worker: &Worker, task: &str) -> u64 {
        let (id, _) = split_task_id(task);
        let image = self.invariants.borrow().jobs[id].spec["reel"].to_string();
        let is_cached = !worker.images.borrow_mut().insert(image);
        if is_cached && self.caches_images.get() {
            CACHED_IMAGE_US
        } else {
            IMAGE_FETCH_US
        }
    }

    /// Records a heartbeat if a scenario requires it, and schedules a duplicate of it at random.
    pub(super) fn record_and_duplicate(&self, node: usize, body: &str) {
        if let Some(heartbeats) = &mut *self.recorded_heartbeats.borrow_mut() {
            heartbeats.push(body.to_owned());
        }
        if self.sim.random() < self.duplicate_rate.get() {
            let after_s = 2.0 + self.sim.random() * self.deployment.lease_s * 1.5;
            self.send_duplicate(node, body.to_owned(), after_s);
        }
    }

    /// Delivers a duplicate of a heartbeat to a controller after `after_s` seconds.
    pub fn send_duplicate(&self, node: usize, body: String, after_s: f64) {
        let sim = self.sim.clone();
        self.sim.start(self.sim.next_client(), |_| async move {
            sim.sleep(after_s).await;
            let client = Client::new(public_addr(node));
            let body = Some(body.into_bytes());
            let _ = client
                .call(Method::Post, "/checkin", body, Micros::secs(4))
                .await;
        });
    }
}

/// Time in microseconds to fetch an image.
const IMAGE_FETCH_US: u64 = 800_000;
/// Time in microseconds until a task starts whose image is cached.
const CACHED_IMAGE_US: u64 = 1_000;
/// Time in microseconds after which a worker drops the response to a report.
const RESPONSE_TIMEOUT_US: u64 = 4_000_000;

/// The commands of a response that a worker executed.
#[derive(Debug, Clone)]
pub struct RecordedCommands {
    /// Machine of the worker.
    pub machine: String,
    agent_epoch: u64,
    token: u64,
    reported_at: u64,
    /// Commands in the protocol's form.
    commands: Value,
}

impl RecordedCommands {
    /// Returns the start commands alone, or `None` if there are none.
    pub fn starts(&self) -> Option<RecordedCommands> {
        let all = self.commands.as_array().into_iter().flatten();
        let starts: Vec<Value> = all.filter(|c| c["verb"] == "run").cloned().collect();
        (!starts.is_empty()).then(|| RecordedCommands {
            commands: Value::from(starts),
            ..self.clone()
        })
    }
}

/// How a copy of commands reaches a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyDelivery {
    /// As the response to its report, which the worker drops when it is late.
    Response,
    /// As a message of its own, which the worker executes at any time if token and agent epoch still match.
    Message,
}

pub(super) struct Worker {
    name: String,
    pool: Pool,
    agent_epoch: Cell<u64>,
    sequence_number: Cell<u64>,
    token: Cell<u64>,
    /// Time in microseconds at which the last acknowledged heartbeat was sent.
    renewed_at: Cell<u64>,
    tasks: RefCell<BTreeMap<(String, u64), TaskRun>>,
    /// Completed tasks, whose results are kept.
    results: RefCell<BTreeSet<String>>,
    /// Images that were fetched, as far as a fetch was begun.
    images: RefCell<BTreeSet<String>>,
    /// Seconds until the cloud takes the machine away, as reported.
    notice_s: Cell<Option<f64>>,
    changed: Event,
    /// Total pause of the machine in microseconds that the tasks' times already include.
    total_pause: Cell<u64>,
}

impl Worker {
    fn heartbeat(&self) -> String {
        let tasks = self.tasks.borrow();
        let statuses = tasks.iter().map(|((task, attempt), run)| {
            json!({"take": task, "try": attempt, "status": run.state, "cause": run.cause})
        });
        let statuses: Vec<Value> = statuses.collect();
        json!({"host": self.name, "endpoint": "e", "rig": self.pool.machine_type, "yard": self.pool.zone,
            "loaners": self.pool.spot, "watch": self.agent_epoch.get(), "tally": self.sequence_number.get(),
            "warrant": self.token.get(), "warningS": self.notice_s.get(), "takes": statuses})
        .to_string()
    }
}

fn split_task_id(task: &str) -> (&str, u32) {
    let (id, index) = task.split_once('/').expect("a task id");
    (id, index.parse().expect("a task index"))
}
