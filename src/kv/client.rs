//! The client's connections and the parts that every request goes through.

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

/// How long a request may take before its outcome counts as unknown.
const CALL_TIMEOUT: Micros = Micros::millis(1_500);

/// The state service as one controller sees it.
///
/// Requests stand beside what they return: transactions in `transaction`, reads in `items`, watches in `watch`, leases in
/// `lease`.
pub struct KvClient {
    client: Client,
    /// Watches stay open for long: they have connections of their own.
    pub(super) watcher: Client,
    pub(super) budget: RequestBudget,
    pub(super) response_time: RefCell<RetransmitTimer>,
    pub(super) loss_detector: LossDetector,
}

impl KvClient {
    /// A client with its share of the budget, in requests and changes per second, that looks for evidence of a loss of
    /// stored state if `detects_loss`.
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, detects_loss: bool) -> KvClient {
        KvClient {
            client: Client::new(addr),
            watcher: Client::new(addr),
            budget: RequestBudget::new(rps, write_rps),
            response_time: RefCell::default(),
            loss_detector: LossDetector::new(detects_loss),
        }
    }

    /// Returns whether the client looks for evidence that stored state was lost, so that it can be rebuilt.
    pub fn detects_loss(&self) -> bool {
        self.loss_detector.is_enabled()
    }

    /// Reports evidence that stored state was lost; the first counts until it is taken.
    pub fn report_loss(&self, evidence: Evidence) {
        self.loss_detector.report(evidence);
    }

    /// Returns whether there is evidence of a loss that was not taken yet.
    pub fn has_evidence(&self) -> bool {
        self.loss_detector.has_evidence()
    }

    /// Takes the evidence of a loss, to be dealt with: revisions count anew from now on.
    pub fn take_evidence(&self) -> Option<Evidence> {
        self.loss_detector.take()
    }

    /// Waits until there is evidence of a loss.
    pub async fn wait_for_evidence(&self) {
        self.loss_detector.wait().await;
    }

    /// Changes the share of the budget, as leading takes more of it than following.
    pub fn set_share(&self, rps: f64, write_rps: f64) {
        self.budget.set_rates(rps, write_rps);
    }

    /// Returns whether the share of changes is more than half used up, so that what matters less should wait.
    pub fn writes_are_short(&self) -> bool {
        self.budget.writes_are_short()
    }

    /// Sends a request other than a watch, and measures how long its response takes.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, KvError> {
        let sent_at = Clock.now();
        let result = self.client.call(method, path, body, CALL_TIMEOUT).await;
        if result.is_ok() {
            let took = Clock.now().since(sent_at);
            self.response_time.borrow_mut().observe(took);
        } else {
            self.client.close_idle_connections();
        }
        Response::classify(result)
    }
}
