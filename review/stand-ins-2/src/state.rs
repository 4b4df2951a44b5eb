//! The state service: keys with versions, transactions, leases and watches, in memory.

use crate::http::{Request, serve};
use crate::json::Json;
use crate::rec;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Item {
    value: Json,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A token bucket of one second's worth.
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, n: f64) -> bool {
        let gained = self.at.elapsed().as_secs_f64() * self.rate;
        self.at = Instant::now();
        self.level = (self.level + gained).min(self.rate);
        if self.level < n {
            return false;
        }
        self.level -= n;
        true
    }
}

struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: VecDeque<(u64, String, Json)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    /// While set, every request is refused with 503 and open watches stay open.
    out: bool,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    limits: Limits,
}

type Answer = (u16, String);

fn answer(status: u16, body: Json) -> Answer {
    (status, body.to_string())
}

impl State {
    pub fn start(limits: Limits) -> (Arc<State>, SocketAddr) {
        let inner = Inner {
            revision: 0,
            items: BTreeMap::new(),
            changes: VecDeque::new(),
            leases: HashMap::new(),
            last_lease: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            out: false,
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            limits,
        });
        let s = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                s.end_leases();
            }
        });
        let s = state.clone();
        let addr = serve(Arc::new(move |request| s.handle(request)));
        (state, addr)
    }

    /// Begins or ends an outage. When it ends, every lease has its full time again.
    #[allow(dead_code)]
    pub fn set_out(&self, out: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.out = out;
        if !out {
            for lease in inner.leases.values_mut() {
                lease.ends = Instant::now() + lease.ttl;
            }
        }
        drop(inner);
        self.changed.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<Json> {
        let inner = self.inner.lock().unwrap();
        inner.items.get(key).map(|i| i.value.clone())
    }

    fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.out {
            return;
        }
        let now = Instant::now();
        let ended = inner.leases.iter().filter(|(_, l)| l.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            inner.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, r: &Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if inner.out {
            return (503, "{}".into());
        }
        if !inner.requests.take(1.0) {
            return (429, "{}".into());
        }
        let path: Vec<&str> = r.path.trim_matches('/').split('/').collect();
        let body = Json::parse(&r.body).unwrap_or(Json::Null);
        match (r.method.as_str(), path.as_slice()) {
            ("POST", ["txn"]) => {
                let result = inner.transaction(&body, &self.limits);
                self.changed.notify_all();
                result
            }
            ("GET", ["keys"]) => inner.list(r),
            ("GET", ["keys", ..]) => inner.read(&r.path["/keys/".len()..]),
            ("POST", ["holds"]) => {
                let Some(ttl) = body
                    .get("ttlMs")
                    .u64()
                    .filter(|t| (100..=600_000).contains(t))
                else {
                    return (400, "{}".into());
                };
                inner.last_lease += 1;
                let id = inner.last_lease;
                let ttl = Duration::from_millis(ttl);
                let ends = Instant::now() + ttl;
                inner.leases.insert(id, Lease { ttl, ends });
                answer(200, Json::obj([("tenure", Json::num(id))]))
            }
            ("POST", ["holds", id, "extend"]) => {
                match id
                    .parse()
                    .ok()
                    .and_then(|id: u64| inner.leases.get_mut(&id))
                {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", ["holds", id]) => {
                let id: u64 = id.parse().unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    return (404, "{}".into());
                }
                inner.end_lease(id);
                self.changed.notify_all();
                (200, "{}".into())
            }
            ("GET", ["watch"]) => {
                let prefix = r.query_field("prefix").unwrap_or("").to_owned();
                let from: u64 = r
                    .query_field("from")
                    .and_then(|f| f.parse().ok())
                    .unwrap_or(0);
                let wait = r
                    .query_field("waitMs")
                    .and_then(|f| f.parse().ok())
                    .unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(u64::min(wait, 60_000));
                loop {
                    if !inner.out {
                        let oldest = inner.changes.front().map_or(0, |c| c.0);
                        if inner.changes.len() >= KEPT_CHANGES && from + 1 < oldest {
                            return (410, "{}".into());
                        }
                        let is_news =
                            |c: &&(u64, String, Json)| c.0 > from && c.1.starts_with(&prefix);
                        let news: Vec<Json> = inner
                            .changes
                            .iter()
                            .filter(is_news)
                            .map(|c| c.2.clone())
                            .collect();
                        if !news.is_empty() || Instant::now() >= deadline {
                            let epoch = Json::num(inner.revision);
                            return answer(
                                200,
                                Json::obj([("epoch", epoch), ("news", Json::Arr(news))]),
                            );
                        }
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    let left = left.clamp(Duration::from_millis(5), Duration::from_millis(200));
                    inner = self.changed.wait_timeout(inner, left).unwrap().0;
                }
            }
            _ => (400, "{}".into()),
        }
    }
}

impl Inner {
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, i)| i.lease == Some(id));
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Json::obj([
                ("delete", Json::str(key)),
                ("stamp", Json::num(self.revision)),
            ]);
            self.note(key, event);
        }
    }

    fn note(&mut self, key: &str, event: Json) {
        self.changes
            .push_back((self.revision, key.to_owned(), event));
        while self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn transaction(&mut self, body: &Json, limits: &Limits) -> Answer {
        let (when, writes) = (body.get("when").items(), body.get("writes").items());
        let size: usize = body.to_string().len();
        let too_large = writes
            .iter()
            .find(|w| w.get("data").to_string().len() > limits.value_bytes);
        if let Some(w) = too_large {
            let bytes = w.get("data").to_string().len();
            let key = w.get("write").text().unwrap_or_default();
            rec!("state: 400 for a transaction: the value of {key} has {bytes} bytes");
        }
        if writes.len() > limits.txn_ops
            || when.len() > 4 * limits.txn_ops
            || size > 64 * 1024
            || too_large.is_some()
        {
            return (400, "{\"error\":\"too large\"}".into());
        }
        let named = |w: &Json| w.get("write").text().or(w.get("delete").text()).is_some();
        if !writes.iter().all(named) || !when.iter().all(|c| c.get("k").text().is_some()) {
            return (400, "{\"error\":\"malformed\"}".into());
        }
        if !self.writes.take(writes.len() as f64) {
            return (429, "{}".into());
        }
        for w in writes {
            if let Some(lease) = w.get("tenure").u64()
                && !self.leases.contains_key(&lease)
            {
                return (400, "{\"error\":\"no such lease\"}".into());
            }
        }
        let failed = when.iter().filter_map(|c| {
            let key = c.get("k").text()?;
            let version = self.items.get(key).map_or(0, |i| i.version);
            (Some(version) != c.get("stamp").u64()).then(|| Json::str(key))
        });
        let failed: Vec<Json> = failed.collect::<BTreeSet<_>>().into_iter().collect();
        if !failed.is_empty() {
            let epoch = Json::num(self.revision);
            return answer(
                409,
                Json::obj([("failed", Json::Arr(failed)), ("epoch", epoch)]),
            );
        }
        if !writes.is_empty() {
            self.revision += 1;
        }
        for w in writes {
            if let Some(key) = w.get("delete").text() {
                self.delete(key);
            } else if let Some(key) = w.get("write").text() {
                let value = w.get("data").clone();
                let event = Json::obj([
                    ("write", Json::str(key)),
                    ("data", value.clone()),
                    ("stamp", Json::num(self.revision)),
                ]);
                let item = Item {
                    value,
                    version: self.revision,
                    lease: w.get("tenure").u64(),
                };
                self.items.insert(key.to_owned(), item);
                self.note(key, event);
            }
        }
        answer(200, Json::obj([("epoch", Json::num(self.revision))]))
    }

    fn read(&self, key: &str) -> Answer {
        match self.items.get(key) {
            Some(item) => {
                let lease = item.lease.map_or(Json::Null, Json::num);
                let body = Json::obj([
                    ("k", Json::str(key)),
                    ("data", item.value.clone()),
                    ("stamp", Json::num(item.version)),
                    ("tenure", lease),
                ]);
                answer(200, body)
            }
            None => answer(404, Json::obj([("epoch", Json::num(self.revision))])),
        }
    }

    fn list(&self, r: &Request) -> Answer {
        let prefix = r.query_field("prefix").unwrap_or("");
        let from = r.query_field("from").unwrap_or("");
        let page: usize = r
            .query_field("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1_000);
        let after = if from.is_empty() {
            Bound::Included(prefix.to_owned())
        } else {
            Bound::Excluded(from.to_owned())
        };
        let range = self.items.range((after, Bound::Unbounded));
        let mut matching = range.filter(|(k, _)| k.starts_with(prefix)).peekable();
        let (mut items, mut size) = (Vec::new(), 0);
        while let Some((key, item)) = matching.peek() {
            size += key.len() + item.value.to_string().len() + 40;
            if items.len() >= page.min(1_000) || (size > 500 * 1024 && !items.is_empty()) {
                break;
            }
            items.push(Json::obj([
                ("k", Json::str(key.as_str())),
                ("data", item.value.clone()),
                ("stamp", Json::num(item.version)),
            ]));
            matching.next();
        }
        let more = Json::Bool(matching.peek().is_some());
        let epoch = Json::num(self.revision);
        answer(
            200,
            Json::obj([
                ("items", Json::Arr(items)),
                ("more", more),
                ("epoch", epoch),
            ]),
        )
    }
}
