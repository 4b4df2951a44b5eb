//! Asking the other controllers, again and again, what they know, and telling them of cancellations.

use crate::cancellation::CancellationService;
use crate::clock::sleep;
use crate::membership::Membership;
use crate::peer::{Peer, PeerRequest};
use crate::units::Micros;
use log::debug;
use std::rc::Rc;

/// How often another controller is pinged.
const PING_INTERVAL: Micros = Micros::secs(1);
/// How long it may take to answer.
const PING_TIMEOUT: Micros = Micros::millis(900);
/// After a failed ping heartbeats are not relayed to a controller for so long.
const ROUTE_SUSPENSION: Micros = Micros::secs(2);

/// Pings the other controllers.
pub struct PeerPinger {
    /// What is known of them.
    pub membership: Rc<Membership>,
    /// Cancelled jobs.
    pub cancellations: Rc<CancellationService>,
}

impl PeerPinger {
    /// Pings one controller for ever.
    pub async fn run(&self, peer: &Peer) {
        let mut cleared_until = self.cancellations.cleared_cursor();
        loop {
            let (cleared, next) = self.cancellations.cleared_since(cleared_until);
            let cancelled = self.cancellations.unacknowledged(&peer.node);
            let ping = PeerRequest::Ping {
                cancelled: cancelled.clone(),
                cleared,
            };
            let cluster_status = self.membership.cluster_status();
            match peer.call(cluster_status, ping, PING_TIMEOUT).await {
                Ok(frame) => {
                    cleared_until = next;
                    let incarnation = frame.cluster_status.incarnation;
                    self.cancellations
                        .acknowledge(&peer.node, incarnation, &cancelled);
                    self.membership
                        .record_ping_answered(&peer.node, frame.cluster_status);
                }
                Err(e) => {
                    debug!(
                        "event=ping_failed peer={} error={:?}",
                        peer.node,
                        e.to_string()
                    );
                    self.membership.record_ping_failed(&peer.node);
                    // Heartbeats need not find out anew that this route is closed.
                    self.membership.suspend_route(&peer.node, ROUTE_SUSPENSION);
                }
            }
            sleep(PING_INTERVAL).await;
        }
    }
}
