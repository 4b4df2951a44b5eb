//! The simulated key-value store, with its limits and faults.

use super::super::keys::query_field;
use super::super::sim::{HostId, SimListener, with_timeout};
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
        let listener = SimListener::bind(addr(STATE, 80));
        loop {
            let (from, stream) = listener.accept_with_peer().await;
            let w = self.clone();
            ex.spawn(serve_one(stream, move |call| {
                let w = w.clone();
                async move { w.answer_state(from, call).await }
            }))
            .detach();
        }
    }

    /// Takes the tokens of a request and its writes, and returns whether it exceeds the rate limits.
    fn exceeds_limits(&self, call: &HttpRequest) -> bool {
        if !self.deployment.enforces_limits {
            return false;
        }
        let now = self.sim.now();
        if !self.state_requests.try_take(now, 1.0) {
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
            assert!(
                bytes <= 8 * 1024,
                "the value of {} has {bytes} bytes",
                write["write"]
            );
        }
        !self.state_writes.try_take(now, writes as f64)
    }

    pub(super) fn refuses(&self, from: HostId) -> bool {
        let faults = self.state_faults.borrow();
        faults.unavailable || faults.refused_nodes.contains(&from.wrapping_sub(NODES))
    }

    fn expire_leases(&self) {
        if self.state_faults.borrow().unavailable {
            return;
        }
        let now = self.sim.now();
        let expired: Vec<u64> = {
            let leases = self.leases.borrow();
            let expired = leases
                .iter()
                .filter(|(_, (_, expires_at))| *expires_at <= now);
            expired.map(|(id, _)| *id).collect()
        };
        for lease in expired {
            self.leases.borrow_mut().remove(&lease);
            self.keys.borrow_mut().end_lease(lease);
            self.keys_changed.notify(usize::MAX);
        }
    }

    async fn answer_state(&self, from: HostId, call: HttpRequest) -> HttpResponse {
        let extra_latency_s = self.state_faults.borrow().extra_latency_s;
        self.sim
            .sleep(0.002 + extra_latency_s * (0.5 + self.sim.random()))
            .await;
        self.expire_leases();
        if self.refuses(from) {
            return HttpResponse::error(503, "trouble");
        }
        if self.exceeds_limits(&call) {
            self.rate_limited.set(self.rate_limited.get() + 1);
            return HttpResponse::error(429, "too many");
        }
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method, path.as_slice()) {
            (Method::Post, ["txn"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let (lost_response_rate, late_commit_rate) = {
                    let faults = self.state_faults.borrow();
                    (faults.lost_response_rate, faults.late_commit_rate)
                };
                if self.sim.random() < late_commit_rate {
                    self.sim.sleep(2.0 + 10.0 * self.sim.random()).await;
                    self.keys.borrow_mut().apply_transaction(&body);
                    self.keys_changed.notify(usize::MAX);
                    return std::future::pending().await;
                }
                let reply = self.keys.borrow_mut().apply_transaction(&body);
                self.keys_changed.notify(usize::MAX);
                if self.sim.random() < lost_response_rate {
                    return std::future::pending().await;
                }
                reply
            }
            (Method::Post, ["holds"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let ttl = body["ttlMs"].as_u64().expect("a lease time") * 1_000;
                let lease = {
                    let mut keys = self.keys.borrow_mut();
                    keys.last_lease += 1;
                    keys.last_lease
                };
                let expires_at = self.sim.now() + ttl;
                self.leases.borrow_mut().insert(lease, (ttl, expires_at));
                HttpResponse::json(200, &json!({"tenure": lease}))
            }
            (Method::Post, ["holds", lease, "extend"]) => {
                let now = self.sim.now();
                match self
                    .leases
                    .borrow_mut()
                    .get_mut(&lease.parse().expect("a lease id"))
                {
                    Some((ttl, expires_at)) => {
                        *expires_at = now + *ttl;
                        HttpResponse::json(200, &json!({}))
                    }
                    None => HttpResponse::error(404, "no such lease"),
                }
            }
            (Method::Delete, ["holds", lease]) => {
                let lease = lease.parse().expect("a lease id");
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

    /// Responds once there are changes, or after three seconds. While the key-value store refuses the caller, the
    /// response is withheld.
    async fn watch(&self, from: HostId, call: &HttpRequest) -> HttpResponse {
        let since = query_field(&call.query, "from");
        let since: u64 = since.and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = self.sim.now() + 3_000_000;
        loop {
            let changed = self.keys_changed.listen();
            self.expire_leases();
            if !self.refuses(from) {
                let keys = self.keys.borrow();
                let changes: Vec<&Value> = keys.changes_since(since).collect();
                if !changes.is_empty() || self.sim.now() >= until {
                    return HttpResponse::json(
                        200,
                        &json!({"epoch": keys.revision, "news": changes}),
                    );
                }
            }
            with_timeout(&self.sim, 0.1, changed).await;
        }
    }
}
