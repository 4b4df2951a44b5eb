//! How many connections a controller holds, and what it does when sockets get short.

use crate::config::Platform;
use crate::units::Micros;
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;

/// How long a connection may stand idle, at the least, and while sockets are getting short.
const MIN_IDLE_LIMIT: Micros = Micros::secs(60);
const MIN_IDLE_LIMIT_SHORT: Micros = Micros::secs(20);
/// The same in heartbeat intervals: longer than any worker is silent between two heartbeats.
const IDLE_HEARTBEATS: u64 = 4;
const IDLE_HEARTBEATS_SHORT: u64 = 2;

/// The accepted connections of one controller, counted against its sockets.
///
/// Invariant: the count is that of the living [`OpenConnection`]s.
pub struct Connections {
    open: Cell<usize>,
    /// Most connections that are accepted: some sockets are kept back for the state service, the cloud and the other
    /// controllers.
    max: usize,
    heartbeat_interval: Micros,
    is_shortage_logged: Cell<bool>,
}

/// An accepted connection; it is counted until it is dropped.
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
    /// No connections yet.
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

    /// Returns how many connections are accepted at the most.
    pub fn max(&self) -> usize {
        self.max
    }

    /// Counts in one more connection; `None` where no more are accepted.
    pub fn accept(self: &Rc<Self>) -> Option<OpenConnection> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenConnection {
            connections: self.clone(),
        })
    }

    /// Whether sockets are so short that workers' connections end with each answer as well, and open anew for the next
    /// heartbeat.
    ///
    /// Guards against idle connections of some workers that keep out the others, where fewer sockets than workers are left:
    /// each heartbeat is then answered in its turn, and no worker loses its lease.
    pub fn is_limit_near(&self) -> bool {
        self.open.get() > self.max * 9 / 10
    }

    /// Whether sockets are getting short, so that connections of users end with each answer and idle ones end soon.
    ///
    /// Guards against users' connections keeping out workers, as after a filter between controllers, when the leader may
    /// have to take every worker of the fleet.
    pub fn is_use_high(&self) -> bool {
        self.open.get() > self.max * 3 / 4
    }

    /// How long a connection may stand idle: for longer than any worker is silent between two heartbeats.
    pub fn idle_limit(&self) -> Micros {
        let (min, heartbeats) = if self.is_use_high() {
            (MIN_IDLE_LIMIT_SHORT, IDLE_HEARTBEATS_SHORT)
        } else {
            (MIN_IDLE_LIMIT, IDLE_HEARTBEATS)
        };
        min.max(self.heartbeat_interval.scaled(heartbeats, 1))
    }

    /// Logs when sockets get short, and when they are not any more.
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
