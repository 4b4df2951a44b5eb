//! An in-memory implementation of the key-value store's protocol, with leases, watches and injected failures.

use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A failure that the store injects into every request that it affects, until it is reset.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FailureMode {
    /// Every request is refused with status 503.
    Unavailable,
    /// Every request is rejected by the rate limit, with status 429.
    RateLimited,
    /// Every request fails with status 500, which leaves its outcome unknown to the client.
    ResponsesLost,
    /// Every response is a JSON document without the expected fields.
    Malformed,
    /// Every watch starts at a revision that is compacted already, and fails with status 410.
    Compacted,
}

/// A key-value store with revisions, leases and a complete change history.
#[derive(Default)]
pub struct KeyValueStore {
    /// Revision of the last change, 0 if there was none.
    pub revision: u64,
    /// Value of each key and the revision of the key's last change.
    pub entries: BTreeMap<String, (Value, u64)>,
    /// All changes, in the format of watch events, with their revisions.
    pub changes: Vec<(u64, Value)>,
    /// Failure injected into requests by [`handle_request`], or `None` if it serves them.
    pub failure_mode: Option<FailureMode>,
    /// Revision after which watches hide all changes, or `None` if they return all.
    pub watch_stops_at: Option<u64>,
    /// Id of the last lease granted. Ids count up from 1.
    pub last_lease: u64,
    /// Keys attached to a lease, with the lease's id.
    pub leased_keys: BTreeMap<String, u64>,
    /// Number of further transactions that are applied but fail with status 500, as if their response was lost.
    pub responses_to_lose: usize,
    /// If set, every second transaction fails with status 500 and is applied only after newer ones. Contains the
    /// transactions that are not applied yet, oldest first.
    pub delayed_transactions: Option<Vec<Value>>,
    /// Number of transactions received by [`KeyValueStore::handle_transaction`].
    pub transactions_received: usize,
    /// Ids of leases that expired, were revoked or were lost. Writes that refer to them are rejected.
    pub ended_leases: BTreeSet<u64>,
}

/// Largest number of items in one page of a listing.
const MAX_PAGE_ITEMS: usize = 1_000;

/// Returns the value of a field in a request's query string, without percent-decoding.
pub fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// Largest number of delayed transactions; when one more arrives, the oldest is applied.
pub const MAX_DELAYED_TRANSACTIONS: usize = 4;

impl KeyValueStore {
    /// Applies a transaction if all its compare-and-set conditions hold and none of its leases has ended.
    pub fn apply_transaction(&mut self, body: &Value) -> HttpResponse {
        let version = |store: &KeyValueStore, key: &str| {
            store.entries.get(key).map_or(0, |(_, version)| *version)
        };
        let conditions = body["when"].as_array().cloned().unwrap_or_default();
        let failed: Vec<&str> = conditions
            .iter()
            .filter(|condition| {
                version(self, condition["k"].as_str().unwrap())
                    != condition["stamp"].as_u64().unwrap()
            })
            .map(|condition| condition["k"].as_str().unwrap())
            .collect();
        if !failed.is_empty() {
            return HttpResponse::json(409, &json!({"failed": failed, "epoch": self.revision}));
        }
        let mut writes = body["writes"].as_array().unwrap().iter();
        if writes.any(|write| {
            write["tenure"]
                .as_u64()
                .is_some_and(|lease| self.ended_leases.contains(&lease))
        }) {
            return HttpResponse::error(400, "no such lease");
        }
        self.revision += 1;
        for write in body["writes"].as_array().unwrap() {
            let mut event = write.clone();
            event["stamp"] = json!(self.revision);
            if let Some(key) = write["write"].as_str() {
                let value = (write["data"].clone(), self.revision);
                self.entries.insert(key.to_owned(), value);
                if let Some(lease) = write["tenure"].as_u64() {
                    self.leased_keys.insert(key.to_owned(), lease);
                }
            } else if let Some(key) = write["delete"].as_str() {
                self.entries.remove(key);
            }
            self.changes.push((self.revision, event));
        }
        HttpResponse::json(200, &json!({"epoch": self.revision}))
    }

    /// Simulates the loss of all state: removes all keys and the change history, ends all leases and resets the
    /// revision.
    pub fn lose_all(&mut self) {
        self.revision = 0;
        self.entries.clear();
        self.changes.clear();
        self.leased_keys.clear();
        self.ended_leases = (0..=self.last_lease).collect();
    }

    /// Simulates the loss of all keys with a prefix. Watches do not report it and the revision does not change.
    pub fn lose_prefix(&mut self, prefix: &str) {
        self.entries.retain(|key, _| !key.starts_with(prefix));
    }

    /// Simulates a restore from a backup taken at an earlier revision. All leases end and keys attached to one are
    /// removed.
    pub fn roll_back(&mut self, revision: u64) {
        let retained = self.changes.partition_point(|(at, _)| *at <= revision);
        let changes: Vec<(u64, Value)> = self.changes.drain(..retained).collect();
        let mut keys_with_lease = BTreeSet::new();
        self.lose_all();
        for (at, change) in &changes {
            if let Some(key) = change["write"].as_str() {
                let value = (change["data"].clone(), *at);
                self.entries.insert(key.to_owned(), value);
                if change["tenure"].is_u64() {
                    keys_with_lease.insert(key.to_owned());
                }
            } else if let Some(key) = change["delete"].as_str() {
                self.entries.remove(key);
            }
        }
        self.revision = revision;
        self.changes = changes;
        for key in keys_with_lease {
            self.entries.remove(&key);
        }
    }

    /// Applies a transaction or, if [`delayed_transactions`](KeyValueStore::delayed_transactions) is set, delays every
    /// second one.
    pub fn handle_transaction(&mut self, body: Value) -> HttpResponse {
        self.transactions_received += 1;
        let received = self.transactions_received;
        let Some(delayed) = &mut self.delayed_transactions else {
            return self.apply_transaction(&body);
        };
        if received.is_multiple_of(2) {
            return self.apply_transaction(&body);
        }
        delayed.push(body);
        if delayed.len() > MAX_DELAYED_TRANSACTIONS {
            let oldest = delayed.remove(0);
            self.apply_transaction(&oldest);
        }
        HttpResponse::error(500, "lost")
    }

    /// Ends a lease and deletes the keys attached to it.
    pub fn end_lease(&mut self, lease: u64) -> HttpResponse {
        self.ended_leases.insert(lease);
        let leased = self.leased_keys.iter().filter(|(_, l)| **l == lease);
        let keys: Vec<String> = leased.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.leased_keys.remove(&key);
            self.entries.remove(&key);
            self.revision += 1;
            let deletion = json!({"delete": key, "stamp": self.revision});
            self.changes.push((self.revision, deletion));
        }
        HttpResponse::json(200, &json!({}))
    }

    /// Returns one page of the keys with a prefix. Prefix, start key and page size are taken from the query string.
    pub fn list_page(&self, query: &str) -> HttpResponse {
        let field = |name: &str| query_field(query, name);
        let prefix = field("prefix").unwrap_or_default();
        let from = field("from").unwrap_or_default().to_owned();
        let page = field("page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(MAX_PAGE_ITEMS).min(MAX_PAGE_ITEMS);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        let mut with_prefix = self
            .entries
            .range(after)
            .filter(|(k, _)| k.starts_with(prefix));
        let items: Vec<Value> = with_prefix
            .by_ref()
            .take(page)
            .map(|(k, (data, version))| json!({"k": k, "data": data, "stamp": version}))
            .collect();
        let more = with_prefix.next().is_some();
        HttpResponse::json(
            200,
            &json!({"items": items, "more": more, "epoch": self.revision}),
        )
    }

    /// Returns the changes after a revision, oldest first.
    pub fn changes_since(&self, revision: u64) -> impl Iterator<Item = &Value> {
        let first = self.changes.partition_point(|(at, _)| *at <= revision);
        self.changes[first..].iter().map(|(_, change)| change)
    }

    /// Returns the value and version of a key, or status 404 with the current revision if the key does not exist.
    pub fn get(&self, key: &str) -> HttpResponse {
        match self.entries.get(key) {
            Some((data, version)) => {
                HttpResponse::json(200, &json!({"k": key, "data": data, "stamp": version}))
            }
            None => HttpResponse::json(404, &json!({"epoch": self.revision})),
        }
    }
}

/// Handles one request to the store, subject to the injected failures.
///
/// A watch is answered at once with the whole change history instead of the changes after the requested revision.
/// Clients have to ignore changes that they have already applied.
pub fn handle_request(keys: &RefCell<KeyValueStore>, request: &HttpRequest) -> HttpResponse {
    let mut keys = keys.borrow_mut();
    let is_watch = request.path == "/watch";
    match keys.failure_mode {
        Some(FailureMode::Unavailable) => return HttpResponse::error(503, "trouble"),
        Some(FailureMode::RateLimited) => return HttpResponse::error(429, "too many"),
        Some(FailureMode::ResponsesLost) => return HttpResponse::error(500, "lost"),
        Some(FailureMode::Malformed) => return HttpResponse::json(200, &json!({"odd": [1]})),
        Some(FailureMode::Compacted) if is_watch => return HttpResponse::error(410, "too old"),
        Some(FailureMode::Compacted) | None => {}
    }
    match (request.method, request.path.as_str()) {
        (Method::Post, "/txn") => {
            let response = keys.handle_transaction(serde_json::from_slice(&request.body).unwrap());
            if keys.responses_to_lose == 0 {
                return response;
            }
            keys.responses_to_lose -= 1;
            HttpResponse::error(500, "lost")
        }
        (Method::Post, "/holds") => {
            keys.last_lease += 1;
            HttpResponse::json(200, &json!({"tenure": keys.last_lease}))
        }
        (Method::Delete, path) => {
            let lease = path.trim_start_matches("/holds/").parse().unwrap();
            keys.end_lease(lease)
        }
        (Method::Post, _) => HttpResponse::json(200, &json!({})),
        (Method::Get, "/keys") => keys.list_page(&request.query),
        (Method::Get, "/watch") => {
            let last_visible = keys.watch_stops_at.unwrap_or(keys.revision);
            let visible = keys.changes.iter().filter(|(at, _)| *at <= last_visible);
            let news: Vec<&Value> = visible.map(|(_, change)| change).collect();
            HttpResponse::json(200, &json!({"epoch": last_visible, "news": news}))
        }
        (Method::Get, path) => keys.get(path.trim_start_matches("/keys/")),
        _ => HttpResponse::error(400, "odd"),
    }
}
