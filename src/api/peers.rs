//! The interface for the other controllers: pings, and heartbeats that they relay.

use super::workers::WorkerApi;
use crate::cancellation::CancellationService;
use crate::membership::Membership;
use crate::peer::{Frame, PeerReply, PeerRequest};
use std::rc::Rc;

/// Answers the requests of other controllers.
pub struct PeerApi {
    /// The other controllers, and who leads.
    pub membership: Rc<Membership>,
    /// Cancelled jobs.
    pub cancellations: Rc<CancellationService>,
    /// Answers relayed heartbeats.
    pub workers: Rc<WorkerApi>,
}

impl PeerApi {
    /// Answers a request; whatever it is, both sides learn what the other knows of who leads.
    pub async fn answer(&self, frame: Frame<PeerRequest>) -> Frame<PeerReply> {
        self.membership.observe(&frame.cluster_status);
        let message = match frame.message {
            PeerRequest::Ping { cancelled, cleared } => {
                self.cancellations.record(&cancelled);
                self.cancellations.record_cleared(&cleared);
                PeerReply::Pong
            }
            PeerRequest::Heartbeat {
                relay,
                via,
                heartbeat,
            } => self.workers.answer_relayed(heartbeat, &via, relay).await,
        };
        Frame {
            cluster_status: self.membership.cluster_status(),
            message,
        }
    }
}
