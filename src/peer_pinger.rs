//! Periodic pings to the other controllers, which exchange cluster status and cancellations.

use crate::cancellation::CancellationService;
use crate::clock::sleep;
use crate::membership::Membership;
use crate::peer::{Peer, PeerRequest};
use crate::units::Micros;
use log::debug;
use std::rc::Rc;

/// Pause between an answered or failed ping and the next one to the same peer.
const PING_INTERVAL: Micros = Micros::secs(1);
/// Maximum time that a peer may take to answer a ping.
const PING_TIMEOUT: Micros = Micros::millis(900);
/// How long no heartbeats are relayed to a peer after a failed ping.
const ROUTE_SUSPENSION: Micros = Micros::secs(2);

/// Pings the peers of this controller.
pub struct PeerPinger {
    /// Where the statuses that peers report are recorded.
    pub membership: Rc<Membership>,
    /// The cancelled jobs that peers are told about.
    pub cancellations: Rc<CancellationService>,
}

impl PeerPinger {
    /// Pings one peer periodically; never returns.
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
                    // Prevents relayed heartbeats from each waiting for the same unreachable peer.
                    self.membership.suspend_route(&peer.node, ROUTE_SUSPENSION);
                }
            }
            sleep(PING_INTERVAL).await;
        }
    }
}
