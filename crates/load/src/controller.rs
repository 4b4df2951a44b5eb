//! The controller's process: its settings, and what it uses by the kernel's account.

use crate::site::Places;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Clock ticks a second in `/proc`.
const TICKS: f64 = 100.0;

/// What a process has used so far.
pub struct Usage {
    /// Seconds of processor time.
    pub processor_s: f64,
    /// Largest memory held, in MB.
    pub memory_mb: f64,
}

/// A running controller, ended with this value.
pub struct Controller {
    process: Child,
    /// Where users and workers reach it.
    pub bind: SocketAddr,
}

impl Controller {
    /// Starts a controller with these outside systems.
    pub fn start(
        program: &Path,
        places: &Places,
        sockets: usize,
        rebuilds: bool,
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
            places.cloud,
            places.state,
            crate::worker::REPORT_S,
        );
        let path = std::env::temp_dir().join(format!("ravenhead-load-{}.toml", std::process::id()));
        std::fs::write(&path, settings)?;
        let mut command = Command::new(program);
        command.arg("--config").arg(&path);
        if rebuilds {
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

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        let proc = format!("/proc/{}", self.process.id());
        let stat = std::fs::read_to_string(format!("{proc}/stat"))?;
        // The fields after the name, which ends with the last parenthesis; times are the 14th and 15th of all.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
        let status = std::fs::read_to_string(format!("{proc}/status"))?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kb = peak.and_then(|v| v.split_whitespace().next()?.parse::<f64>().ok());
        Ok(Usage {
            processor_s: ticks / TICKS,
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

/// A loopback address with a port that is free just now; clients come from other loopback addresses.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.7.1:0")?.local_addr()
}
