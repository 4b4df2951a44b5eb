//! Runs the controller process under test: writes its settings and reads its resource usage from `/proc`.

use crate::site::ServiceAddresses;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that a process has used since it started.
pub struct Usage {
    /// Processor time in user and kernel mode, in seconds.
    pub processor_s: f64,
    /// Peak resident memory in MiB, or NaN if the kernel does not report it.
    pub memory_mb: f64,
}

/// A running controller process, which is killed when this value is dropped.
pub struct Controller {
    process: Child,
    /// Address of its API for users and workers.
    pub bind: SocketAddr,
}

impl Controller {
    /// Starts a controller that uses the key-value store and cloud at `addresses`.
    ///
    /// `sockets` is its limit of open sockets. `enable_rebuild` turns on rebuilding after a loss of state.
    pub fn start(
        program: &Path,
        addresses: &ServiceAddresses,
        sockets: usize,
        enable_rebuild: bool,
    ) -> io::Result<Controller> {
        let bind = free_address()?;
        let settings = format!(
            "node = \"n-0\"\nzone = \"a\"\nbind = \"{bind}\"\ninternal_addr = \"{}\"\n\
             [external]\ncloud = \"{}\"\nstate = \"{}\"\n[facts]\nsize = 1\n[[facts.teams]]\nname = \"team\"\n\
             [facts.workers]\nreport_s = {:.1}\nlease_s = 14.0\ncancel_s = 44.0\n\
             [facts.state]\nrps = 250.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 32\n\
             [facts.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n\
             [facts.machine_limits]\ncore_share = 0.3\nram_mb = 200.0\nmax_sockets = {sockets}\n",
            free_address()?,
            addresses.cloud,
            addresses.state,
            crate::worker::HEARTBEAT_INTERVAL_S,
        );
        let path = std::env::temp_dir().join(format!("ravenhead-load-{}.toml", std::process::id()));
        std::fs::write(&path, settings)?;
        let mut command = Command::new(program);
        command.arg("--config").arg(&path);
        if enable_rebuild {
            let settings = path.with_extension("xml");
            std::fs::write(&settings, "<ravenhead><rebuild>1</rebuild></ravenhead>")?;
            command.arg("--settings").arg(settings);
        }
        let process = command
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Controller { process, bind })
    }

    /// Returns the resources that the controller has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        let proc = format!("/proc/{}", self.process.id());
        let stat = std::fs::read_to_string(format!("{proc}/stat"))?;
        // The process name may contain spaces and ends with the last parenthesis. User and kernel time are the 14th and
        // 15th field of the line, and so the 12th and 13th after the name.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
        let status = std::fs::read_to_string(format!("{proc}/status"))?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kb = peak.and_then(|v| v.split_whitespace().next()?.parse::<f64>().ok());
        Ok(Usage {
            processor_s: ticks / TICKS_PER_SECOND,
            memory_mb: kb.unwrap_or(f64::NAN) / 1024.0,
        })
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns a loopback address with a port that is free at the moment. Clients connect from other loopback addresses.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.7.1:0")?.local_addr()
}
