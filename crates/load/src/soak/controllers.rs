//! The controllers' processes, which can be killed, paused and started again.

use super::proxy;
use super::server::free_address;
use super::spawner::Spawner;
use super::worker::{CANCEL_S, HEARTBEAT_INTERVAL_S, LEASE_S};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// Zones, which controllers and machines take in turn.
pub(super) const ZONES: [&str; 2] = ["a", "b"];
/// Requests to the key-value store and keys changed there that are accepted a second.
pub(super) const STATE_RPS: f64 = 120.0;
pub(super) const STATE_WRITE_RPS: f64 = 40.0;
/// Requests to the cloud that are accepted a second.
pub(super) const CLOUD_RPS: f64 = 10.0;
/// Lag of the machine list in seconds.
pub(super) const LIST_LAG_S: f64 = 2.0;

/// Addresses at which one controller reaches the outside systems.
pub(super) struct Outside {
    pub(super) state: SocketAddr,
    pub(super) cloud: SocketAddr,
}

/// Ordered pair of controllers: from which one to which other.
type Link = (usize, usize);

/// The controllers of a deployment. Their processes are killed, and their files removed, when this value is dropped.
pub(super) struct Controllers {
    program: PathBuf,
    settings: Vec<PathBuf>,
    processes: RefCell<Vec<Option<Child>>>,
    /// Addresses of the API for users and workers.
    pub(super) bind: Vec<SocketAddr>,
    cuts: BTreeMap<Link, Rc<Cell<bool>>>,
}

impl Controllers {
    /// Starts all controllers.
    pub(super) async fn start(
        spawner: &Spawner,
        program: &Path,
        outside: &[Outside],
    ) -> io::Result<Controllers> {
        let count = outside.len();
        let bind: Vec<SocketAddr> = addresses(count)?;
        let internal: Vec<SocketAddr> = addresses(count)?;
        let mut controllers = Controllers {
            program: program.to_owned(),
            settings: Vec::new(),
            processes: RefCell::default(),
            bind,
            cuts: BTreeMap::new(),
        };
        for node in 0..count {
            let mut members = String::new();
            for peer in (0..count).filter(|peer| *peer != node) {
                let is_cut: Rc<Cell<bool>> = Rc::default();
                let address = proxy::listen(spawner, internal[peer], is_cut.clone()).await?;
                controllers.cuts.insert((node, peer), is_cut);
                members.push_str(&format!(
                    "[[members]]\nnode = \"n-{peer}\"\nzone = \"{}\"\naddress = \"{address}\"\n",
                    ZONES[peer % ZONES.len()]
                ));
            }
            let file = format!("ravenhead-soak-{}-{node}.toml", internal[node].port());
            let path = std::env::temp_dir().join(file);
            let settings = controllers.settings_of(node, internal[node], &members, &outside[node]);
            controllers.settings.push(path.clone());
            std::fs::write(&path, settings)?;
            controllers.processes.borrow_mut().push(None);
            controllers.start_node(node)?;
        }
        Ok(controllers)
    }

    fn settings_of(
        &self,
        node: usize,
        internal: SocketAddr,
        members: &str,
        outside: &Outside,
    ) -> String {
        format!(
            "node = \"n-{node}\"\nzone = \"{}\"\nbind = \"{}\"\ninternal_addr = \"{internal}\"\n{members}\
             [external]\ncloud = \"{}\"\nstate = \"{}\"\n[facts]\nsize = {}\n\
             [[facts.teams]]\nname = \"small\"\ngpus_max = {SMALL_LIMIT:.1}\n[[facts.teams]]\nname = \"large\"\n\
             [facts.workers]\nreport_s = {HEARTBEAT_INTERVAL_S:.1}\nlease_s = {LEASE_S:.1}\ncancel_s = {CANCEL_S:.1}\n\
             [facts.state]\nrps = {STATE_RPS:.1}\nwrite_rps = {STATE_WRITE_RPS:.1}\nvalue_kb = 8.0\ntxn_ops = 20\n\
             [facts.cloud]\nrps = {CLOUD_RPS:.1}\nlist_lag_s = {LIST_LAG_S:.1}\n\
             [facts.machine_limits]\ncore_share = 0.3\nram_mb = 200.0\nmax_sockets = 2000\n",
            ZONES[node % ZONES.len()],
            self.bind[node],
            outside.cloud,
            outside.state,
            self.bind.len(),
        )
    }

    /// Starts a controller that does not run.
    pub(super) fn start_node(&self, node: usize) -> io::Result<()> {
        let process = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings[node])
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.processes.borrow_mut()[node] = Some(process);
        Ok(())
    }

    /// Kills a controller without a warning.
    pub(super) fn kill(&self, node: usize) {
        if let Some(mut process) = self.processes.borrow_mut()[node].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Pauses a controller, or lets it go on.
    pub(super) fn set_paused(&self, node: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        let processes = self.processes.borrow();
        let pid = processes[node].as_ref().map(|process| process.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the controllers whose processes have ended by themselves.
    pub(super) fn ended(&self) -> Vec<usize> {
        let mut processes = self.processes.borrow_mut();
        let has_ended = |process: &mut Option<Child>| {
            let process = process.as_mut();
            process.is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
        };
        let nodes = processes.iter_mut().enumerate();
        nodes
            .filter_map(|(node, process)| has_ended(process).then_some(node))
            .collect()
    }

    /// Cuts or reopens the connections of a controller to and from all others.
    pub(super) fn set_cut_from_peers(&self, node: usize, is_cut: bool) {
        for ((from, to), cut) in &self.cuts {
            if *from == node || *to == node {
                cut.set(is_cut);
            }
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.settings.len() {
            if node < self.processes.borrow().len() {
                self.kill(node);
            }
            let _ = std::fs::remove_file(&self.settings[node]);
        }
    }
}

/// Limit of accelerators of the team `small`.
pub(super) const SMALL_LIMIT: f64 = 6.0;

fn addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}
