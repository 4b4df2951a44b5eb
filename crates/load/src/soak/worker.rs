//! Workers: each sends heartbeats to one controller at a time, executes commands, runs tasks and keeps its lease.

use super::site::{Site, sleep};
use futures_lite::future;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use ravenhead_stand_ins::invariants::Pool;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Mean seconds between two heartbeats.
pub(super) const HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Seconds that a worker's lease lasts.
pub(super) const LEASE_S: f64 = 10.0;
/// Seconds within which tasks of a cancelled job must be gone.
pub(super) const CANCEL_S: f64 = 30.0;
/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Micros = Micros::secs(4);
/// Seconds between two looks at the tasks.
const TICK_S: f64 = 0.05;
/// Least seconds between two heartbeats.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// Seconds to fetch an image.
const IMAGE_FETCH_S: f64 = 0.2;
const MICROS_PER_SECOND: f64 = 1e6;

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskState {
    Fetching,
    Running,
    Exited(&'static str),
}

#[derive(Debug, Clone, Copy)]
struct TaskRun {
    state: TaskState,
    /// Time in microseconds of the next change of state, unless a command comes first.
    next_change_at: u64,
}

/// What keeps a worker from working.
#[derive(Debug, Default)]
pub(super) struct WorkerFaults {
    /// The machine hangs.
    pub(super) paused: Cell<bool>,
    /// Responses do not arrive.
    pub(super) deaf: Cell<bool>,
    /// Heartbeats do not leave the machine.
    pub(super) mute: Cell<bool>,
}

/// A worker on its machine.
pub(super) struct Worker {
    name: String,
    pool: Pool,
    agent_epoch: Cell<u64>,
    sequence_number: Cell<u64>,
    token: Cell<u64>,
    /// Time in microseconds at which the last answered heartbeat was sent.
    renewed_at: Cell<u64>,
    tasks: RefCell<BTreeMap<(String, u64), TaskRun>>,
    results: RefCell<BTreeSet<String>>,
    changed: event_listener::Event,
    pub(super) faults: WorkerFaults,
}

fn split_task_id(task: &str) -> (&str, u32) {
    let (id, index) = task.split_once('/').unwrap_or((task, "0"));
    (id, index.parse().unwrap_or(0))
}

impl Worker {
    pub(super) fn new(name: &str, pool: Pool, now: u64) -> Worker {
        Worker {
            name: name.to_owned(),
            pool,
            agent_epoch: Cell::new(1),
            sequence_number: Cell::new(0),
            token: Cell::new(0),
            renewed_at: Cell::new(now),
            tasks: RefCell::default(),
            results: RefCell::default(),
            changed: event_listener::Event::new(),
            faults: WorkerFaults::default(),
        }
    }

    /// Runs the worker until the returned future is dropped.
    pub(super) async fn run(self: Rc<Worker>, site: Rc<Site>) {
        future::or(self.send_heartbeats(&site), self.run_tasks(&site)).await;
    }

    fn heartbeat(&self) -> Value {
        self.sequence_number.set(self.sequence_number.get() + 1);
        let tasks = self.tasks.borrow();
        let statuses = tasks.iter().map(|((task, attempt), run)| {
            let (state, cause) = match run.state {
                TaskState::Fetching => ("pulling", None),
                TaskState::Running => ("running", None),
                TaskState::Exited(cause) => ("exited", Some(cause)),
            };
            json!({"take": task, "try": attempt, "status": state, "cause": cause})
        });
        let statuses: Vec<Value> = statuses.collect();
        json!({"host": self.name, "endpoint": "e", "rig": self.pool.machine_type, "yard": self.pool.zone,
            "loaners": self.pool.spot, "watch": self.agent_epoch.get(), "tally": self.sequence_number.get(),
            "warrant": self.token.get(), "warningS": null, "takes": statuses})
    }

    async fn run_tasks(&self, site: &Site) {
        let mut paused_since = None;
        loop {
            sleep(TICK_S).await;
            let now = site.now();
            if self.faults.paused.get() {
                paused_since.get_or_insert(now);
                continue;
            }
            if let Some(since) = paused_since.take() {
                self.postpone(now - since);
            }
            let lease_us = (LEASE_S * MICROS_PER_SECOND) as u64;
            if now > self.renewed_at.get() + lease_us {
                self.expire_lease(site);
            } else {
                self.advance_tasks(site);
            }
        }
    }

    /// Postpones the changes of all tasks by the time for which the machine hung.
    fn postpone(&self, pause: u64) {
        for run in self.tasks.borrow_mut().values_mut() {
            run.next_change_at = run.next_change_at.saturating_add(pause);
        }
    }

    fn expire_lease(&self, site: &Site) {
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        for ((task, _), run) in tasks {
            self.record_end(site, &task, run.state, false);
        }
        self.agent_epoch.set(self.agent_epoch.get() + 1);
        self.renewed_at.set(site.now());
        self.changed.notify(usize::MAX);
    }

    fn advance_tasks(&self, site: &Site) {
        let now = site.now();
        for ((task, _), run) in self.tasks.borrow_mut().iter_mut() {
            if run.next_change_at > now {
                continue;
            }
            let (id, index) = split_task_id(task);
            let is_completed = self.results.borrow().contains(task);
            match run.state {
                TaskState::Fetching if is_completed => run.state = TaskState::Exited("done"),
                TaskState::Fetching => {
                    run.state = TaskState::Running;
                    run.next_change_at = now + site.run_time(id);
                    let mut checker = site.checker.borrow_mut();
                    checker.record_start(now, id, index, &self.name, &self.pool);
                }
                TaskState::Running => {
                    self.record_end(site, task, run.state, true);
                    run.state = TaskState::Exited("done");
                    self.results.borrow_mut().insert(task.clone());
                }
                TaskState::Exited(_) => continue,
            }
            self.changed.notify(usize::MAX);
        }
    }

    fn record_end(&self, site: &Site, task: &str, state: TaskState, completed: bool) {
        if state == TaskState::Running {
            let (id, index) = split_task_id(task);
            let mut checker = site.checker.borrow_mut();
            checker.record_end(site.now(), id, index, &self.name, completed);
        }
    }

    async fn send_heartbeats(&self, site: &Rc<Site>) {
        let mut node = site.random_below(site.controllers.bind.len());
        let mut client = Client::new(site.controllers.bind[node]);
        sleep(site.random() * HEARTBEAT_INTERVAL_S).await;
        loop {
            let changed = self.changed.listen();
            self.wait_while_paused().await;
            let sent_at = site.now();
            let agent_epoch = self.agent_epoch.get();
            let body = self.heartbeat().to_string().into_bytes();
            site.duplicate_heartbeat(node, &body);
            match self.send(&client, body).await {
                Some((200, response)) if !self.is_late(site, sent_at) => {
                    self.accept_response(site, agent_epoch, sent_at, &response);
                    sleep(MIN_HEARTBEAT_INTERVAL_S).await;
                    let interval_s = HEARTBEAT_INTERVAL_S * (0.75 + 0.5 * site.random());
                    let rest_s = (interval_s - MIN_HEARTBEAT_INTERVAL_S).max(0.0);
                    future::or(changed, sleep(rest_s)).await;
                    continue;
                }
                Some((421, response)) => {
                    let target = response["muster"].as_str();
                    let target = target.and_then(|name| name[2..].parse().ok());
                    let count = site.controllers.bind.len();
                    match target.filter(|target| *target != node && *target < count) {
                        Some(target) => node = target,
                        None => node = self.next_node(site, node).await,
                    }
                }
                _ => node = self.next_node(site, node).await,
            }
            client = Client::new(site.controllers.bind[node]);
        }
    }

    async fn next_node(&self, site: &Site, node: usize) -> usize {
        sleep(1.0).await;
        (node + 1) % site.controllers.bind.len()
    }

    async fn wait_while_paused(&self) {
        while self.faults.paused.get() {
            sleep(TICK_S).await;
        }
    }

    fn is_late(&self, site: &Site, sent_at: u64) -> bool {
        site.now() > sent_at + RESPONSE_TIMEOUT.0
    }

    /// Sends a heartbeat and returns the status and the body of the response, if one arrives.
    async fn send(&self, client: &Client, body: Vec<u8>) -> Option<(u16, Value)> {
        if self.faults.mute.get() {
            sleep(RESPONSE_TIMEOUT.as_secs_f64()).await;
            return None;
        }
        let response = client.call(Method::Post, "/checkin", Some(body), RESPONSE_TIMEOUT);
        let response = response.await;
        self.wait_while_paused().await;
        if self.faults.deaf.get() {
            sleep(RESPONSE_TIMEOUT.as_secs_f64()).await;
            return None;
        }
        let (status, bytes) = response.ok()?;
        Some((status, serde_json::from_slice(&bytes).unwrap_or_default()))
    }

    fn accept_response(&self, site: &Site, agent_epoch: u64, sent_at: u64, response: &Value) {
        let token = response["warrant"].as_u64().unwrap_or(0);
        if self.agent_epoch.get() != agent_epoch || token < self.token.get() {
            return;
        }
        self.token.set(token);
        self.renewed_at.set(sent_at);
        for command in response["orders"].as_array().into_iter().flatten() {
            self.execute(site, command);
        }
    }

    fn execute(&self, site: &Site, command: &Value) {
        let task = command["take"].as_str().unwrap_or_default().to_owned();
        let key = (task.clone(), command["try"].as_u64().unwrap_or(0));
        let mut tasks = self.tasks.borrow_mut();
        match command["verb"].as_str() {
            Some("run") if !tasks.contains_key(&key) => {
                let is_active = |run: &TaskRun| !matches!(run.state, TaskState::Exited(_));
                let busy = tasks
                    .iter()
                    .any(|((t, _), run)| *t == task && is_active(run));
                let state = if busy {
                    TaskState::Exited("busy")
                } else {
                    TaskState::Fetching
                };
                let fetch_us = (IMAGE_FETCH_S * MICROS_PER_SECOND) as u64;
                let next_change_at = site.now() + fetch_us;
                let run = TaskRun {
                    state,
                    next_change_at,
                };
                tasks.insert(key, run);
                self.changed.notify(usize::MAX);
            }
            Some("stop") => {
                if let Some(run) = tasks.get_mut(&key)
                    && !matches!(run.state, TaskState::Exited(_))
                {
                    self.record_end(site, &task, run.state, false);
                    run.state = TaskState::Exited("halted");
                    self.changed.notify(usize::MAX);
                }
            }
            Some("clear") => {
                let is_exited = |run: &TaskRun| matches!(run.state, TaskState::Exited(_));
                if tasks.get(&key).is_some_and(is_exited) {
                    tasks.remove(&key);
                }
            }
            _ => {}
        }
    }
}
