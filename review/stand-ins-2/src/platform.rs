//! The cloud, its machines and their workers.

use crate::http::{Request, call, serve};
use crate::json::Json;
use crate::rec;
use crate::record::now;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A machine type.
#[derive(Clone)]
pub struct Rig {
    pub label: &'static str,
    pub cores: f64,
    pub cards: f64,
    pub ram: f64,
    pub rate: f64,
    pub low_price: f64,
    pub boot_s: f64,
    pub fetch: f64,
    pub yards: Vec<&'static str>,
}

#[derive(Clone)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
    /// Time that machines take to boot here.
    pub boot_s: f64,
}

/// What a worker knows of a job, which its user uploaded.
#[derive(Clone)]
pub struct Spec {
    pub cores: f64,
    pub cards: f64,
    pub ram: f64,
    pub reel: String,
    pub pull: f64,
    pub yard: Option<String>,
    pub loaners: bool,
    pub mark: f64,
    pub stow: f64,
    /// Run time of a task; `None` runs until it is stopped.
    pub run_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    Pulling { until: f64 },
    Running { until: Option<f64> },
    Flushing { until: f64 },
    Exited { cause: &'static str, kept: bool },
}

#[derive(Clone)]
struct Task {
    state: TaskState,
    reel: String,
}

struct Machine {
    name: String,
    yard: String,
    loaners: bool,
    created_at: f64,
    up_at: f64,
    gone_at: Option<f64>,
    /// Until when it fails every task that it starts.
    sick_until: f64,
    /// When it stopped on its own.
    stopped_at: Option<f64>,
    /// Until when it hangs.
    hangs_until: f64,
    /// Earliest time of the next report, where a test sets it; within the bounds of the protocol.
    report_at: Option<f64>,
    watch: u64,
    tally: u64,
    warrant: u64,
    warrant_changed_at: f64,
    answered_sent_at: f64,
    sent_at: f64,
    changed: bool,
    warning_until: Option<f64>,
    images: BTreeSet<String>,
    /// Tasks that it failed at their start.
    failed: BTreeSet<String>,
    tasks: BTreeMap<(String, u64), Task>,
}

/// A start command that a worker executed: when the report that it answers was sent, when it came, and for what.
#[derive(Clone)]
pub struct Started {
    pub report_sent_at: f64,
    pub at: f64,
    pub task: String,
    pub machine: String,
}

struct Inner {
    machines: BTreeMap<String, Machine>,
    charters: HashMap<String, Vec<String>>,
    /// Machines that can still be rented, by zone and kind.
    room: HashMap<(String, bool), usize>,
    last_machine: u64,
    specs: HashMap<String, Spec>,
    started: Vec<Started>,
    /// Tasks that completed, and when.
    finished: BTreeMap<String, f64>,
    nodes: Vec<(String, SocketAddr)>,
    /// The node that new workers report to first.
    first_node: usize,
    cloud_out: bool,
}

pub struct Platform {
    rig: Rig,
    times: Times,
    inner: Mutex<Inner>,
}

impl Platform {
    pub fn start(
        rig: Rig,
        times: Times,
        room: &[(&str, bool, usize)],
    ) -> (Arc<Platform>, SocketAddr) {
        let room = room.iter().map(|(z, spot, n)| ((z.to_string(), *spot), *n));
        let platform = Arc::new(Platform {
            rig,
            times,
            inner: Mutex::new(Inner {
                machines: BTreeMap::new(),
                charters: HashMap::new(),
                room: room.collect(),
                last_machine: 0,
                specs: HashMap::new(),
                started: Vec::new(),
                finished: BTreeMap::new(),
                nodes: Vec::new(),
                first_node: 0,
                cloud_out: false,
            }),
        });
        let p = platform.clone();
        let addr = serve(Arc::new(move |r| handle(&p, r)));
        (platform, addr)
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        self.inner.lock().unwrap().nodes = nodes;
    }

    /// Sets the node that new workers report to first; a worker may choose any.
    pub fn set_first_node(&self, node: usize) {
        self.inner.lock().unwrap().first_node = node;
    }

    pub fn upload(&self, job: &str, spec: Spec) {
        self.inner
            .lock()
            .unwrap()
            .specs
            .insert(job.to_owned(), spec);
    }

    /// Makes every machine that is up fail the tasks that it starts, until this time.
    pub fn make_sick(&self, until: f64) {
        for m in self.inner.lock().unwrap().machines.values_mut() {
            rec!(
                "TROUBLE machine {} fails every task that it starts until {until:.1}",
                m.name
            );
            m.sick_until = until;
        }
    }

    /// Makes machines hang until this time.
    pub fn hang(&self, machines: &[String], until: f64) {
        let mut inner = self.inner.lock().unwrap();
        for name in machines {
            if let Some(m) = inner.machines.get_mut(name) {
                rec!("TROUBLE machine {name} hangs until {until:.1}");
                m.hangs_until = until;
            }
        }
    }

    /// Makes a machine stop with all that is on it. The cloud does not get another one for it.
    pub fn stop(&self, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(m) = inner.machines.get_mut(machine) {
            rec!("TROUBLE machine {machine} stops with all that is on it");
            m.stopped_at = Some(now());
            m.tasks.clear();
        }
    }

    /// Begins or ends an outage of the cloud's interface.
    pub fn set_cloud_out(&self, out: bool) {
        rec!("TROUBLE the cloud's interface is down: {out}");
        self.inner.lock().unwrap().cloud_out = out;
    }

    /// Makes every machine well again.
    pub fn make_well(&self) {
        rec!("every machine is well again");
        for m in self.inner.lock().unwrap().machines.values_mut() {
            m.sick_until = 0.0;
        }
    }

    /// The machines that have failed a task of the job at its start.
    pub fn failed_on(&self, job: &str) -> BTreeSet<String> {
        let inner = self.inner.lock().unwrap();
        let prefix = format!("{job}/");
        let failed = inner
            .machines
            .values()
            .filter(|m| m.failed.iter().any(|t| t.starts_with(&prefix)));
        failed.map(|m| m.name.clone()).collect()
    }

    /// Sets when a worker sends its next report.
    pub fn report_at(&self, machine: &str, at: f64) {
        if let Some(m) = self.inner.lock().unwrap().machines.get_mut(machine) {
            m.report_at = Some(at);
        }
    }

    /// When a worker sent its last report that is answered, and when it sent its last one.
    pub fn last_report(&self, machine: &str) -> (f64, f64) {
        let inner = self.inner.lock().unwrap();
        let m = inner.machines.get(machine);
        m.map_or((0.0, 0.0), |m| (m.answered_sent_at, m.sent_at))
    }

    pub fn started(&self) -> Vec<Started> {
        self.inner.lock().unwrap().started.clone()
    }

    /// The states of a job's tasks on machines that exist, as `(machine, state)`.
    pub fn tasks_of(&self, job: &str) -> Vec<(String, TaskState)> {
        let inner = self.inner.lock().unwrap();
        let prefix = format!("{job}/");
        let up = inner.machines.values().filter(|m| m.gone_at.is_none());
        let tasks = up.flat_map(|m| {
            let of_job = m.tasks.iter().filter(|((t, _), _)| t.starts_with(&prefix));
            of_job.map(|(_, t)| (m.name.clone(), t.state.clone()))
        });
        tasks.collect()
    }

    /// Whether a task of the job is running.
    pub fn runs(&self, job: &str) -> bool {
        let tasks = self.tasks_of(job);
        tasks
            .iter()
            .any(|(_, s)| matches!(s, TaskState::Running { .. }))
    }

    /// Whether a task of the job fetches its image, runs or saves.
    pub fn is_placed(&self, job: &str) -> bool {
        let tasks = self.tasks_of(job);
        tasks
            .iter()
            .any(|(_, s)| !matches!(s, TaskState::Exited { .. }))
    }

    /// Whether task 0 of the job has completed.
    pub fn is_finished(&self, job: &str) -> bool {
        self.finished_at(job).is_some()
    }

    /// When task 0 of the job completed.
    pub fn finished_at(&self, job: &str) -> Option<f64> {
        let inner = self.inner.lock().unwrap();
        inner.finished.get(&format!("{job}/0")).copied()
    }

    /// Whether a task runs on the machine.
    pub fn has_task(&self, machine: &str) -> bool {
        let inner = self.inner.lock().unwrap();
        let tasks = inner.machines.get(machine).map(|m| &m.tasks);
        tasks.is_some_and(|t| {
            t.values()
                .any(|t| matches!(t.state, TaskState::Running { .. }))
        })
    }

    /// The names of the machines that are up.
    pub fn up(&self, spot: bool) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let up = inner.machines.values();
        let up = up.filter(|m| m.loaners == spot && m.gone_at.is_none() && m.up_at <= now());
        up.map(|m| m.name.clone()).collect()
    }

    /// A machine that is up and well, that the job may use and that has room for one of its tasks.
    pub fn machine_with_room(&self, job: &str) -> Option<String> {
        let inner = self.inner.lock().unwrap();
        let spec = inner.specs.get(job)?;
        let fits = |m: &&Machine| {
            m.gone_at.is_none()
                && m.up_at <= now()
                && m.sick_until <= now()
                && m.hangs_until <= now()
                && m.stopped_at.is_none()
                && m.warning_until.is_none()
                && (spec.loaners || !m.loaners)
                && spec.yard.as_ref().is_none_or(|y| *y == m.yard)
                && has_room(&self.rig, m, spec, &inner.specs)
        };
        inner.machines.values().find(fits).map(|m| m.name.clone())
    }
}

fn has_room(rig: &Rig, m: &Machine, need: &Spec, specs: &HashMap<String, Spec>) -> bool {
    let mut free = [rig.cores, rig.cards, rig.ram];
    for ((task, _), t) in &m.tasks {
        let job = task.split('/').next().unwrap_or_default();
        if let Some(s) = specs
            .get(job)
            .filter(|_| !matches!(t.state, TaskState::Exited { .. }))
        {
            free[0] -= s.cores;
            free[1] -= s.cards;
            free[2] -= s.ram;
        }
    }
    let need = [need.cores, need.cards, need.ram];
    need.iter().zip(free).all(|(n, f)| *n <= f + 1e-6)
}

fn handle(p: &Arc<Platform>, r: &Request) -> (u16, String) {
    let body = Json::parse(&r.body).unwrap_or(Json::Null);
    if p.inner.lock().unwrap().cloud_out {
        if r.path == "/hosts/return" {
            rec!("cloud: return of {} refused with 503", body.get("hosts"));
        }
        return (503, "{\"error\":\"trouble\"}".into());
    }
    match (r.method.as_str(), r.path.as_str()) {
        ("GET", "/flavors") => {
            let rig = &p.rig;
            let yards = rig.yards.iter().map(|y| Json::str(*y)).collect();
            let rig = Json::obj([
                ("label", Json::str(rig.label)),
                ("cores", Json::decimal(rig.cores)),
                ("cards", Json::decimal(rig.cards)),
                ("ramGb", Json::decimal(rig.ram)),
                ("localGb", Json::decimal(100.0)),
                ("fetchGbPerS", Json::decimal(rig.fetch)),
                ("rate", Json::decimal(rig.rate)),
                ("lowPrice", Json::decimal(rig.low_price)),
                ("bootS", Json::decimal(rig.boot_s)),
                ("yards", Json::Arr(yards)),
            ]);
            (200, Json::obj([("rigs", Json::Arr(vec![rig]))]).to_string())
        }
        ("POST", "/hosts") => rent(p, &body),
        ("POST", "/hosts/return") => {
            let mut inner = p.inner.lock().unwrap();
            for name in body.get("hosts").items().iter().filter_map(Json::text) {
                let returned = inner.machines.get_mut(name).filter(|m| m.gone_at.is_none());
                if let Some(m) = returned {
                    m.gone_at = Some(now());
                    if m.stopped_at.is_none() {
                        let pool = (m.yard.clone(), m.loaners);
                        *inner.room.entry(pool).or_default() += 1;
                    }
                    rec!("cloud: machine {name} returned");
                }
            }
            (200, "{}".into())
        }
        ("GET", "/hosts") => {
            let from = r.query_field("from").unwrap_or("");
            let page = r
                .query_field("page")
                .and_then(|n| n.parse().ok())
                .unwrap_or(500);
            let inner = p.inner.lock().unwrap();
            let at = now() - p.times.list_lag_s;
            let listed = inner.machines.values().filter(|m| {
                m.name.as_str() > from && m.created_at <= at && m.gone_at.is_none_or(|g| g > at)
            });
            let mut listed = listed.peekable();
            let mut hosts = Vec::new();
            while let Some(m) = listed.next_if(|_| hosts.len() < usize::min(page, 500)) {
                let status = match m.stopped_at {
                    Some(stopped) if stopped + 30.0 <= at => "failed",
                    _ if m.up_at <= at => "running",
                    _ => "booting",
                };
                hosts.push(Json::obj([
                    ("nameId", Json::str(m.name.as_str())),
                    ("endpoint", Json::str("127.0.0.1:9")),
                    ("rig", Json::str(p.rig.label)),
                    ("yard", Json::str(m.yard.as_str())),
                    ("loaners", Json::Bool(m.loaners)),
                    ("status", Json::str(status)),
                    ("ageS", Json::decimal(at - m.created_at)),
                ]));
            }
            let more = Json::Bool(listed.peek().is_some());
            (
                200,
                Json::obj([("hosts", Json::Arr(hosts)), ("more", more)]).to_string(),
            )
        }
        _ => (400, "{}".into()),
    }
}

fn rent(p: &Arc<Platform>, body: &Json) -> (u16, String) {
    let hosts = |names: &[String]| {
        let names = names.iter().map(Json::str).collect();
        (200, Json::obj([("hosts", Json::Arr(names))]).to_string())
    };
    let (Some(charter), Some(yard)) = (body.get("charter").text(), body.get("yard").text()) else {
        return (400, "{}".into());
    };
    let (loaners, count) = (body.get("loaners").bool(), body.get("howMany").u64());
    let Some(count) = count.filter(|n| (1..=50).contains(n)) else {
        return (400, "{}".into());
    };
    let mut inner = p.inner.lock().unwrap();
    if let Some(names) = inner.charters.get(charter) {
        return hosts(names);
    }
    let room = inner.room.entry((yard.to_owned(), loaners)).or_default();
    let granted = usize::min(*room, count as usize);
    *room -= granted;
    if granted == 0 {
        rec!("cloud: {charter} asks for {count} in {yard}, spot {loaners}: no capacity");
        return (503, "{\"error\":\"no capacity\"}".into());
    }
    let mut names = Vec::new();
    for _ in 0..granted {
        inner.last_machine += 1;
        let name = format!("m-{:06}", inner.last_machine);
        let up_at = now() + p.times.boot_s;
        rec!("cloud: {charter} rents {name} in {yard}, spot {loaners}");
        let machine = Machine {
            name: name.clone(),
            yard: yard.to_owned(),
            loaners,
            created_at: now(),
            up_at,
            gone_at: None,
            sick_until: 0.0,
            stopped_at: None,
            hangs_until: 0.0,
            report_at: None,
            watch: 1,
            tally: 0,
            warrant: 0,
            warrant_changed_at: f64::NEG_INFINITY,
            answered_sent_at: up_at,
            sent_at: 0.0,
            changed: true,
            warning_until: None,
            images: BTreeSet::new(),
            failed: BTreeSet::new(),
            tasks: BTreeMap::new(),
        };
        inner.machines.insert(name.clone(), machine);
        names.push(name.clone());
        let p = p.clone();
        thread::spawn(move || work(&p, &name));
    }
    inner.charters.insert(charter.to_owned(), names.clone());
    hosts(&names)
}

/// The worker of one machine, until the machine is gone.
fn work(p: &Arc<Platform>, name: &str) {
    thread::sleep(Duration::from_secs_f64(p.times.boot_s));
    let mut node = p.inner.lock().unwrap().first_node;
    let mut next = now();
    loop {
        thread::sleep(Duration::from_millis(10));
        let report = {
            let mut inner = p.inner.lock().unwrap();
            let inner = &mut *inner;
            let Some(m) = inner.machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
                return;
            };
            let t = now();
            if t < m.hangs_until || m.stopped_at.is_some() {
                continue;
            }
            step(m, t, &inner.specs, &mut inner.finished);
            if t - m.answered_sent_at > p.times.lease_s {
                rec!(
                    "worker {name}: lease over, session {} ends with {} tasks",
                    m.watch,
                    m.tasks.len()
                );
                m.tasks.clear();
                m.watch += 1;
                m.answered_sent_at = t;
                m.changed = true;
            }
            let due = match m.report_at {
                Some(at) => t >= at,
                None => t >= next || m.changed && t >= m.sent_at + 0.5,
            };
            if !due {
                continue;
            }
            m.report_at = None;
            m.changed = false;
            m.sent_at = t;
            m.tally += 1;
            report_body(p, m, t)
        };
        let (sent_at, watch, body) = report;
        let to = p.inner.lock().unwrap().nodes[node].clone();
        let answer = call(
            to.1,
            "POST",
            "/checkin",
            Some(&body),
            Duration::from_secs(4),
        );
        next = sent_at + p.times.report_s;
        match answer {
            Ok((200, bytes)) => accept(
                p,
                name,
                &Json::parse(&bytes).unwrap_or(Json::Null),
                sent_at,
                watch,
                &to.0,
            ),
            Ok((421, bytes)) => {
                let body = Json::parse(&bytes).unwrap_or(Json::Null);
                let inner = p.inner.lock().unwrap();
                let named = body.get("muster").text();
                let other = inner
                    .nodes
                    .iter()
                    .position(|(n, _)| Some(n.as_str()) == named);
                match other.filter(|o| *o != node) {
                    Some(other) => {
                        node = other;
                        next = now();
                    }
                    None => {
                        node = (node + 1) % inner.nodes.len();
                        next = now() + 1.0;
                    }
                }
                rec!(
                    "worker {name}: 421 from {}, goes to {}",
                    to.0,
                    inner.nodes[node].0
                );
            }
            other => {
                let nodes = p.inner.lock().unwrap().nodes.len();
                node = (node + 1) % nodes;
                next = now() + 1.0;
                let what = other.map_or_else(|e| e.to_string(), |(status, _)| status.to_string());
                rec!("worker {name}: no answer from {} ({what})", to.0);
            }
        }
    }
}

/// Lets the tasks of a machine go on until `t`.
fn step(
    m: &mut Machine,
    t: f64,
    specs: &HashMap<String, Spec>,
    finished: &mut BTreeMap<String, f64>,
) {
    let mut fetched = Vec::new();
    let mut failed = Vec::new();
    for ((task, attempt), entry) in &mut m.tasks {
        let job = task.split('/').next().unwrap_or_default();
        let next = match entry.state {
            TaskState::Pulling { until } if t >= until => {
                fetched.push(entry.reel.clone());
                if t < m.sick_until {
                    failed.push(task.clone());
                    rec!(
                        "worker {}: task {task} try {attempt} fails at its start",
                        m.name
                    );
                    TaskState::Exited {
                        cause: "error",
                        kept: false,
                    }
                } else {
                    rec!("worker {}: task {task} try {attempt} runs", m.name);
                    let run_s = specs.get(job).and_then(|s| s.run_s);
                    TaskState::Running {
                        until: run_s.map(|s| t + s),
                    }
                }
            }
            TaskState::Running { until: Some(until) } if t >= until => {
                rec!("worker {}: task {task} try {attempt} is done", m.name);
                finished.entry(task.clone()).or_insert(t);
                TaskState::Exited {
                    cause: "done",
                    kept: false,
                }
            }
            TaskState::Flushing { until } if t >= until => TaskState::Exited {
                cause: "halted",
                kept: true,
            },
            _ => continue,
        };
        entry.state = next;
        m.changed = true;
    }
    m.images.extend(fetched);
    m.failed.extend(failed);
}

fn report_body(p: &Platform, m: &Machine, t: f64) -> (f64, u64, String) {
    let takes = m.tasks.iter().map(|((task, attempt), entry)| {
        let (status, cause, kept) = match &entry.state {
            TaskState::Pulling { .. } => ("pulling", Json::Null, false),
            TaskState::Running { .. } => ("running", Json::Null, false),
            TaskState::Flushing { .. } => ("flushing", Json::Null, false),
            TaskState::Exited { cause, kept } => ("exited", Json::str(*cause), *kept),
        };
        Json::obj([
            ("take", Json::str(task.as_str())),
            ("try", Json::num(attempt)),
            ("status", Json::str(status)),
            ("cause", cause),
            ("kept", Json::Bool(kept)),
        ])
    });
    let takes = Json::Arr(takes.collect());
    let warning = m
        .warning_until
        .map_or(Json::Null, |w| Json::decimal((w - t).max(0.0)));
    let body = Json::obj([
        ("host", Json::str(m.name.as_str())),
        ("endpoint", Json::str("127.0.0.1:9")),
        ("rig", Json::str(p.rig.label)),
        ("yard", Json::str(m.yard.as_str())),
        ("loaners", Json::Bool(m.loaners)),
        ("watch", Json::num(m.watch)),
        ("tally", Json::num(m.tally)),
        ("warrant", Json::num(m.warrant)),
        ("warningS", warning),
        ("takes", takes),
    ]);
    (t, m.watch, body.to_string())
}

/// Handles the answer 200 to a report.
fn accept(p: &Platform, name: &str, body: &Json, sent_at: f64, watch: u64, node: &str) {
    let mut inner = p.inner.lock().unwrap();
    let inner = &mut *inner;
    let Some(m) = inner.machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
        return;
    };
    let Some(warrant) = body.get("warrant").u64().filter(|w| *w >= m.warrant) else {
        return;
    };
    let t = now();
    // A machine that hangs for long has given this answer up when it goes on.
    if m.watch != watch || t - sent_at > 4.0 || t < m.hangs_until || m.stopped_at.is_some() {
        return;
    }
    if warrant > m.warrant {
        m.warrant = warrant;
        if t - m.warrant_changed_at > p.times.lease_s / 2.0 {
            m.warrant_changed_at = t;
            m.changed = true;
        }
    }
    m.answered_sent_at = sent_at;
    for order in body.get("orders").items() {
        let (Some(task), Some(attempt)) = (order.get("take").text(), order.get("try").u64()) else {
            continue;
        };
        let verb = order.get("verb").text().unwrap_or_default();
        rec!(
            "worker {name}: report sent at {sent_at:.3}, answer of {node} with warrant {warrant}: {verb} {task} try {attempt}"
        );
        let key = (task.to_owned(), attempt);
        let before = m.tasks.get(&key).map(|entry| entry.state.clone());
        let job = task.split('/').next().unwrap_or_default();
        let spec = inner.specs.get(job);
        match (verb, before) {
            ("run", None) => {
                let other = m.tasks.iter().any(|((other, _), entry)| {
                    other == task && !matches!(entry.state, TaskState::Exited { .. })
                });
                let refused = |cause| TaskState::Exited { cause, kept: false };
                let state = match spec {
                    None => refused("unknown"),
                    Some(_) if other => refused("busy"),
                    Some(spec) if !has_room(&p.rig, m, spec, &inner.specs) => refused("no_room"),
                    Some(spec) if m.images.contains(&spec.reel) => TaskState::Pulling { until: t },
                    Some(spec) => TaskState::Pulling {
                        until: t + spec.pull / p.rig.fetch,
                    },
                };
                inner.started.push(Started {
                    report_sent_at: sent_at,
                    at: t,
                    task: task.to_owned(),
                    machine: name.to_owned(),
                });
                let reel = spec.map_or(String::new(), |s| s.reel.clone());
                m.tasks.insert(key, Task { state, reel });
                m.changed = true;
            }
            ("stop", Some(state)) if !matches!(state, TaskState::Exited { .. }) => {
                let slack = order.get("slackS").f64().unwrap_or(0.0);
                let saves = spec.is_some_and(|s| s.mark > 0.0 && slack >= s.stow);
                let state = match state {
                    TaskState::Running { .. } if saves => TaskState::Flushing {
                        until: t + spec.map_or(0.0, |s| s.stow),
                    },
                    TaskState::Flushing { until } if slack > 0.0 => TaskState::Flushing { until },
                    _ => TaskState::Exited {
                        cause: "halted",
                        kept: false,
                    },
                };
                if let Some(entry) = m.tasks.get_mut(&key) {
                    entry.state = state;
                }
                m.changed = true;
            }
            ("clear", Some(TaskState::Exited { .. })) => {
                m.tasks.remove(&key);
                m.changed = true;
            }
            _ => {}
        }
    }
}
