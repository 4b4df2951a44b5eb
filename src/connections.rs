//! Limits the connections that a controller accepts, and closes some of them early when sockets run low.

use crate::config::Platform;
use crate::units::Micros;
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;

/// Minimum of [`Connections::idle_limit`], in normal operation and at high socket use.
const MIN_IDLE_LIMIT: Micros = Micros::secs(60);
const MIN_IDLE_LIMIT_HIGH_USE: Micros = Micros::secs(20);
/// The same as a number of heartbeat intervals: longer than the time between two heartbeats of any worker.
const IDLE_HEARTBEATS: u64 = 4;
const IDLE_HEARTBEATS_HIGH_USE: u64 = 2;

/// The accepted connections of one controller, counted against its socket limit.
///
/// Invariant: the count equals the number of [`OpenConnection`]s that have not been dropped.
pub struct Connections {
    open: Cell<usize>,
    /// Maximum number of accepted connections. The other sockets are reserved for the key-value store, the cloud and
    /// the other controllers.
    max: usize,
    heartbeat_interval: Micros,
    is_shortage_logged: Cell<bool>,
}

/// An accepted connection, which counts against the limit until it is dropped.
pub struct OpenConnection {
    connections: Rc<Connections>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.connections.open;
        open.set(open.get() - 1);
    }
}

impl Connections {
    /// Creates the counter, with the socket limit and the heartbeat interval of `platform`.
    pub fn new(platform: &Platform) -> Connections {
        let max_sockets = platform.facts.machine_limits.max_sockets;
        Connections::with_limits(max_sockets, platform.heartbeat_interval())
    }

    fn with_limits(max_sockets: usize, heartbeat_interval: Micros) -> Connections {
        Connections {
            open: Cell::new(0),
            max: max_sockets * 4 / 5,
            heartbeat_interval,
            is_shortage_logged: Cell::new(false),
        }
    }

    /// Returns the maximum number of accepted connections.
    pub fn max(&self) -> usize {
        self.max
    }

    /// Counts a new connection; returns `None` if the limit is reached.
    pub fn accept(self: &Rc<Self>) -> Option<OpenConnection> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenConnection {
            connections: self.clone(),
        })
    }

    /// Returns whether so few sockets are free that workers' connections are also closed after each response, and
    /// reopened for the next heartbeat.
    ///
    /// Prevents the idle connections of some workers from keeping the others out when there are fewer free sockets than
    /// workers: each heartbeat then gets its turn, and no worker loses its lease.
    pub fn is_limit_near(&self) -> bool {
        self.open.get() > self.max * 9 / 10
    }

    /// Returns whether sockets are running low, so that users' connections are closed after each response and idle
    /// connections after a shorter time.
    ///
    /// Prevents users' connections from keeping workers out, for example after a network partition between controllers,
    /// when the leader may have to accept the connections of the whole fleet.
    pub fn is_use_high(&self) -> bool {
        self.open.get() > self.max * 3 / 4
    }

    /// Returns how long a connection may stay idle: longer than the time between two heartbeats of any worker.
    pub fn idle_limit(&self) -> Micros {
        let (min, heartbeats) = if self.is_use_high() {
            (MIN_IDLE_LIMIT_HIGH_USE, IDLE_HEARTBEATS_HIGH_USE)
        } else {
            (MIN_IDLE_LIMIT, IDLE_HEARTBEATS)
        };
        min.max(self.heartbeat_interval.scaled(heartbeats, 1))
    }

    /// Logs the start and the end of a socket shortage.
    pub fn log_shortage(&self) {
        let connections = self.open.get();
        let max = self.max;
        if self.is_limit_near() && !self.is_shortage_logged.replace(true) {
            warn!("event=socket_shortage connections={connections} most={max} answers=close");
        } else if !self.is_use_high() && self.is_shortage_logged.replace(false) {
            info!("event=socket_shortage_ended connections={connections} most={max}");
        }
    }
}

#[cfg(test)]
mod tests;
