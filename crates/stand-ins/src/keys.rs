//! A stand-in for the state service: its keys and leases by the published protocol, and how it fails.

use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// How the stand-in for the state service fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Every request is refused.
    Down,
    /// Every request is one too many.
    Throttled,
    /// Every answer is lost.
    Lost,
    /// Answers make no sense.
    Garbled,
    /// Watches begin too far back.
    Forgetful,
}

/// A small key-value store by the published protocol.
#[derive(Default)]
pub struct Keys {
    /// The revision of the last change.
    pub epoch: u64,
    /// Values with the revisions of their last change.
    pub keys: BTreeMap<String, (Value, u64)>,
    /// All changes with their revisions.
    pub news: Vec<(u64, Value)>,
    /// How it fails.
    pub trouble: Option<Trouble>,
    /// Watches tell nothing after this revision.
    pub held_at: Option<u64>,
    /// The last lease granted, and which keys hang on which.
    pub leases: u64,
    /// Keys that hang on leases.
    pub hanging: BTreeMap<String, u64>,
    /// Transactions are applied, but their answers are lost.
    pub losing: usize,
    /// Every second transaction gets no answer and is carried out after some newer ones; those that wait.
    pub late: Option<Vec<Value>>,
    /// How many transactions were asked for.
    pub asked: usize,
    /// Leases that have ended.
    pub ended: BTreeSet<u64>,
}

/// Most items of one page.
const MOST_ITEMS: usize = 1_000;

/// A field of a request's query.
pub fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(n, _)| *n == name).map(|(_, value)| value)
}

/// How many transactions without an answer wait before the oldest is carried out.
pub const LATE_KEPT: usize = 4;

impl Keys {
    /// Applies a transaction if its conditions hold.
    pub fn txn(&mut self, body: &Value) -> HttpResponse {
        let stamp = |keys: &Keys, k: &str| keys.keys.get(k).map_or(0, |(_, s)| *s);
        let when = body["when"].as_array().cloned().unwrap_or_default();
        let failed: Vec<&str> = when
            .iter()
            .filter(|c| stamp(self, c["k"].as_str().unwrap()) != c["stamp"].as_u64().unwrap())
            .map(|c| c["k"].as_str().unwrap())
            .collect();
        if !failed.is_empty() {
            return HttpResponse::json(409, &json!({"failed": failed, "epoch": self.epoch}));
        }
        let mut writes = body["writes"].as_array().unwrap().iter();
        if writes.any(|w| {
            w["tenure"]
                .as_u64()
                .is_some_and(|l| self.ended.contains(&l))
        }) {
            return HttpResponse::error(400, "no such lease");
        }
        self.epoch += 1;
        for write in body["writes"].as_array().unwrap() {
            let mut event = write.clone();
            event["stamp"] = json!(self.epoch);
            if let Some(key) = write["write"].as_str() {
                let value = (write["data"].clone(), self.epoch);
                self.keys.insert(key.to_owned(), value);
                if let Some(lease) = write["tenure"].as_u64() {
                    self.hanging.insert(key.to_owned(), lease);
                }
            } else if let Some(key) = write["delete"].as_str() {
                self.keys.remove(key);
            }
            self.news.push((self.epoch, event));
        }
        HttpResponse::json(200, &json!({"epoch": self.epoch}))
    }

    /// Everything is lost: keys, leases and revisions.
    pub fn lose_all(&mut self) {
        self.epoch = 0;
        self.keys.clear();
        self.news.clear();
        self.hanging.clear();
        self.ended = (0..=self.leases).collect();
    }

    /// The keys with a prefix are lost, and no watch tells of it.
    pub fn lose_prefix(&mut self, prefix: &str) {
        self.keys.retain(|key, _| !key.starts_with(prefix));
    }

    /// All is as it was at an earlier revision, with all leases ended.
    pub fn roll_back(&mut self, revision: u64) {
        let kept = self.news.partition_point(|(epoch, _)| *epoch <= revision);
        let news: Vec<(u64, Value)> = self.news.drain(..kept).collect();
        let mut hanging = BTreeSet::new();
        self.lose_all();
        for (epoch, change) in &news {
            if let Some(key) = change["write"].as_str() {
                let value = (change["data"].clone(), *epoch);
                self.keys.insert(key.to_owned(), value);
                if change["tenure"].is_u64() {
                    hanging.insert(key.to_owned());
                }
            } else if let Some(key) = change["delete"].as_str() {
                self.keys.remove(key);
            }
        }
        self.epoch = revision;
        self.news = news;
        for key in hanging {
            self.keys.remove(&key);
        }
    }

    /// Carries a transaction out, or puts it aside in favour of one that was put aside before.
    pub fn take(&mut self, body: Value) -> HttpResponse {
        self.asked += 1;
        let asked = self.asked;
        let Some(late) = &mut self.late else {
            return self.txn(&body);
        };
        if asked.is_multiple_of(2) {
            return self.txn(&body);
        }
        late.push(body);
        if late.len() > LATE_KEPT {
            let oldest = late.remove(0);
            self.txn(&oldest);
        }
        HttpResponse::error(500, "lost")
    }

    /// A lease ends, and what hangs on it goes.
    pub fn end(&mut self, lease: u64) -> HttpResponse {
        self.ended.insert(lease);
        let hang = self.hanging.iter().filter(|(_, l)| **l == lease);
        let keys: Vec<String> = hang.map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.hanging.remove(&key);
            self.keys.remove(&key);
            self.epoch += 1;
            let gone = json!({"delete": key, "stamp": self.epoch});
            self.news.push((self.epoch, gone));
        }
        HttpResponse::json(200, &json!({}))
    }

    /// A page of the keys with a prefix, as the query of a request asks for it.
    pub fn list(&self, query: &str) -> HttpResponse {
        let field = |name: &str| query_field(query, name);
        let prefix = field("prefix").unwrap_or_default();
        let from = field("from").unwrap_or_default().to_owned();
        let page = field("page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(MOST_ITEMS).min(MOST_ITEMS);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        let mut with_prefix = self
            .keys
            .range(after)
            .filter(|(k, _)| k.starts_with(prefix));
        let items: Vec<Value> = with_prefix
            .by_ref()
            .take(page)
            .map(|(k, (data, stamp))| json!({"k": k, "data": data, "stamp": stamp}))
            .collect();
        let more = with_prefix.next().is_some();
        HttpResponse::json(
            200,
            &json!({"items": items, "more": more, "epoch": self.epoch}),
        )
    }

    /// The changes after a revision.
    pub fn news_since(&self, revision: u64) -> impl Iterator<Item = &Value> {
        let first = self.news.partition_point(|(epoch, _)| *epoch <= revision);
        self.news[first..].iter().map(|(_, news)| news)
    }

    /// One key, or the present revision where it does not exist.
    pub fn get(&self, key: &str) -> HttpResponse {
        match self.keys.get(key) {
            Some((data, stamp)) => {
                HttpResponse::json(200, &json!({"k": key, "data": data, "stamp": stamp}))
            }
            None => HttpResponse::json(404, &json!({"epoch": self.epoch})),
        }
    }
}

/// The stand-in answers a watch at once with all that it has: what was seen already is harmless.
pub fn answer(keys: &RefCell<Keys>, call: &HttpRequest) -> HttpResponse {
    let mut keys = keys.borrow_mut();
    let watched = call.path == "/watch";
    match keys.trouble {
        Some(Trouble::Down) => return HttpResponse::error(503, "trouble"),
        Some(Trouble::Throttled) => return HttpResponse::error(429, "too many"),
        Some(Trouble::Lost) => return HttpResponse::error(500, "lost"),
        Some(Trouble::Garbled) => return HttpResponse::json(200, &json!({"odd": [1]})),
        Some(Trouble::Forgetful) if watched => return HttpResponse::error(410, "too old"),
        Some(Trouble::Forgetful) | None => {}
    }
    match (call.method, call.path.as_str()) {
        (Method::Post, "/txn") => {
            let reply = keys.take(serde_json::from_slice(&call.body).unwrap());
            if keys.losing == 0 {
                return reply;
            }
            keys.losing -= 1;
            HttpResponse::error(500, "lost")
        }
        (Method::Post, "/holds") => {
            keys.leases += 1;
            HttpResponse::json(200, &json!({"tenure": keys.leases}))
        }
        (Method::Delete, path) => {
            let lease = path.trim_start_matches("/holds/").parse().unwrap();
            keys.end(lease)
        }
        (Method::Post, _) => HttpResponse::json(200, &json!({})),
        (Method::Get, "/keys") => keys.list(&call.query),
        (Method::Get, "/watch") => {
            let last = keys.held_at.unwrap_or(keys.epoch);
            let told = keys.news.iter().filter(|(epoch, _)| *epoch <= last);
            let news: Vec<&Value> = told.map(|(_, n)| n).collect();
            HttpResponse::json(200, &json!({"epoch": last, "news": news}))
        }
        (Method::Get, path) => keys.get(path.trim_start_matches("/keys/")),
        _ => HttpResponse::error(400, "odd"),
    }
}
