//! The client's connections, and the code shared by all requests.

use super::budget::RequestBudget;
use super::error::KvError;
use super::loss_detector::LossDetector;
use super::response::Response;
use super::retransmit::RetransmitTimer;
use crate::clock::Clock;
use crate::http::Client;
use crate::units::Micros;
use http_types::Method;
use ravenhead_recovery::Evidence;
use std::cell::RefCell;
use std::net::SocketAddr;

/// Timeout of a request other than a watch; the outcome of a request that times out is unknown.
const CALL_TIMEOUT: Micros = Micros::millis(1_500);

/// A controller's client of the key-value store.
///
/// The requests are implemented in the modules of the types that they return: `transaction`, `items` (reads), `watch`
/// and `lease`.
pub struct KvClient {
    client: Client,
    /// Separate connections for watches, which keep a connection occupied for seconds.
    pub(super) watcher: Client,
    pub(super) budget: RequestBudget,
    pub(super) retransmit_timer: RefCell<RetransmitTimer>,
    pub(super) loss_detector: LossDetector,
}

impl KvClient {
    /// Creates a client limited to `rps` requests and `write_rps` key changes per second.
    ///
    /// If `detects_loss` is set, the client compares the revisions of responses to detect a loss of stored state.
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, detects_loss: bool) -> KvClient {
        KvClient {
            client: Client::new(addr),
            watcher: Client::new(addr),
            budget: RequestBudget::new(rps, write_rps),
            retransmit_timer: RefCell::default(),
            loss_detector: LossDetector::new(detects_loss),
        }
    }

    /// Returns whether the client detects losses of stored state, so that the state can be rebuilt.
    pub fn detects_loss(&self) -> bool {
        self.loss_detector.is_enabled()
    }

    /// Records evidence that stored state was lost, unless earlier evidence has not been taken yet.
    pub fn report_loss(&self, evidence: Evidence) {
        self.loss_detector.report(evidence);
    }

    /// Returns whether there is evidence of a loss that has not been taken.
    pub fn has_evidence(&self) -> bool {
        self.loss_detector.has_evidence()
    }

    /// Takes the evidence of a loss for handling, and forgets the revisions known from before it.
    pub fn take_evidence(&self) -> Option<Evidence> {
        self.loss_detector.take()
    }

    /// Waits until there is evidence of a loss.
    pub async fn wait_for_evidence(&self) {
        self.loss_detector.wait().await;
    }

    /// Changes the request budget to `rps` requests and `write_rps` key changes per second; a leader needs a larger
    /// share than a follower.
    pub fn set_rate_limits(&self, rps: f64, write_rps: f64) {
        self.budget.set_rates(rps, write_rps);
    }

    /// Returns whether less than half of the write budget is available, so that low-priority writes should be deferred.
    pub fn is_write_budget_below_half(&self) -> bool {
        self.budget.is_write_budget_below_half()
    }

    /// Sends a request other than a watch, and records its response time.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, KvError> {
        let sent_at = Clock.now();
        let result = self.client.call(method, path, body, CALL_TIMEOUT).await;
        if result.is_ok() {
            let response_time = Clock.now().since(sent_at);
            self.retransmit_timer.borrow_mut().observe(response_time);
        } else {
            self.client.close_idle_connections();
        }
        Response::classify(result)
    }
}
