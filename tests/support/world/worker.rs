//! A worker: it reports, executes commands, runs tasks and keeps its lease.

use super::super::invariants::Place;
use super::super::sim::within;
use super::{Run, World, face, machine_host};
use event_listener::Event;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

impl World {
    pub(super) async fn worker(self: Rc<Self>, name: String, place: Place) {
        let worker = Rc::new(Worker {
            name,
            place,
            session: Cell::new(1),
            seq: Cell::new(0),
            token: Cell::new(0),
            renewed: Cell::new(self.sim.now()),
            tasks: RefCell::default(),
            changed: Event::new(),
            still_for: Cell::new(0),
        });
        let beats = self.beat(&worker);
        futures_lite::future::or(beats, self.live(&worker)).await;
    }

    /// Lets tasks go on, and kills them when the lease has ended.
    async fn live(&self, worker: &Worker) {
        loop {
            let changed = worker.changed.listen();
            let next = self.next_event(worker);
            let wait = next.saturating_sub(self.sim.now()) as f64 / 1e6;
            within(&self.sim, wait, changed).await;
            self.note_standstill(worker);
            if self.sim.now() > self.lease_end(worker) {
                self.lose_lease(worker);
            } else {
                self.let_tasks_go_on(worker);
            }
        }
    }

    /// When a task has its image or ends, or the lease has ended.
    fn next_event(&self, worker: &Worker) -> u64 {
        let tasks = worker.tasks.borrow();
        let of_tasks = tasks.values().map(|run| run.at).min();
        of_tasks.unwrap_or(u64::MAX).min(self.lease_end(worker) + 1)
    }

    fn lease_end(&self, worker: &Worker) -> u64 {
        worker.renewed.get() + (self.deployment.lease_s * 1e6) as u64
    }

    /// Where the machine hung, its tasks were paused as well.
    fn note_standstill(&self, worker: &Worker) {
        let still_for = self.sim.still_for(machine_host(&worker.name));
        let gap = still_for - worker.still_for.replace(still_for);
        for run in worker.tasks.borrow_mut().values_mut() {
            run.at = run.at.saturating_add(gap);
        }
    }

    fn lose_lease(&self, worker: &Worker) {
        self.leases_lost.set(self.leases_lost.get() + 1);
        let tasks = std::mem::take(&mut *worker.tasks.borrow_mut());
        for ((task, _), run) in tasks {
            self.off(worker, &task, &run, false);
        }
        worker.session.set(worker.session.get() + 1);
        worker.renewed.set(self.sim.now());
        worker.changed.notify(usize::MAX);
    }

    fn let_tasks_go_on(&self, worker: &Worker) {
        let now = self.sim.now();
        for ((task, _), run) in worker.tasks.borrow_mut().iter_mut() {
            if run.at > now {
                continue;
            }
            let (id, index) = split(task);
            let mut invariants = self.invariants.borrow_mut();
            if run.state == "pulling" {
                run.state = "running";
                let spec = &invariants.jobs[id].spec;
                run.at = match spec["shape"].as_str() {
                    Some("standing") => u64::MAX,
                    _ => now + (spec["expectS"].as_f64().expect("a time") * 1e6) as u64,
                };
                invariants.starts(now, id, index, &worker.name, &worker.place);
            } else if run.state == "running" {
                run.state = "exited";
                run.cause = Some("done");
                run.at = u64::MAX;
                invariants.ends(now, id, index, &worker.name, true);
            }
            worker.changed.notify(usize::MAX);
        }
    }

    fn off(&self, worker: &Worker, task: &str, run: &Run, done: bool) {
        if run.state == "running" {
            let (id, index) = split(task);
            let now = self.sim.now();
            self.invariants
                .borrow_mut()
                .ends(now, id, index, &worker.name, done);
        }
    }

    async fn beat(&self, worker: &Worker) {
        let mut at = self.sim.below(self.nodes);
        let mut client = Client::new(face(at));
        loop {
            let changed = worker.changed.listen();
            let sent = self.sim.now();
            let session = worker.session.get();
            worker.seq.set(worker.seq.get() + 1);
            let body = worker.report();
            self.copy(at, &body);
            let answer = client
                .call(
                    Method::Post,
                    "/checkin",
                    Some(body.into_bytes()),
                    Micros::secs(4),
                )
                .await;
            let mut next = (at + 1) % self.nodes;
            match answer {
                Ok((200, bytes)) => {
                    let answer: Value = serde_json::from_slice(&bytes).expect("JSON");
                    let token = answer["warrant"].as_u64().unwrap_or(0);
                    if worker.session.get() == session && token >= worker.token.get() {
                        worker.token.set(token);
                        worker.renewed.set(sent);
                        self.execute(worker, &answer["orders"]);
                    }
                    self.sim.sleep(0.5).await;
                    let report_s = self.deployment.report_s;
                    let wait = report_s * (0.75 + 0.5 * self.sim.chance()) - 0.5;
                    within(&self.sim, wait, changed).await;
                    continue;
                }
                Ok((421, bytes)) => {
                    let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                    let named = answer["muster"].as_str().and_then(|n| n[2..].parse().ok());
                    match named.filter(|n| *n != at && *n < self.nodes) {
                        Some(named) => next = named,
                        None => self.sim.sleep(1.0).await,
                    }
                }
                _ => self.sim.sleep(1.0).await,
            }
            at = next;
            client = Client::new(face(at));
        }
    }

    fn execute(&self, worker: &Worker, orders: &Value) {
        let now = self.sim.now();
        let mut tasks = worker.tasks.borrow_mut();
        for order in orders.as_array().into_iter().flatten() {
            let task = order["take"].as_str().expect("a task").to_owned();
            let key = (task.clone(), order["try"].as_u64().expect("an attempt"));
            match order["verb"].as_str() {
                Some("run") if !tasks.contains_key(&key) => {
                    let busy = tasks
                        .iter()
                        .any(|((t, _), run)| *t == task && run.state != "exited");
                    let run = if busy {
                        Run {
                            state: "exited",
                            cause: Some("busy"),
                            at: u64::MAX,
                        }
                    } else {
                        Run {
                            state: "pulling",
                            cause: None,
                            at: now + 800_000,
                        }
                    };
                    tasks.insert(key, run);
                    worker.changed.notify(usize::MAX);
                }
                Some("stop") => {
                    if let Some(run) = tasks.get_mut(&key).filter(|r| r.state != "exited") {
                        self.off(worker, &task, run, false);
                        *run = Run {
                            state: "exited",
                            cause: Some("halted"),
                            at: u64::MAX,
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

    /// A copy of a heartbeat may arrive again later, or is kept for the next leader.
    pub(super) fn copy(&self, node: usize, body: &str) {
        if let Some(kept) = &mut *self.kept_for_next.borrow_mut() {
            kept.push(body.to_owned());
        }
        if self.sim.chance() < self.copies.get() {
            let after = 2.0 + self.sim.chance() * self.deployment.lease_s * 1.5;
            self.send_copy(node, body.to_owned(), after);
        }
    }

    /// Delivers an old heartbeat to a controller.
    pub fn send_copy(&self, node: usize, body: String, after_s: f64) {
        let sim = self.sim.clone();
        self.sim.start(self.sim.next_client(), |_| async move {
            sim.sleep(after_s).await;
            let client = Client::new(face(node));
            let body = Some(body.into_bytes());
            let _ = client
                .call(Method::Post, "/checkin", body, Micros::secs(4))
                .await;
        });
    }
}

struct Worker {
    name: String,
    place: Place,
    session: Cell<u64>,
    seq: Cell<u64>,
    token: Cell<u64>,
    /// When the last answered report was sent.
    renewed: Cell<u64>,
    tasks: RefCell<BTreeMap<(String, u64), Run>>,
    changed: Event,
    /// Microseconds that it was paused in all, as far as its tasks know.
    still_for: Cell<u64>,
}

impl Worker {
    fn report(&self) -> String {
        let tasks = self.tasks.borrow();
        let told = tasks.iter().map(|((task, attempt), run)| {
            json!({"take": task, "try": attempt, "status": run.state, "cause": run.cause})
        });
        let told: Vec<Value> = told.collect();
        json!({"host": self.name, "endpoint": "e", "rig": self.place.machine_type, "yard": self.place.zone,
            "loaners": self.place.spot, "watch": self.session.get(), "tally": self.seq.get(),
            "warrant": self.token.get(), "warningS": null, "takes": told})
        .to_string()
    }
}

fn split(task: &str) -> (&str, u32) {
    let (id, index) = task.split_once('/').expect("a task");
    (id, index.parse().expect("a number"))
}
