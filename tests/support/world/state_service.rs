//! The state service, with its limits and troubles.

use super::super::keys::query_field;
use super::super::sim::{Entrance, HostId, within};
use super::{NODES, STATE, World, addr, serve_one};
use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::rc::Rc;

impl World {
    pub(super) async fn serve_state(
        self: Rc<Self>,
        ex: Rc<async_executor::LocalExecutor<'static>>,
    ) {
        let entrance = Entrance::open(addr(STATE, 80));
        loop {
            let (from, stream) = entrance.next().await;
            let w = self.clone();
            ex.spawn(serve_one(stream, move |call| {
                let w = w.clone();
                async move { w.answer_state(from, call).await }
            }))
            .detach();
        }
    }

    /// Whether a request, or the changes in it, are too many.
    fn is_beyond_limits(&self, call: &HttpRequest) -> bool {
        if !self.deployment.enforces_limits {
            return false;
        }
        let now = self.sim.now();
        if !self.requests.take(now, 1.0) {
            return true;
        }
        if call.path != "/txn" {
            return false;
        }
        let body: Value = serde_json::from_slice(&call.body).expect("JSON");
        let writes = body["writes"].as_array().map_or(0, Vec::len);
        assert!(
            writes <= self.deployment.txn_ops,
            "{writes} changes in one transaction"
        );
        assert!(call.body.len() <= 64 * 1024, "{} bytes", call.body.len());
        for write in body["writes"].as_array().into_iter().flatten() {
            let bytes = write["data"].to_string().len();
            assert!(bytes <= 8 * 1024, "{} takes {bytes} bytes", write["write"]);
        }
        !self.changes.take(now, writes as f64)
    }

    pub(super) fn refuses(&self, from: HostId) -> bool {
        let state = self.state.borrow();
        state.out || state.refused.contains(&from.wrapping_sub(NODES))
    }

    fn end_leases(&self) {
        if self.state.borrow().out {
            return;
        }
        let now = self.sim.now();
        let over: Vec<u64> = {
            let leases = self.leases.borrow();
            let over = leases.iter().filter(|(_, (_, ends))| *ends <= now);
            over.map(|(id, _)| *id).collect()
        };
        for lease in over {
            self.leases.borrow_mut().remove(&lease);
            self.keys.borrow_mut().end_lease(lease);
            self.keys_changed.notify(usize::MAX);
        }
    }

    async fn answer_state(&self, from: HostId, call: HttpRequest) -> HttpResponse {
        let slow = self.state.borrow().slow_s;
        self.sim
            .sleep(0.002 + slow * (0.5 + self.sim.chance()))
            .await;
        self.end_leases();
        if self.refuses(from) {
            return HttpResponse::error(503, "trouble");
        }
        if self.is_beyond_limits(&call) {
            self.refused.set(self.refused.get() + 1);
            return HttpResponse::error(429, "too many");
        }
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method, path.as_slice()) {
            (Method::Post, ["txn"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let (lost, late) = {
                    let state = self.state.borrow();
                    (state.answers_lost, state.late)
                };
                if self.sim.chance() < late {
                    self.sim.sleep(2.0 + 10.0 * self.sim.chance()).await;
                    self.keys.borrow_mut().apply_transaction(&body);
                    self.keys_changed.notify(usize::MAX);
                    return std::future::pending().await;
                }
                let reply = self.keys.borrow_mut().apply_transaction(&body);
                self.keys_changed.notify(usize::MAX);
                if self.sim.chance() < lost {
                    return std::future::pending().await;
                }
                reply
            }
            (Method::Post, ["holds"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let ttl = body["ttlMs"].as_u64().expect("a time") * 1_000;
                let lease = {
                    let mut keys = self.keys.borrow_mut();
                    keys.last_lease += 1;
                    keys.last_lease
                };
                let ends = self.sim.now() + ttl;
                self.leases.borrow_mut().insert(lease, (ttl, ends));
                HttpResponse::json(200, &json!({"tenure": lease}))
            }
            (Method::Post, ["holds", lease, "extend"]) => {
                let now = self.sim.now();
                match self
                    .leases
                    .borrow_mut()
                    .get_mut(&lease.parse().expect("a lease"))
                {
                    Some((ttl, ends)) => {
                        *ends = now + *ttl;
                        HttpResponse::json(200, &json!({}))
                    }
                    None => HttpResponse::error(404, "no such lease"),
                }
            }
            (Method::Delete, ["holds", lease]) => {
                let lease = lease.parse().expect("a lease");
                self.leases.borrow_mut().remove(&lease);
                let reply = self.keys.borrow_mut().end_lease(lease);
                self.keys_changed.notify(usize::MAX);
                reply
            }
            (Method::Get, ["keys"]) => self.keys.borrow().list_page(&call.query),
            (Method::Get, ["watch"]) => self.watch(from, &call).await,
            (Method::Get, _) => self
                .keys
                .borrow()
                .get(call.path.trim_start_matches("/keys/")),
            _ => HttpResponse::error(400, "odd"),
        }
    }

    /// Answers once there is something new, or after three seconds; in trouble it waits for the trouble's end.
    async fn watch(&self, from: HostId, call: &HttpRequest) -> HttpResponse {
        let since = query_field(&call.query, "from");
        let since: u64 = since.and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = self.sim.now() + 3_000_000;
        loop {
            let changed = self.keys_changed.listen();
            self.end_leases();
            if !self.refuses(from) {
                let keys = self.keys.borrow();
                let news: Vec<&Value> = keys.changes_since(since).collect();
                if !news.is_empty() || self.sim.now() >= until {
                    return HttpResponse::json(200, &json!({"epoch": keys.revision, "news": news}));
                }
            }
            within(&self.sim, 0.1, changed).await;
        }
    }
}
