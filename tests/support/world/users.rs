//! Users: they submit, query and cancel jobs through one controller after the other.

use super::{World, public_addr};
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::Value;
use std::future::Future;
use std::rc::Rc;

impl World {
    /// Submits a job and runs until a response confirms that it is accepted.
    pub fn submit(self: &Rc<Self>, node: usize, spec: &Value) {
        self.spawn_submit(node, spec.clone());
        let id = spec["nameId"].as_str().expect("a job name").to_owned();
        let accepted = |w: &World| {
            w.invariants
                .borrow()
                .jobs
                .get(&id)
                .is_some_and(|j| j.accepted_at.is_some())
        };
        assert!(self.run_until(60.0, accepted), "{id} was not accepted");
    }

    /// Submits a job in the background and retries at the next controller until a response decides it.
    pub fn spawn_submit(self: &Rc<Self>, node: usize, spec: Value) {
        let w = self.clone();
        self.spawn(async move {
            let id = spec["nameId"].as_str().expect("a job name").to_owned();
            w.invariants.borrow_mut().record_submission(&spec);
            for round in 0..60 {
                let body = Some(spec.to_string());
                let at = (node + round) % w.nodes;
                let status = w
                    .request(at, "submit", &id, Method::Post, "/work", body)
                    .await;
                if matches!(status, Some(200 | 201 | 400 | 422)) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// Cancels a job in the background and retries at the next controller until a response confirms it.
    pub fn spawn_cancel(self: &Rc<Self>, node: usize, id: &str) {
        let (w, id) = (self.clone(), id.to_owned());
        self.spawn(async move {
            let now = w.sim.now();
            w.invariants.borrow_mut().record_cancel_request(now, &id);
            let path = format!("/work/{id}/withdraw");
            for round in 0..200 {
                let at = (node + round) % w.nodes;
                let status = w
                    .request(at, "cancel", &id, Method::Post, &path, None)
                    .await;
                if status == Some(200) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// Queries a job at all controllers concurrently, in the background.
    pub fn spawn_poll_all(self: &Rc<Self>, id: &str) {
        for node in 0..self.nodes {
            let (w, id) = (self.clone(), id.to_owned());
            self.spawn(async move { w.poll(node, &id).await });
        }
    }

    /// Queries a job at one controller.
    pub async fn poll(&self, node: usize, id: &str) {
        let path = format!("/work/{id}");
        self.request(node, "poll", id, Method::Get, &path, None)
            .await;
    }

    /// Returns whether a response has confirmed that a job is cancelled.
    pub fn is_cancel_confirmed(&self, id: &str) -> bool {
        let invariants = self.invariants.borrow();
        let end = invariants.jobs.get(id).and_then(|j| j.final_state.as_ref());
        end.is_some_and(|(end, _)| end == "aborted")
    }

    /// Runs a client's future on a host of its own.
    pub fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        self.sim.start(self.sim.next_client(), |_| work);
    }

    pub(super) async fn request(
        &self,
        node: usize,
        kind: &str,
        id: &str,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Option<u16> {
        let client = Client::new(public_addr(node));
        let since = self.sim.now();
        let body = body.map(String::into_bytes);
        let response = client.call(method, path, body, Micros::secs(5)).await;
        let (status, bytes) = response.ok()?;
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let state = value["status"].as_str().unwrap_or_default().to_owned();
        let now = self.sim.now();
        let mut invariants = self.invariants.borrow_mut();
        invariants.record_response(now, since, &format!("{kind}@{node}"), id, status, &state);
        Some(status)
    }

    /// Submits `count` jobs in the background, one every `interval_s` seconds on average. The fraction `cancel_rate` of
    /// them is cancelled up to 20 s later, and each accepted job is queried every 3 to 6 s.
    pub fn traffic(
        self: &Rc<Self>,
        prefix: &str,
        count: usize,
        interval_s: f64,
        cancel_rate: f64,
        make: impl Fn(&str) -> Value + 'static,
    ) {
        let (w, prefix) = (self.clone(), prefix.to_owned());
        self.spawn(async move {
            for n in 0..count {
                let id = format!("j-{prefix}{n:03}");
                let at = w.sim.random_below(w.nodes);
                w.spawn_submit(at, make(&id));
                if w.sim.random() < cancel_rate {
                    let (w2, id2) = (w.clone(), id.clone());
                    let delay_s = w.sim.random() * 20.0;
                    w.spawn(async move {
                        w2.sim.sleep(delay_s).await;
                        let accepted =
                            |w: &World| w.invariants.borrow().jobs[&id2].accepted_at.is_some();
                        while !accepted(&w2) {
                            w2.sim.sleep(0.5).await;
                        }
                        w2.spawn_cancel(at, &id2);
                    });
                }
                let (w2, id2) = (w.clone(), id.clone());
                w.spawn(async move {
                    loop {
                        w2.sim.sleep(3.0 + w2.sim.random() * 3.0).await;
                        let accepted = w2.invariants.borrow().jobs[&id2].accepted_at.is_some();
                        if accepted {
                            let at = w2.sim.random_below(w2.nodes);
                            w2.poll(at, &id2).await;
                        }
                    }
                });
                w.sim.sleep(interval_s * (0.5 + w.sim.random())).await;
            }
        });
    }
}
