//! A deployment of several controllers, each a process of its own, with the state service, the cloud and the workers
//! around them. Each controller reaches the state service and the other controllers through links that can be cut.

use crate::http::call;
use crate::json::Json;
use crate::platform::{Platform, Rig, Spec, Times};
use crate::proxy::Link;
use crate::rec;
use crate::record::now;
use crate::state::{Limits, State};
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A site: the settings that its controllers share, and its machines.
pub struct Site {
    pub zones: Vec<&'static str>,
    pub facts: &'static str,
    pub rig: Rig,
    pub times: Times,
    pub limits: Limits,
}

/// The settings that the cases need of `nan-quito`: times, limits, and the two teams whose jobs they submit.
const NAN_QUITO_FACTS: &str = r#"
[facts]
size = 3
zones = ["azuay", "manabi", "pichincha"]
clock_error_ms = 5.0
teams = [
  { name = "minga-news", cpus = 0.0, cpus_max = 0.0, gpus = 16.0, gpus_max = 56.0 },
  { name = "condor", cpus = 0.0, cpus_max = 0.0, gpus = 8.0, gpus_max = 100.0 },
]
objectives = [
  { kind = "wait", class = "chasqui-live", within_s = 18.0, share = 0.9 },
  { kind = "finished", class = "quillca-batch", within_s = 200.0, share = 0.9 },
  { kind = "guarantee", within_s = 15.0, share = 0.9 },
]
workers = { report_s = 2.0, lease_s = 14.0, gang_wait_s = 30.0, gang_peer_s = 6.0, cancel_s = 44.0 }
state = { rps = 70.0, write_rps = 25.0, value_kb = 8.0, txn_ops = 20 }
cloud = { rps = 3.0, list_lag_s = 10.0 }
machine_limits = { core_share = 0.12, ram_mb = 72.0, max_sockets = 1500 }
"#;

/// The same of `vakaloloma-suva`.
const VAKALOLOMA_SUVA_FACTS: &str = r#"
[facts]
size = 3
zones = ["koro", "lomaiviti"]
clock_error_ms = 100.0
teams = [
  { name = "talanoa", cpus = 0.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 0.0 },
  { name = "drua-lab", cpus = 0.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 0.0 },
]
objectives = [
  { kind = "wait", class = "vuli-live", within_s = 12.0, share = 0.88 },
  { kind = "deadline", class = "sere-render", share = 0.88, times = 1.0 },
]
workers = { report_s = 3.0, lease_s = 36.0, gang_wait_s = 40.0, gang_peer_s = 8.0, cancel_s = 66.0 }
state = { rps = 250.0, write_rps = 100.0, value_kb = 8.0, txn_ops = 32 }
cloud = { rps = 10.0, list_lag_s = 6.0 }
machine_limits = { core_share = 0.12, ram_mb = 200.0, max_sockets = 3500 }
"#;

/// `nan-quito`, with the machines booting within two seconds.
pub fn nan_quito() -> Site {
    Site {
        zones: vec!["pichincha", "azuay", "manabi"],
        facts: NAN_QUITO_FACTS,
        rig: Rig {
            label: "yaku-rack",
            cores: 24.0,
            cards: 2.0,
            ram: 96.0,
            rate: 7.53,
            low_price: 2.24,
            boot_s: 60.0,
            fetch: 0.5,
            yards: vec!["azuay", "manabi", "pichincha"],
        },
        times: Times {
            report_s: 2.0,
            lease_s: 14.0,
            list_lag_s: 10.0,
            boot_s: 1.5,
        },
        limits: Limits {
            rps: 70.0,
            write_rps: 25.0,
            value_bytes: 8 * 1024,
            txn_ops: 20,
        },
    }
}

/// `vakaloloma-suva`, with the machines booting within two seconds.
pub fn vakaloloma_suva() -> Site {
    Site {
        zones: vec!["lomaiviti", "koro", "lomaiviti"],
        facts: VAKALOLOMA_SUVA_FACTS,
        rig: Rig {
            label: "kaukau-rig",
            cores: 16.0,
            cards: 2.0,
            ram: 128.0,
            rate: 5.7,
            low_price: 2.21,
            boot_s: 35.0,
            fetch: 0.4,
            yards: vec!["koro", "lomaiviti"],
        },
        times: Times {
            report_s: 3.0,
            lease_s: 36.0,
            list_lag_s: 6.0,
            boot_s: 1.5,
        },
        limits: Limits {
            rps: 250.0,
            write_rps: 100.0,
            value_bytes: 8 * 1024,
            txn_ops: 32,
        },
    }
}

/// The same of `vakaloloma-sigatoka-trails`.
const SIGATOKA_FACTS: &str = r#"
[facts]
size = 5
zones = ["sigatoka"]
clock_error_ms = 5.0
teams = [{ name = "yaqona", cpus = 600.0, cpus_max = 5000.0, gpus = 0.0, gpus_max = 0.0 }]
objectives = [
  { kind = "deadline", class = "tapa-chapters", share = 0.75, times = 1.0 },
  { kind = "guarantee", within_s = 10.0, share = 0.95 },
]
workers = { report_s = 2.0, lease_s = 16.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 41.0 }
state = { rps = 60.0, write_rps = 15.0, value_kb = 8.0, txn_ops = 12 }
cloud = { rps = 8.0, list_lag_s = 4.0 }
machine_limits = { core_share = 0.096, ram_mb = 72.0, max_sockets = 1200 }
"#;

/// `vakaloloma-sigatoka-trails`, with the machines booting within two seconds.
pub fn sigatoka_trails() -> Site {
    Site {
        zones: vec!["sigatoka"; 5],
        facts: SIGATOKA_FACTS,
        rig: Rig {
            label: "vonu-mid",
            cores: 16.0,
            cards: 0.0,
            ram: 32.0,
            rate: 0.63,
            low_price: 0.2,
            boot_s: 40.0,
            fetch: 0.5,
            yards: vec!["navosa", "sigatoka"],
        },
        times: Times {
            report_s: 2.0,
            lease_s: 16.0,
            list_lag_s: 4.0,
            boot_s: 1.5,
        },
        limits: Limits {
            rps: 60.0,
            write_rps: 15.0,
            value_bytes: 8 * 1024,
            txn_ops: 12,
        },
    }
}

pub struct Node {
    pub name: String,
    pub http: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub state: Arc<State>,
    pub platform: Arc<Platform>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    state_links: Vec<Link>,
    /// By sender and receiver.
    peer_links: Vec<Vec<Option<Link>>>,
}

impl Deployment {
    pub fn start(site: Site, room: &[(&str, bool, usize)], folder: &str) -> Deployment {
        let size = site.zones.len();
        let (state, state_addr) = State::start(site.limits);
        let (platform, cloud_addr) = Platform::start(site.rig, site.times, room);
        // A loopback address of this run's own: outgoing connections of others get no port of it meanwhile.
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let own = Ipv4Addr::new(127, a | 64, b, c);
        let free = || TcpListener::bind((own, 0)).expect("a free port");
        let sockets: Vec<[TcpListener; 2]> = (0..size).map(|_| [free(), free()]).collect();
        let addr = |l: &TcpListener| l.local_addr().expect("its address");
        let http: Vec<SocketAddr> = sockets.iter().map(|s| addr(&s[0])).collect();
        let peer: Vec<SocketAddr> = sockets.iter().map(|s| addr(&s[1])).collect();
        drop(sockets);
        let state_links: Vec<Link> = (0..size).map(|_| Link::start(state_addr)).collect();
        let link = |i: usize, j: usize| (i != j).then(|| Link::start(peer[j]));
        let peer_links: Vec<Vec<Option<Link>>> = (0..size)
            .map(|i| (0..size).map(|j| link(i, j)).collect())
            .collect();
        let mut nodes = Vec::new();
        for i in 0..size {
            let mut toml = format!(
                "node = \"anchor-{i}\"\nzone = \"{}\"\nbind = \"{}\"\ninternal_addr = \"{}\"\n\n",
                site.zones[i], http[i], peer[i]
            );
            for (j, link) in peer_links[i].iter().enumerate() {
                if let Some(link) = link {
                    toml.push_str(&format!(
                        "[[members]]\nnode = \"anchor-{j}\"\nzone = \"{}\"\naddress = \"{}\"\n\n",
                        site.zones[j], link.addr
                    ));
                }
            }
            toml.push_str(&format!(
                "[external]\ncloud = \"{cloud_addr}\"\nstate = \"{}\"\n\n{}",
                state_links[i].addr, site.facts
            ));
            let config = PathBuf::from(folder).join(format!("anchor-{i}.toml"));
            fs::write(&config, toml).expect("the settings can be written");
            nodes.push(Node {
                name: format!("anchor-{i}"),
                http: http[i],
                config,
                child: None,
            });
        }
        platform.set_nodes(nodes.iter().map(|n| (n.name.clone(), n.http)).collect());
        let mut deployment = Deployment {
            state,
            platform,
            nodes,
            folder: PathBuf::from(folder),
            state_links,
            peer_links,
        };
        for i in 0..size {
            deployment.start_node(i);
        }
        deployment
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_node(&mut self, i: usize) {
        let log = self.folder.join(format!("anchor-{i}.log"));
        let log = File::options().create(true).append(true).open(log);
        let mut command = Command::new("target/release/ravenhead");
        command.arg("--config").arg(&self.nodes[i].config);
        command
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command.stderr(log.expect("the log can be written"));
        let child = command
            .spawn()
            .expect("the controller starts (is it built?)");
        rec!("controller anchor-{i} started");
        let pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = pids.and_then(|mut f| writeln!(f, "{}", child.id()));
        self.nodes[i].child = Some(child);
    }

    /// Cuts a controller off from the state service and from the other controllers, or ends that. Its workers, its
    /// users and the cloud still reach it.
    pub fn cut_from_state_and_peers(&self, i: usize, cut: bool) {
        rec!("TROUBLE anchor-{i} cut from the state service and the other controllers: {cut}");
        self.state_links[i].set_cut(cut);
        for j in 0..self.nodes.len() {
            for link in [&self.peer_links[i][j], &self.peer_links[j][i]]
                .into_iter()
                .flatten()
            {
                link.set_cut(cut);
            }
        }
    }

    /// Waits until every controller is ready.
    pub fn wait_ready(&self, limit_s: f64) -> bool {
        let ready = |n: &Node| {
            let answer = call(n.http, "GET", "/ready", None, Duration::from_secs(1));
            matches!(answer, Ok((200, _)))
        };
        wait(limit_s, || self.nodes.iter().all(ready))
    }

    /// The controller that the leader key names.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.get("r/leader")?;
        let node = record.get("node").text()?.to_owned();
        self.nodes.iter().position(|n| n.name == node)
    }

    /// Sends a user's request and records it with its answer.
    pub fn user(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: Option<&str>,
        limit_s: f64,
    ) -> Option<(u16, Json)> {
        rec!(
            "user: {method} {path} to {} {}",
            self.nodes[i].name,
            body.unwrap_or("")
        );
        let limit = Duration::from_secs_f64(limit_s);
        let answer = call(self.nodes[i].http, method, path, body, limit);
        match answer {
            Ok((status, bytes)) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                rec!("user: {method} {path}: {status} {text}");
                Some((status, Json::parse(&bytes).unwrap_or(Json::Null)))
            }
            Err(e) => {
                rec!("user: {method} {path}: no answer ({e})");
                None
            }
        }
    }

    /// Submits a job, and repeats that until it is accepted.
    pub fn submit(&self, i: usize, job: &Job) -> bool {
        self.platform.upload(&job.id, job.spec.clone());
        let body = job.body();
        wait(30.0, || {
            let answer = self.user(i, "POST", "/work", Some(&body), 5.0);
            let accepted = matches!(answer, Some((200 | 201, _)));
            if !accepted {
                thread::sleep(Duration::from_secs(1));
            }
            accepted
        })
    }

    pub fn status(&self, i: usize, job: &str) -> Option<String> {
        let (status, body) = self.user(i, "GET", &format!("/work/{job}"), None, 2.0)?;
        (status == 200).then(|| body.get("status").text().unwrap_or_default().to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = (child.kill(), child.wait());
            }
        }
    }
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait(limit_s: f64, mut holds: impl FnMut() -> bool) -> bool {
    let until = now() + limit_s;
    loop {
        if holds() {
            return true;
        }
        if now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A job, of one task unless `takes` says otherwise.
pub struct Job {
    pub id: String,
    pub takes: usize,
    pub lane: &'static str,
    pub crew: &'static str,
    pub shape: &'static str,
    pub rank: &'static str,
    pub rig: &'static str,
    pub spread: bool,
    pub expect_s: f64,
    pub due_s: Option<f64>,
    pub spec: Spec,
}

impl Job {
    pub fn body(&self) -> String {
        let s = &self.spec;
        Json::obj([
            ("nameId", Json::str(self.id.as_str())),
            ("lane", Json::str(self.lane)),
            ("crew", Json::str(self.crew)),
            ("shape", Json::str(self.shape)),
            ("rank", Json::str(self.rank)),
            ("takes", Json::num(self.takes)),
            ("cores", Json::decimal(s.cores)),
            ("cards", Json::decimal(s.cards)),
            ("ramGb", Json::decimal(s.ram)),
            ("reel", Json::str(s.reel.as_str())),
            ("pullGb", Json::decimal(s.pull)),
            ("rigs", Json::Arr(vec![Json::str(self.rig)])),
            ("yard", s.yard.clone().map_or(Json::Null, Json::str)),
            ("together", Json::Bool(false)),
            ("spread", Json::Bool(self.spread)),
            ("loaners", Json::Bool(s.loaners)),
            ("expectS", Json::decimal(self.expect_s)),
            ("markS", Json::decimal(s.mark)),
            ("stowS", Json::decimal(s.stow)),
            ("dueS", self.due_s.map_or(Json::Null, Json::decimal)),
        ])
        .to_string()
    }
}

/// `quillca-batch` of `nan-quito`: a batch that may use spot machines and never saves.
pub fn quillca_batch(id: &str, run_s: f64) -> Job {
    Job {
        id: id.to_owned(),
        takes: 1,
        lane: "quillca-batch",
        crew: "condor",
        shape: "sweep",
        rank: "normal",
        rig: "yaku-rack",
        spread: false,
        expect_s: run_s,
        due_s: None,
        spec: Spec {
            cores: 10.0,
            cards: 1.0,
            ram: 36.0,
            reel: "batch-01".into(),
            pull: 0.5,
            yard: None,
            loaners: true,
            mark: 0.0,
            stow: 0.0,
            run_s: Some(run_s),
        },
    }
}

/// `vuli-live` of `vakaloloma-suva`: a live service of one replica.
pub fn vuli_live(id: &str) -> Job {
    Job {
        id: id.to_owned(),
        takes: 1,
        lane: "vuli-live",
        crew: "talanoa",
        shape: "standing",
        rank: "critical",
        rig: "kaukau-rig",
        spread: true,
        expect_s: 0.0,
        due_s: None,
        spec: Spec {
            cores: 5.0,
            cards: 1.0,
            ram: 38.0,
            reel: "live-01".into(),
            pull: 0.4,
            yard: None,
            loaners: false,
            mark: 0.0,
            stow: 0.0,
            run_s: None,
        },
    }
}

/// `sere-render` of `vakaloloma-suva`: a batch that may use spot machines, saves, and has a deadline.
pub fn sere_render(id: &str, run_s: f64) -> Job {
    Job {
        id: id.to_owned(),
        takes: 1,
        lane: "sere-render",
        crew: "talanoa",
        shape: "sweep",
        rank: "low",
        rig: "kaukau-rig",
        spread: false,
        expect_s: run_s,
        due_s: Some(2.0 * run_s + 20.0),
        spec: Spec {
            cores: 6.0,
            cards: 1.0,
            ram: 48.0,
            reel: "render-01".into(),
            pull: 0.4,
            yard: None,
            loaners: true,
            mark: 30.0,
            stow: 4.0,
            run_s: Some(run_s),
        },
    }
}

/// `tapa-chapters` of `vakaloloma-sigatoka-trails`: a batch that may use spot machines, saves, and has a deadline.
pub fn tapa_chapters(id: &str, takes: usize, run_s: f64) -> Job {
    Job {
        id: id.to_owned(),
        takes,
        lane: "tapa-chapters",
        crew: "yaqona",
        shape: "sweep",
        rank: "normal",
        rig: "vonu-mid",
        spread: false,
        expect_s: run_s,
        due_s: Some(3.0 * run_s),
        spec: Spec {
            cores: 8.0,
            cards: 0.0,
            ram: 9.4,
            reel: "chapters-01".into(),
            pull: 0.5,
            yard: None,
            loaners: true,
            mark: 20.0,
            stow: 2.0,
            run_s: Some(run_s),
        },
    }
}

/// A batch of the guest team of `vakaloloma-suva` that needs no accelerators.
pub fn masi_array(id: &str, run_s: f64) -> Job {
    Job {
        id: id.to_owned(),
        takes: 1,
        lane: "masi-array",
        crew: "drua-lab",
        shape: "sweep",
        rank: "normal",
        rig: "kaukau-rig",
        spread: false,
        expect_s: run_s,
        due_s: None,
        spec: Spec {
            cores: 8.0,
            cards: 0.0,
            ram: 32.0,
            reel: "archive-01".into(),
            pull: 0.4,
            yard: None,
            loaners: false,
            mark: 0.0,
            stow: 0.0,
            run_s: Some(run_s),
        },
    }
}
