//! The API for workers. Heartbeats are answered by the leader, whichever controller receives them.

use super::wire::{heartbeat_response, no_leader, redirect};
use super::worker_stats::{ResponseBasis, WorkerStats};
use crate::cancellation::CancellationService;
use crate::clock::Clock;
use crate::contacts::ContactTracker;
use crate::fencing::FencingToken;
use crate::futures::timeout;
use crate::http::{HttpRequest, HttpResponse};
use crate::membership::Membership;
use crate::peer::{Peer, PeerReply, PeerRequest};
use crate::scheduler::{AgentCommand, Heartbeat, TaskId, TaskState};
use crate::term::{CurrentTerm, LeaderTerm};
use crate::units::Micros;
use http_types::Method;
use log::{debug, warn};
use std::rc::Rc;

/// Timeout of one request that forwards a heartbeat, to the leader or to a controller that relays it.
const FORWARD_TIMEOUT: Micros = Micros::millis(1_000);
/// Timeout for all routes to the leader together. A worker waits 4 s for its response.
const TOTAL_FORWARD_TIMEOUT: Micros = Micros::millis(1_500);
/// Like [`TOTAL_FORWARD_TIMEOUT`], for a worker whose last heartbeats did not come here: its lease may be about to
/// expire.
const FIRST_CONTACT_TIMEOUT: Micros = Micros::millis(700);
/// Time during which the direct route to a controller is not tried after a failure.
const ROUTE_SUSPENSION: Micros = Micros::secs(3);

/// The response to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader that created the response.
    pub token: FencingToken,
    /// Commands that the worker has to execute.
    pub commands: Vec<AgentCommand>,
    /// Name of the controller to which the worker should send its heartbeats, or `None` if it should stay.
    pub redirect_to: Option<String>,
}

/// Handles heartbeats of workers, received directly or relayed by another controller.
///
/// Invariants: commands are sent under the leader's fencing token only while its lease is certain to be valid, except
/// those that stop cancelled tasks; no response carries a lower fencing token than the worker has already received.
pub struct WorkerApi {
    /// Source of monotonic time.
    pub clock: Clock,
    /// Reachability and cluster status of the other controllers.
    pub membership: Rc<Membership>,
    /// Connections to the other controllers.
    pub peers: Rc<Vec<Peer>>,
    /// Leader term of this controller, if it leads.
    pub current_term: Rc<CurrentTerm>,
    /// Workers whose heartbeats come to this controller.
    pub contacts: Rc<ContactTracker>,
    /// Cancellations that are known to this controller.
    pub cancellations: Rc<CancellationService>,
    /// Counts the responses, and by which right they were given.
    pub stats: WorkerStats,
}

impl WorkerApi {
    /// Handles an HTTP request from a worker.
    pub async fn answer(&self, request: &HttpRequest) -> HttpResponse {
        if request.method != Method::Post {
            return HttpResponse::error(405, "wrong method");
        }
        let heartbeat: Heartbeat = match serde_json::from_slice(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                warn!("event=invalid_heartbeat error={:?}", e.to_string());
                return HttpResponse::error(400, "malformed report");
            }
        };
        self.cancellations.on_heartbeat(&heartbeat);
        match self.answer_heartbeat(&heartbeat).await {
            Some(HeartbeatResponse {
                redirect_to: Some(other),
                ..
            }) => {
                self.stats.responses.increment(ResponseBasis::Redirected);
                redirect(&other)
            }
            // The worker would ignore a response with a lower token but keep sending here until its lease expires, so
            // it has to choose another controller.
            Some(response) if response.token < heartbeat.token => {
                self.stats.responses.increment(ResponseBasis::TokenBehind);
                no_leader()
            }
            Some(response) => heartbeat_response(response.token, &response.commands),
            None => self.answer_without_leader(&heartbeat),
        }
    }

    /// Returns the response when no leader can be reached. It redirects the worker or renews the worker's lease, so
    /// that its tasks keep running, but starts nothing. A worker that has received a higher fencing token than this
    /// controller knows has to choose another controller itself.
    fn answer_without_leader(&self, heartbeat: &Heartbeat) -> HttpResponse {
        let machine = heartbeat.machine.clone();
        if let Some(other) = self.contacts.redirect_target(&machine, &heartbeat.zone) {
            self.stats.responses.increment(ResponseBasis::Redirected);
            debug!("event=worker_redirected machine={machine} to={other}");
            return redirect(&other);
        }
        let token = self.membership.cluster_status().token;
        if token == FencingToken::NONE || token < heartbeat.token {
            self.stats.responses.increment(ResponseBasis::TokenBehind);
            return no_leader();
        }
        self.stats.responses.increment(ResponseBasis::WithoutLeader);
        self.contacts.record_contact(machine);
        heartbeat_response(token, &self.stop_commands_for_cancelled(heartbeat))
    }

    /// Returns the leader's response, from this controller or a remote one; `None` if there is none in time.
    async fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Option<HeartbeatResponse> {
        if let Some(term) = self.current_term.get() {
            // A leader may have lost contact with the key-value store and all other controllers while its workers
            // still reach it. Another one may lead by then, so the workers are redirected as they are by any isolated
            // controller.
            let may_be_deposed =
                self.membership.is_isolated() && !term.may_send_commands(self.clock.now());
            let response = self.answer_as_leader(&term, heartbeat, "").await;
            return response.filter(|_| !may_be_deposed);
        }
        let own_node = self.membership.node().to_owned();
        let time_limit = if self.contacts.is_first_contact(&heartbeat.machine) {
            FIRST_CONTACT_TIMEOUT
        } else {
            TOTAL_FORWARD_TIMEOUT
        };
        let response = timeout(time_limit, self.forward(heartbeat, &own_node, true))
            .await
            .flatten();
        if response.is_some() {
            self.stats.responses.increment(ResponseBasis::Forwarded);
        }
        response
    }

    /// Returns the response of this controller as the leader. `via` is the controller that relayed the heartbeat, empty
    /// if the worker sent it here. Returns `None` if the worker has received a higher fencing token.
    async fn answer_as_leader(
        &self,
        term: &LeaderTerm,
        heartbeat: &Heartbeat,
        via: &str,
    ) -> Option<HeartbeatResponse> {
        // Either another controller leads or the worker is faulty. The worker is sent elsewhere, and the other
        // controllers are asked who leads.
        if heartbeat.token > term.token() {
            return None;
        }
        let now = self.clock.now();
        let outcome = term
            .scheduler
            .borrow_mut()
            .on_heartbeat(heartbeat, via, now);
        let awaits_commit = term
            .scheduler
            .borrow()
            .has_unwritten_placements(&heartbeat.machine);
        if outcome.is_newest && (outcome.changed || awaits_commit) {
            // Before the worker is answered, the reported changes are committed and tasks are placed on the resources
            // they freed.
            term.await_next_cycle().await;
        }
        let basis = if !outcome.is_newest {
            ResponseBasis::StaleHeartbeat
        } else if term.may_send_commands(self.clock.now()) {
            ResponseBasis::LeaseValid
        } else {
            ResponseBasis::LeaseUncertain
        };
        self.stats.responses.increment(basis);
        let commands = match basis {
            ResponseBasis::LeaseValid => {
                let position = heartbeat.position();
                let mut scheduler = term.scheduler.borrow_mut();
                scheduler.commands_for(&heartbeat.machine, position, now)
            }
            ResponseBasis::LeaseUncertain => self.stop_commands_for_cancelled(heartbeat),
            _ => Vec::new(),
        };
        self.stats.count_commands(&commands);
        let is_idle = outcome.is_newest && !outcome.changed && commands.is_empty();
        let may_redirect = via.is_empty() && is_idle && heartbeat.token == term.token();
        Some(HeartbeatResponse {
            token: term.token(),
            commands,
            redirect_to: may_redirect
                .then(|| self.rebalance_target(term, heartbeat))
                .flatten(),
        })
    }

    /// Returns the controller to which a worker is redirected that reported no changes and gets no commands, if this
    /// leader receives the heartbeats of too many workers.
    fn rebalance_target(&self, term: &LeaderTerm, heartbeat: &Heartbeat) -> Option<String> {
        let should_redirect = term.scheduler.borrow_mut().take_redirect();
        should_redirect
            .then(|| self.membership.peer_in_zone(&heartbeat.zone))
            .flatten()
    }

    /// Returns stop commands for the active tasks of cancelled jobs in a heartbeat.
    ///
    /// These are the only commands that need no leader lease: a cancelled job stays cancelled whoever leads, and a
    /// worker that has received a higher token ignores them. Without them, cancelled tasks would run past the
    /// cancellation time limit if the key-value store refuses the leader, or every controller, for longer than that.
    fn stop_commands_for_cancelled(&self, heartbeat: &Heartbeat) -> Vec<AgentCommand> {
        let running = heartbeat
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited);
        let cancelled = running.filter(|t| {
            TaskId::parse(&t.task).is_some_and(|task| self.cancellations.is_cancelled(&task.job))
        });
        let stop = cancelled.map(|t| AgentCommand::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            save_grace_s: 0.0,
        });
        stop.collect()
    }

    /// Forwards a heartbeat to the leader: directly, and if that fails and `relay` is set, through another controller.
    async fn forward(
        &self,
        heartbeat: &Heartbeat,
        via: &str,
        relay: bool,
    ) -> Option<HeartbeatResponse> {
        let leader = self.membership.cluster_status().leader?;
        let leader_peer = self.peers.iter().find(|p| p.node == leader)?;
        if !self.membership.is_route_suspended(&leader) {
            match self.forward_to(leader_peer, heartbeat, via, false).await {
                Some(response) => return Some(response),
                None => self.membership.suspend_route(&leader, ROUTE_SUSPENSION),
            }
        }
        if !relay {
            return None;
        }
        for other in self.peers.iter() {
            if other.node == leader || self.membership.is_route_suspended(&other.node) {
                continue;
            }
            if let Some(response) = self.forward_to(other, heartbeat, via, true).await {
                return Some(response);
            }
        }
        None
    }

    /// Forwards a heartbeat to another controller, which answers it as the leader or, if `relay` is set, forwards it to
    /// the leader.
    async fn forward_to(
        &self,
        peer: &Peer,
        heartbeat: &Heartbeat,
        via: &str,
        relay: bool,
    ) -> Option<HeartbeatResponse> {
        let request = PeerRequest::Heartbeat {
            relay,
            via: via.to_owned(),
            heartbeat: heartbeat.clone(),
        };
        match peer
            .call(self.membership.cluster_status(), request, FORWARD_TIMEOUT)
            .await
        {
            Ok(frame) => {
                self.membership.observe(&frame.cluster_status);
                match frame.message {
                    PeerReply::Answer { token, commands } => Some(HeartbeatResponse {
                        token,
                        commands,
                        redirect_to: None,
                    }),
                    _ => None,
                }
            }
            Err(e) => {
                debug!(
                    "event=forward_failed peer={} error={:?}",
                    peer.node,
                    e.to_string()
                );
                None
            }
        }
    }

    /// Handles a heartbeat that another controller forwarded.
    pub async fn answer_relayed(&self, heartbeat: Heartbeat, via: &str, relay: bool) -> PeerReply {
        self.cancellations.on_heartbeat(&heartbeat);
        let response = match self.current_term.get() {
            Some(term) => self.answer_as_leader(&term, &heartbeat, via).await,
            None if relay => self.forward(&heartbeat, via, false).await,
            None => None,
        };
        match response {
            Some(HeartbeatResponse {
                token, commands, ..
            }) => PeerReply::Answer { token, commands },
            None => PeerReply::NoLeader,
        }
    }
}
