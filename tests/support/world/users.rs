//! Users: they submit, ask and cancel, at one controller after the other.

use super::{World, face};
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::Value;
use std::future::Future;
use std::rc::Rc;

impl World {
    /// A user submits a job at a controller until it is told that it is accepted.
    pub fn submit(self: &Rc<Self>, node: usize, spec: &Value) {
        self.spawn_submit(node, spec.clone());
        let id = spec["nameId"].as_str().expect("a name").to_owned();
        let told = |w: &World| {
            w.invariants
                .borrow()
                .jobs
                .get(&id)
                .is_some_and(|j| j.accepted.is_some())
        };
        assert!(self.run_until(60.0, told), "{id} was not accepted");
    }

    /// The same in the background.
    pub fn spawn_submit(self: &Rc<Self>, node: usize, spec: Value) {
        let w = self.clone();
        self.spawn(async move {
            let id = spec["nameId"].as_str().expect("a name").to_owned();
            w.invariants.borrow_mut().submits(&spec);
            for round in 0..60 {
                let body = Some(spec.to_string());
                let at = (node + round) % w.nodes;
                let status = w.ask(at, "submit", &id, Method::Post, "/work", body).await;
                if matches!(status, Some(200 | 201 | 400 | 422)) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// A user cancels a job at a controller, again and again until it is told; in the background.
    pub fn spawn_cancel(self: &Rc<Self>, node: usize, id: &str) {
        let (w, id) = (self.clone(), id.to_owned());
        self.spawn(async move {
            let now = w.sim.now();
            w.invariants.borrow_mut().asks_to_cancel(now, &id);
            let path = format!("/work/{id}/withdraw");
            for round in 0..200 {
                let at = (node + round) % w.nodes;
                let status = w.ask(at, "cancel", &id, Method::Post, &path, None).await;
                if status == Some(200) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// Asks all controllers about a job, side by side, in the background.
    pub fn spawn_ask_all(self: &Rc<Self>, id: &str) {
        for node in 0..self.nodes {
            let (w, id) = (self.clone(), id.to_owned());
            self.spawn(async move { w.poll(node, &id).await });
        }
    }

    /// Asks one controller about a job.
    pub async fn poll(&self, node: usize, id: &str) {
        let path = format!("/work/{id}");
        self.ask(node, "poll", id, Method::Get, &path, None).await;
    }

    /// Whether users were told that a job is cancelled.
    pub fn told_cancelled(&self, id: &str) -> bool {
        let invariants = self.invariants.borrow();
        let end = invariants.jobs.get(id).and_then(|j| j.end.as_ref());
        end.is_some_and(|(end, _)| end == "aborted")
    }

    /// Runs a routine of users.
    pub fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        self.sim.start(self.sim.next_client(), |_| work);
    }

    pub(super) async fn ask(
        &self,
        node: usize,
        what: &str,
        id: &str,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Option<u16> {
        let client = Client::new(face(node));
        let since = self.sim.now();
        let body = body.map(String::into_bytes);
        let answer = client.call(method, path, body, Micros::secs(5)).await;
        let (status, bytes) = answer.ok()?;
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let state = value["status"].as_str().unwrap_or_default().to_owned();
        let now = self.sim.now();
        let mut invariants = self.invariants.borrow_mut();
        invariants.answered(now, since, &format!("{what}@{node}"), id, status, &state);
        Some(status)
    }

    /// Users come: `count` jobs, `every` so many seconds, some of them cancelled later; every job is asked about.
    pub fn traffic(
        self: &Rc<Self>,
        prefix: &str,
        count: usize,
        every_s: f64,
        cancelled: f64,
        make: impl Fn(&str) -> Value + 'static,
    ) {
        let (w, prefix) = (self.clone(), prefix.to_owned());
        self.spawn(async move {
            for n in 0..count {
                let id = format!("j-{prefix}{n:03}");
                let at = w.sim.below(w.nodes);
                w.spawn_submit(at, make(&id));
                if w.sim.chance() < cancelled {
                    let (w2, id2) = (w.clone(), id.clone());
                    let after = w.sim.chance() * 20.0;
                    w.spawn(async move {
                        w2.sim.sleep(after).await;
                        let known = |w: &World| w.invariants.borrow().jobs[&id2].accepted.is_some();
                        while !known(&w2) {
                            w2.sim.sleep(0.5).await;
                        }
                        w2.spawn_cancel(at, &id2);
                    });
                }
                let (w2, id2) = (w.clone(), id.clone());
                w.spawn(async move {
                    loop {
                        w2.sim.sleep(3.0 + w2.sim.chance() * 3.0).await;
                        let accepted = w2.invariants.borrow().jobs[&id2].accepted.is_some();
                        if accepted {
                            let at = w2.sim.below(w2.nodes);
                            w2.poll(at, &id2).await;
                        }
                    }
                });
                w.sim.sleep(every_s * (0.5 + w.sim.chance())).await;
            }
        });
    }
}
