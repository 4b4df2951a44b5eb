//! The state service's client: typed answers, deadlines and a share of the common budget.

use crate::clock::{Clock, sleep};
use crate::http::{Client, HttpError};
use crate::units::Micros;
use event_listener::Event as EventListeners;
use futures_lite::FutureExt;
use http_types::Method;
use ravenhead_recovery::{Evidence, Expected, RevisionWatch};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use thiserror::Error;

/// Most bytes of the changes in a transaction of 64 KiB, which leaves room for its conditions.
pub const MAX_BATCH_BYTES: usize = 36 * 1024;
/// How long a request may take before its outcome counts as unknown.
const CALL_TIMEOUT: Micros = Micros::millis(1_500);
/// A transaction without an answer is sent again after this at the least; answers normally take a few milliseconds.
const MIN_RETRANSMIT: Micros = Micros::millis(400);
/// How long a watch may take beyond the time it asked for.
const WATCH_MARGIN: Micros = Micros::secs(2);

/// Why the state service did not do what was asked.
#[derive(Debug, Error)]
pub enum KvError {
    /// Certainly not executed: 429, 503 or no connection.
    #[error("refused: {0}")]
    Refused(String),
    /// May have been executed, or may be later.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The lease named has ended.
    #[error("no such lease")]
    NoLease,
    /// The watch began too far back.
    #[error("watch too old")]
    TooOld,
    /// An answer that makes no sense.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// A condition of a transaction: the key's version, 0 where it must not exist.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// The key must not exist.
    pub fn absent(key: String) -> Condition {
        Condition { key, version: 0 }
    }
}

/// A change within a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease it hangs on.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// Writes a key that hangs on no lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(u64),
    /// Not applied: these keys were at other versions.
    Conflict(Vec<String>),
}

/// A key with its value and version.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The keys, in order.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub more: bool,
    /// The revision that the page describes.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change seen by a watch.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// The version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// What a watch answered.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// All changes up to this revision are told.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes in order.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

#[derive(Deserialize)]
struct Revision {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
    #[serde(rename = "epoch")]
    revision: Option<u64>,
}

#[derive(Deserialize)]
struct Lease {
    #[serde(rename = "tenure")]
    id: u64,
}

/// How urgent a request is when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Lease renewals, elections, submissions, cancellations: never held back.
    Now,
    /// Everything else: waits for its share.
    Paced,
}

/// A token bucket holding one second's worth.
struct TokenBucket {
    per_second: f64,
    level: Cell<f64>,
    filled: Cell<Micros>,
}

impl TokenBucket {
    fn new(per_second: f64) -> TokenBucket {
        TokenBucket {
            per_second,
            level: Cell::new(per_second),
            filled: Cell::new(Clock.now()),
        }
    }

    /// Takes `n`, perhaps below zero, and says how long to wait until it would not be.
    fn take(&self, n: f64) -> Micros {
        let now = Clock.now();
        let gained = now.since(self.filled.get()).as_secs_f64() * self.per_second;
        self.filled.set(now);
        // Debt is bounded so that a burst of urgent requests can't starve the paced ones for long.
        let level = (self.level.get() + gained).min(self.per_second) - n;
        self.level.set(level.max(-self.per_second));
        Micros::from_secs_f64(-level / self.per_second)
    }
}

/// How long answers take of late, smoothed as TCP smooths its round-trip time, and when to give up waiting for one.
///
/// Guards against a slow service that is asked everything twice: its answers would take longer still, and the budget of
/// requests and changes would be used up by copies.
#[derive(Debug, Default)]
pub struct RetransmitTimer {
    smoothed: Micros,
    variation: Micros,
}

impl RetransmitTimer {
    /// An answer came after this time.
    pub fn observe(&mut self, took: Micros) {
        if self.smoothed == Micros::ZERO {
            self.smoothed = took;
            self.variation = took.scaled(1, 2);
            return;
        }
        let difference = took.since(self.smoothed).max(self.smoothed.since(took));
        self.variation = self.variation.scaled(3, 4) + difference.scaled(1, 4);
        self.smoothed = self.smoothed.scaled(7, 8) + took.scaled(1, 8);
    }

    /// How long to wait for an answer before a transaction is sent again.
    pub fn retransmit_after(&self) -> Micros {
        (self.smoothed + self.variation.scaled(4, 1)).max(MIN_RETRANSMIT)
    }
}

/// The state service as one controller sees it.
pub struct KvClient {
    client: Client,
    /// Watches stay open for long: they have connections of their own.
    watcher: Client,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    response_time: RefCell<RetransmitTimer>,
    /// Whether it is looked for evidence that stored state was lost, so that it can be rebuilt.
    detects_loss: bool,
    revisions: RefCell<RevisionWatch>,
    evidence: RefCell<Option<Evidence>>,
    /// Fires when there is evidence that stored state was lost.
    pub loss_found: EventListeners,
}

impl KvClient {
    /// A client with its share of the budget, which looks for evidence of a loss or does not.
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, detects_loss: bool) -> KvClient {
        KvClient {
            client: Client::new(addr),
            watcher: Client::new(addr),
            requests: RefCell::new(TokenBucket::new(rps)),
            writes: RefCell::new(TokenBucket::new(write_rps)),
            response_time: RefCell::default(),
            detects_loss,
            revisions: RefCell::default(),
            evidence: RefCell::default(),
            loss_found: EventListeners::new(),
        }
    }

    /// An answer told the revision as of which it was given.
    fn observe_revision(&self, expected: Expected, revision: u64) {
        if !self.detects_loss {
            return;
        }
        let evidence = self.revisions.borrow_mut().answered(expected, revision);
        if let Some(evidence) = evidence {
            self.report_loss(evidence);
        }
    }

    /// Whether it is looked for evidence that stored state was lost.
    pub fn detects_loss(&self) -> bool {
        self.detects_loss
    }

    /// There is evidence that stored state was lost; the first counts until it is dealt with.
    pub fn report_loss(&self, evidence: Evidence) {
        self.evidence.borrow_mut().get_or_insert(evidence);
        self.loss_found.notify(usize::MAX);
    }

    /// Whether there is evidence of a loss that was not dealt with.
    pub fn has_evidence(&self) -> bool {
        self.evidence.borrow().is_some()
    }

    /// The evidence of a loss, to be dealt with: revisions count anew from now on.
    pub fn take_evidence(&self) -> Option<Evidence> {
        let evidence = self.evidence.borrow_mut().take()?;
        self.revisions.borrow_mut().reset();
        Some(evidence)
    }

    /// Changes the share, as leading takes more of it than following.
    pub fn set_share(&self, rps: f64, write_rps: f64) {
        self.requests.borrow_mut().per_second = rps;
        self.writes.borrow_mut().per_second = write_rps;
    }

    /// Whether the share of writes is more than half used up, so that what matters less should wait.
    pub fn writes_are_short(&self) -> bool {
        let writes = self.writes.borrow();
        writes.take(0.0);
        writes.level.get() < writes.per_second / 2.0
    }

    async fn pace(&self, urgency: Urgency, writes: usize) {
        let wait = self
            .requests
            .borrow()
            .take(1.0)
            .max(self.writes.borrow().take(writes as f64));
        if urgency == Urgency::Paced && wait > Micros::ZERO {
            sleep(wait).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), KvError> {
        let began = Clock.now();
        match self.client.call(method, path, body, CALL_TIMEOUT).await {
            Ok((status, bytes)) => {
                let took = Clock.now().since(began);
                self.response_time.borrow_mut().observe(took);
                classify_status(status, bytes)
            }
            Err(e) => {
                self.client.forget_idle();
                Err(http_to_kv_error(e))
            }
        }
    }

    /// Applies a transaction if its conditions hold.
    pub async fn txn(
        &self,
        urgency: Urgency,
        when: &[Condition],
        writes: &[Change],
    ) -> Result<Outcome, KvError> {
        self.pace(urgency, writes.len()).await;
        let body = serde_json::json!({ "when": when, "writes": writes });
        let expected = self.revisions.borrow().begin();
        let (status, bytes) = self
            .call(Method::Post, "/txn", Some(encode(&body)?))
            .await?;
        match status {
            200 => {
                let revision = parse::<Revision>(&bytes)?.revision;
                self.observe_revision(expected, revision);
                Ok(Outcome::Applied(revision))
            }
            409 => {
                let failed = parse::<Failed>(&bytes)?;
                if let Some(revision) = failed.revision {
                    self.observe_revision(expected, revision);
                }
                Ok(Outcome::Conflict(failed.failed))
            }
            _ => Err(unexpected_status(status, &bytes)),
        }
    }

    /// The same, sent a second time where the first stays without an answer for a while; says whether it was.
    ///
    /// Guards against a lost answer that holds up a user, or a scheduling cycle, for as long as a request may take. Of two copies
    /// that both arrive the later one fails, if the conditions name a key that the first changed.
    pub async fn txn_with_retransmit(
        &self,
        when: &[Condition],
        writes: &[Change],
    ) -> (Result<Outcome, KvError>, bool) {
        let again = Cell::new(false);
        let first = Box::pin(self.txn(Urgency::Now, when, writes));
        let second = Box::pin(async {
            let wait = self.response_time.borrow().retransmit_after();
            sleep(wait).await;
            again.set(true);
            self.txn(Urgency::Now, when, writes).await
        });
        (first.or(second).await, again.get())
    }

    /// One key, or the current revision where it does not exist.
    pub async fn get(&self, urgency: Urgency, key: &str) -> Result<Result<Item, u64>, KvError> {
        self.pace(urgency, 0).await;
        let expected = self.revisions.borrow().begin();
        let (status, bytes) = self
            .call(Method::Get, &format!("/keys/{key}"), None)
            .await?;
        match status {
            200 => Ok(Ok(parse(&bytes)?)),
            404 => {
                let revision = parse::<Revision>(&bytes)?.revision;
                self.observe_revision(expected, revision);
                Ok(Err(revision))
            }
            _ => Err(unexpected_status(status, &bytes)),
        }
    }

    /// A page of the keys with a prefix, beginning after `from`.
    pub async fn list(&self, prefix: &str, from: &str) -> Result<Page, KvError> {
        self.pace(Urgency::Paced, 0).await;
        let mut path = format!("/keys?prefix={prefix}&page=1000");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let expected = self.revisions.borrow().begin();
        let (status, bytes) = self.call(Method::Get, &path, None).await?;
        match status {
            200 => {
                let page: Page = parse(&bytes)?;
                self.observe_revision(expected, page.revision);
                Ok(page)
            }
            _ => Err(unexpected_status(status, &bytes)),
        }
    }

    /// Waits for changes after `from`.
    pub async fn watch(
        &self,
        prefix: &str,
        from: u64,
        wait: Micros,
    ) -> Result<WatchResponse, KvError> {
        self.pace(Urgency::Paced, 0).await;
        let path = format!(
            "/watch?prefix={prefix}&from={from}&waitMs={}",
            wait.as_millis()
        );
        let expected = self.revisions.borrow().begin();
        let answer = self
            .watcher
            .call(Method::Get, &path, None, wait + WATCH_MARGIN)
            .await
            .map_err(http_to_kv_error)?;
        match classify_status(answer.0, answer.1)? {
            (200, bytes) => {
                let response: WatchResponse = parse(&bytes)?;
                self.observe_revision(expected, response.revision);
                Ok(response)
            }
            (410, _) => Err(KvError::TooOld),
            (status, bytes) => Err(unexpected_status(status, &bytes)),
        }
    }

    /// A new lease.
    pub async fn grant(&self, ttl: Micros) -> Result<u64, KvError> {
        self.pace(Urgency::Now, 0).await;
        let body = serde_json::json!({ "ttlMs": ttl.as_millis() });
        let (status, bytes) = self
            .call(Method::Post, "/holds", Some(encode(&body)?))
            .await?;
        match status {
            200 => Ok(parse::<Lease>(&bytes)?.id),
            _ => Err(unexpected_status(status, &bytes)),
        }
    }

    /// Renews a lease.
    pub async fn extend(&self, lease: u64) -> Result<(), KvError> {
        self.pace(Urgency::Now, 0).await;
        let path = format!("/holds/{lease}/extend");
        let (status, bytes) = self.call(Method::Post, &path, None).await?;
        match status {
            200 => Ok(()),
            404 => Err(KvError::NoLease),
            _ => Err(unexpected_status(status, &bytes)),
        }
    }

    /// Ends a lease at once.
    pub async fn revoke(&self, lease: u64) -> Result<(), KvError> {
        self.pace(Urgency::Now, 0).await;
        let path = format!("/holds/{lease}");
        match self.call(Method::Delete, &path, None).await?.0 {
            200..=299 | 404 => Ok(()),
            status => Err(unexpected_status(status, &[])),
        }
    }
}

fn classify_status(status: u16, bytes: Vec<u8>) -> Result<(u16, Vec<u8>), KvError> {
    match status {
        429 | 503 => Err(KvError::Refused(format!("status {status}"))),
        400 if String::from_utf8_lossy(&bytes).contains("no such lease") => Err(KvError::NoLease),
        500..=599 => Err(KvError::Unknown(format!("status {status}"))),
        _ => Ok((status, bytes)),
    }
}

fn http_to_kv_error(e: HttpError) -> KvError {
    match e {
        HttpError::NotSent(e) => KvError::Refused(e),
        HttpError::NoAnswer(e) => KvError::Unknown(e),
    }
}

fn encode(value: &Value) -> Result<Vec<u8>, KvError> {
    serde_json::to_vec(value).map_err(|e| KvError::Malformed(e.to_string()))
}

fn parse<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(bytes).map_err(|e| KvError::Malformed(e.to_string()))
}

fn unexpected_status(status: u16, bytes: &[u8]) -> KvError {
    let text: String = String::from_utf8_lossy(bytes).chars().take(200).collect();
    KvError::Malformed(format!("status {status} {text}"))
}

#[cfg(test)]
mod tests;
