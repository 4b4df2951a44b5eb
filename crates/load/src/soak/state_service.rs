//! The key-value store over HTTP, with its limits, leases and faults. Each controller has an address of its own, so that
//! faults can affect one of them.

use super::controllers::{STATE_RPS, STATE_WRITE_RPS};
use super::site::{Site, sleep};
use futures_lite::FutureExt;
use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use ravenhead_stand_ins::keys::{KeyValueStore, query_field};
use ravenhead_stand_ins::rate_limit::TokenBucket;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Changes that the store keeps for watches.
const KEPT_CHANGES: usize = 10_000;
/// Interval at which a request that is held back is looked at again, in seconds.
const CUT_CHECK_INTERVAL_S: f64 = 0.05;
const MICROS_PER_MILLI: u64 = 1_000;

/// Faults of the key-value store.
#[derive(Debug, Default)]
pub(super) struct StateFaults {
    /// Whether it refuses every request.
    pub(super) outage: bool,
    /// Controllers whose requests it refuses.
    pub(super) refused: BTreeSet<usize>,
    /// Controllers whose requests are held back and carried out afterwards.
    pub(super) cut: BTreeSet<usize>,
    /// Additional latency in seconds.
    pub(super) latency_s: f64,
    /// Fraction of the transactions that are carried out at once, but whose responses are lost.
    pub(super) lost_response_rate: f64,
    /// Fraction of the transactions that are carried out seconds later, without a response.
    pub(super) late_commit_rate: f64,
}

/// The key-value store.
pub(super) struct StateService {
    keys: RefCell<KeyValueStore>,
    changed: event_listener::Event,
    /// Time to live and time of expiry of each lease, in microseconds.
    leases: RefCell<BTreeMap<u64, (u64, u64)>>,
    pub(super) faults: RefCell<StateFaults>,
    requests: TokenBucket,
    writes: TokenBucket,
}

impl StateService {
    pub(super) fn new() -> StateService {
        StateService {
            keys: RefCell::default(),
            changed: event_listener::Event::new(),
            leases: RefCell::default(),
            faults: RefCell::default(),
            requests: TokenBucket::new(STATE_RPS, 1.0),
            writes: TokenBucket::new(STATE_WRITE_RPS, 1.0),
        }
    }

    /// Begins or ends an outage, at whose end every lease has its full time again.
    pub(super) fn set_outage(&self, outage: bool, now: u64) {
        self.faults.borrow_mut().outage = outage;
        if !outage {
            for (ttl, expires_at) in self.leases.borrow_mut().values_mut() {
                *expires_at = now + *ttl;
            }
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns the controller that the leader key names.
    pub(super) fn leader(&self) -> Option<usize> {
        let keys = self.keys.borrow();
        let (record, _) = keys.entries.get("r/leader")?;
        record["node"].as_str()?[2..].parse().ok()
    }

    fn expire_leases(&self, now: u64) {
        if self.faults.borrow().outage {
            return;
        }
        let expired: Vec<u64> = {
            let leases = self.leases.borrow();
            let expired = leases.iter().filter(|(_, (_, at))| *at <= now);
            expired.map(|(id, _)| *id).collect()
        };
        for lease in expired {
            self.leases.borrow_mut().remove(&lease);
            self.keys.borrow_mut().end_lease(lease);
            self.changed.notify(usize::MAX);
        }
    }

    fn is_refused(&self, node: usize) -> bool {
        let faults = self.faults.borrow();
        faults.outage || faults.refused.contains(&node)
    }

    /// Takes the tokens of a request and its writes, and returns whether it exceeds the limits.
    fn exceeds_limits(&self, body: &Value, now: u64) -> bool {
        let writes = body["writes"].as_array().map_or(0, Vec::len);
        !self.requests.try_take(now, 1.0) || !self.writes.try_take(now, writes as f64)
    }

    fn grant(&self, body: &Value, now: u64) -> HttpResponse {
        let ttl = body["ttlMs"].as_u64().unwrap_or_default() * MICROS_PER_MILLI;
        let mut keys = self.keys.borrow_mut();
        keys.last_lease += 1;
        let lease = keys.last_lease;
        self.leases.borrow_mut().insert(lease, (ttl, now + ttl));
        HttpResponse::json(200, &json!({"tenure": lease}))
    }

    fn extend(&self, lease: u64, now: u64) -> HttpResponse {
        match self.leases.borrow_mut().get_mut(&lease) {
            Some((ttl, expires_at)) => {
                *expires_at = now + *ttl;
                HttpResponse::json(200, &json!({}))
            }
            None => HttpResponse::error(404, "no such lease"),
        }
    }

    fn revoke(&self, lease: u64) -> HttpResponse {
        self.leases.borrow_mut().remove(&lease);
        let response = self.keys.borrow_mut().end_lease(lease);
        self.changed.notify(usize::MAX);
        response
    }

    fn apply(&self, body: &Value) -> HttpResponse {
        let response = self.keys.borrow_mut().apply_transaction(body);
        self.changed.notify(usize::MAX);
        response
    }

    /// Returns whether the store no longer keeps the changes after a revision.
    fn is_compacted(&self, revision: u64) -> bool {
        let keys = self.keys.borrow();
        let dropped = keys.changes.len().saturating_sub(KEPT_CHANGES);
        dropped > 0 && revision < keys.changes[dropped - 1].0
    }
}

impl Site {
    /// Answers a request of a controller to the key-value store.
    pub(super) async fn answer_state(
        self: Rc<Site>,
        node: usize,
        request: HttpRequest,
    ) -> HttpResponse {
        let state = &self.state;
        while state.faults.borrow().cut.contains(&node) {
            sleep(CUT_CHECK_INTERVAL_S).await;
        }
        let latency_s = state.faults.borrow().latency_s;
        sleep(latency_s * self.random()).await;
        let now = self.now();
        state.expire_leases(now);
        if state.is_refused(node) {
            return HttpResponse::error(503, "trouble");
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if state.exceeds_limits(&body, now) {
            return HttpResponse::error(429, "too many");
        }
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method, path.as_slice()) {
            (Method::Post, ["txn"]) => self.transaction(&body).await,
            (Method::Post, ["holds"]) => state.grant(&body, now),
            (Method::Post, ["holds", lease, "extend"]) => {
                state.extend(lease.parse().unwrap_or(0), now)
            }
            (Method::Delete, ["holds", lease]) => state.revoke(lease.parse().unwrap_or(0)),
            (Method::Get, ["keys"]) => state.keys.borrow().list_page(&request.query),
            (Method::Get, ["watch"]) => self.watch(node, &request.query).await,
            (Method::Get, _) => {
                let key = request.path.trim_start_matches("/keys/");
                state.keys.borrow().get(key)
            }
            _ => HttpResponse::error(400, "odd"),
        }
    }

    async fn transaction(&self, body: &Value) -> HttpResponse {
        let (lost_response_rate, late_commit_rate) = {
            let faults = self.state.faults.borrow();
            (faults.lost_response_rate, faults.late_commit_rate)
        };
        if self.random() < late_commit_rate {
            sleep(2.0 + 6.0 * self.random()).await;
            self.state.apply(body);
            return std::future::pending().await;
        }
        let response = self.state.apply(body);
        if self.random() < lost_response_rate {
            return std::future::pending().await;
        }
        response
    }

    /// Responds once there are changes, or when the time is over. While the store refuses the caller, the response is
    /// withheld.
    async fn watch(&self, node: usize, query: &str) -> HttpResponse {
        let number = |name| query_field(query, name).and_then(|v| v.parse::<u64>().ok());
        let since = number("from").unwrap_or(0);
        let ends_at = self.now() + number("waitMs").unwrap_or(0) * MICROS_PER_MILLI;
        if self.state.is_compacted(since) {
            return HttpResponse::error(410, "too old");
        }
        loop {
            let changed = self.state.changed.listen();
            self.state.expire_leases(self.now());
            if !self.state.is_refused(node) {
                let keys = self.state.keys.borrow();
                let news: Vec<&Value> = keys.changes_since(since).collect();
                if !news.is_empty() || self.now() >= ends_at {
                    let body = json!({"epoch": keys.revision, "news": news});
                    return HttpResponse::json(200, &body);
                }
            }
            changed.or(sleep(0.1)).await;
        }
    }
}
