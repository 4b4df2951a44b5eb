//! A world for scenarios: several whole controllers, the state service, the cloud, workers and users, in memory and in
//! virtual time, with a invariant checker that holds every step against the protocol's rules.

use super::invariants::{InvariantChecker, Place};
use super::keys::{Keys, query_field};
use super::sim::{Entrance, HostId, Sim, within};
use event_listener::Event;
use http_types::Method;
use ravenhead::config::{Platform, Settings};
use ravenhead::controller::{self, Node};
use ravenhead::http::{Call, Client, Reply, serve};
use ravenhead::net::Stream;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// The state service's host.
pub const STATE: HostId = 1;
/// The cloud's host.
pub const CLOUD: HostId = 2;
/// The users' host.
pub const USERS: HostId = 3;
/// Where copies of reports are kept until they arrive.
const ECHO: HostId = 4;
/// Controller `i` is the host after this one by `i`.
const NODES: HostId = 10;
/// Machine `n` is the host after this one by `n`.
const MACHINES: HostId = 1_000;

/// Seconds between two reports of a worker.
const REPORT_S: f64 = 2.0;
/// A worker's lease.
pub const LEASE_S: f64 = 14.0;
/// The time for a cancellation.
pub const CANCEL_S: f64 = 40.0;
/// How old the machine list is.
const LIST_LAG_S: f64 = 4.0;
/// Most accelerators of the team `small`.
pub const SMALL_LIMIT: f64 = 6.0;

/// How the state service is troubled.
#[derive(Debug, Default)]
pub struct StateTrouble {
    /// Nobody is served.
    pub out: bool,
    /// These controllers are not.
    pub refused: BTreeSet<usize>,
    /// Seconds that each answer takes longer.
    pub slow_s: f64,
    /// Share of the transactions that are carried out at once, and whose answers are lost.
    pub answers_lost: f64,
    /// Share of the transactions that are carried out 2 to 12 s later, without an answer.
    pub late: f64,
}

/// How machines come up.
#[derive(Debug, Clone, Copy)]
pub struct Boots {
    /// The usual time.
    pub seconds: f64,
    /// Share of the machines that never come up.
    pub failed: f64,
}

struct Machine {
    place: Place,
    made: u64,
    up: Option<u64>,
    gone: Option<u64>,
}

#[derive(Clone)]
struct Run {
    state: &'static str,
    cause: Option<&'static str>,
    /// When it has its image, or ends.
    at: u64,
}

/// Everything but the controllers.
pub struct World {
    /// Time and network.
    pub sim: Rc<Sim>,
    /// The books.
    pub invariants: RefCell<InvariantChecker>,
    /// The state service's keys.
    pub keys: RefCell<Keys>,
    keys_changed: Event,
    leases: RefCell<BTreeMap<u64, (u64, u64)>>,
    /// How the state service is troubled.
    pub state: RefCell<StateTrouble>,
    /// Whether the cloud is down.
    pub cloud_out: Cell<bool>,
    /// How machines come up.
    pub boots: Cell<Boots>,
    machines: RefCell<BTreeMap<String, Machine>>,
    rental_requests_made: RefCell<BTreeMap<String, Vec<String>>>,
    /// Most machines that can be had.
    pub capacity: Cell<usize>,
    /// Share of reports of which a copy arrives again, 2 s to well over a lease later.
    pub copies: Cell<f64>,
    /// Reports kept for the next leader.
    pub kept_for_next: RefCell<Option<Vec<String>>>,
    nodes: usize,
    zones: usize,
}

fn addr(host: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], port))
}

fn face(node: usize) -> SocketAddr {
    addr(NODES + node, 80)
}

fn internal(node: usize) -> SocketAddr {
    addr(NODES + node, 81)
}

/// The host of a controller.
pub fn node_host(node: usize) -> HostId {
    NODES + node
}

/// The host of a machine.
pub fn machine_host(machine: &str) -> HostId {
    MACHINES + machine[2..].parse::<usize>().expect("a number")
}

/// The name of a controller's zone, and of a machine's.
fn zone(i: usize, zones: usize) -> String {
    format!("z{}", i % zones)
}

/// A job of accelerator tasks that take `expect_s` seconds.
pub fn job(id: &str, tasks: u32, expect_s: f64) -> Value {
    json!({"nameId": id, "lane": "batch", "crew": "large", "shape": "sweep", "rank": "normal", "takes": tasks,
        "cores": 4.0, "cards": 1.0, "ramGb": 8.0, "reel": "i", "pullGb": 1.0, "rigs": null, "yard": null,
        "together": false, "spread": false, "loaners": true, "expectS": expect_s, "markS": 0.0, "stowS": 0.0,
        "dueS": null})
}

/// The same with some fields changed.
pub fn with(mut job: Value, changes: Value) -> Value {
    for (field, value) in changes.as_object().expect("fields") {
        job[field] = value.clone();
    }
    job
}

impl World {
    /// A world whose controllers, in two zones, run and lead.
    pub fn new(seed: u64, nodes: usize) -> Rc<World> {
        let sim = Sim::new(seed);
        let world = Rc::new(World {
            invariants: RefCell::new(InvariantChecker::new(CANCEL_S, &[("small", SMALL_LIMIT)])),
            keys: RefCell::default(),
            keys_changed: Event::new(),
            leases: RefCell::default(),
            state: RefCell::default(),
            cloud_out: Cell::new(false),
            boots: Cell::new(Boots {
                seconds: 10.0,
                failed: 0.02,
            }),
            machines: RefCell::default(),
            rental_requests_made: RefCell::default(),
            capacity: Cell::new(12),
            copies: Cell::new(0.0),
            kept_for_next: RefCell::default(),
            nodes,
            zones: 2,
            sim,
        });
        let w = world.clone();
        world
            .sim
            .start(STATE, |ex| async move { w.serve_state(ex).await });
        let w = world.clone();
        world
            .sim
            .start(CLOUD, |ex| async move { w.serve_cloud(ex).await });
        for host in [USERS, ECHO] {
            world.sim.start(
                host,
                |ex| async move { ex.run(std::future::pending()).await },
            );
        }
        for node in 0..nodes {
            world.start_node(node);
        }
        world.run(5.0);
        world
    }

    /// Runs everything for some seconds; the invariant checker looks on.
    pub fn run(self: &Rc<Self>, seconds: f64) {
        let mut left = seconds;
        while left > 1e-9 {
            let step = left.min(0.25);
            self.sim.run(step);
            left -= step;
            self.invariants.borrow_mut().look(self.sim.now());
        }
    }

    /// Runs until something holds, for some seconds at the most; whether it does.
    pub fn run_until(self: &Rc<Self>, seconds: f64, holds: impl Fn(&World) -> bool) -> bool {
        for _ in 0..(seconds / 0.1) as usize {
            if holds(self) {
                return true;
            }
            self.run(0.1);
        }
        holds(self)
    }

    /// Begins a life of a controller.
    pub fn start_node(&self, node: usize) {
        let members = (0..self.nodes).filter(|i| *i != node).map(|i| {
            format!(
                "[[members]]\nnode = \"n-{i}\"\nzone = \"{}\"\naddress = \"{}\"\n",
                zone(i, self.zones),
                internal(i)
            )
        });
        let members: String = members.collect();
        let text = format!(
            "node = \"n-{node}\"\nzone = \"{}\"\nbind = \"{}\"\ninternal_addr = \"{}\"\n{members}\
             [external]\ncloud = \"{}\"\nstate = \"{}\"\n[facts]\nsize = {}\n\
             [[facts.teams]]\nname = \"small\"\ngpus_max = {SMALL_LIMIT:.1}\n[[facts.teams]]\nname = \"large\"\n\
             [facts.workers]\nreport_s = {REPORT_S:.1}\nlease_s = {LEASE_S:.1}\ncancel_s = {CANCEL_S:.1}\n\
             [facts.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 8.0\ntxn_ops = 20\n\
             [facts.cloud]\nrps = 5.0\nlist_lag_s = {LIST_LAG_S:.1}\n\
             [facts.machine_limits]\ncore_share = 0.3\nram_mb = 100.0\nmax_sockets = 1500\n",
            zone(node, self.zones),
            face(node),
            internal(node),
            addr(CLOUD, 80),
            addr(STATE, 80),
            self.nodes,
        );
        let platform = Platform::parse(&text).expect("fine settings");
        self.sim.start(node_host(node), |ex| async move {
            let node = Rc::new(Node::new(platform, Settings::default()));
            controller::run(&ex, node).await.expect("it listens");
        });
    }

    /// Ends a controller's process.
    pub fn kill_node(&self, node: usize) {
        self.sim.kill(node_host(node));
    }

    /// The controller that the state service has as leader.
    pub fn leader(&self) -> Option<usize> {
        let keys = self.keys.borrow();
        let (record, _) = keys.keys.get("r/leader")?;
        record["node"].as_str()?[2..].parse().ok()
    }

    /// Waits for a leader, and says which.
    pub fn await_leader(self: &Rc<Self>) -> usize {
        assert!(
            self.run_until(30.0, |w| w.leader().is_some()),
            "nobody leads"
        );
        self.leader().expect("a leader")
    }

    /// Blocks or opens all ways between two sets of hosts.
    pub fn cut(&self, some: &[HostId], others: &[HostId], blocked: bool) {
        for a in some {
            for b in others.iter().filter(|b| *b != a) {
                self.sim.block(*a, *b, blocked);
                self.sim.block(*b, *a, blocked);
            }
        }
    }

    /// The hosts of all controllers.
    pub fn node_hosts(&self) -> Vec<HostId> {
        (0..self.nodes).map(node_host).collect()
    }

    /// The zone of a controller.
    pub fn zone_of(&self, node: usize) -> String {
        zone(node, self.zones)
    }

    /// The hosts of a zone: its controllers and machines.
    pub fn zone_hosts(&self, name: &str) -> Vec<HostId> {
        let nodes = (0..self.nodes).filter(|i| zone(*i, self.zones) == name);
        let machines = self.machines.borrow();
        let there = machines.iter().filter(|(_, m)| m.place.zone == name);
        nodes
            .map(node_host)
            .chain(there.map(|(name, _)| machine_host(name)))
            .collect()
    }

    /// All hosts that are not of a zone.
    pub fn hosts_beyond(&self, name: &str) -> Vec<HostId> {
        let inside = self.zone_hosts(name);
        let machines = self.machines.borrow();
        let all = machines.keys().map(|m| machine_host(m));
        let all = all.chain(self.node_hosts()).chain([STATE, CLOUD, USERS]);
        all.filter(|h| !inside.contains(h)).collect()
    }

    /// The machines that are there.
    pub fn machines_up(&self) -> Vec<String> {
        let machines = self.machines.borrow();
        let up = machines
            .iter()
            .filter(|(_, m)| m.gone.is_none() && m.up.is_some_and(|at| at <= self.sim.now()));
        up.map(|(name, _)| name.clone()).collect()
    }

    /// The state service is out for all, or back: then every lease has its full time again.
    pub fn state_out(&self, out: bool) {
        self.state.borrow_mut().out = out;
        if !out {
            let now = self.sim.now();
            for (ttl, ends) in self.leases.borrow_mut().values_mut() {
                *ends = now + *ttl;
            }
        }
        self.keys_changed.notify(usize::MAX);
    }

    /// The state service refuses one controller, or no longer does.
    pub fn refuse_node(&self, node: usize, refused: bool) {
        if refused {
            self.state.borrow_mut().refused.insert(node);
        } else {
            self.state.borrow_mut().refused.remove(&node);
        }
        self.keys_changed.notify(usize::MAX);
    }

    /// A user submits a job at a controller until it is told that it is accepted.
    pub fn submit(self: &Rc<Self>, node: usize, spec: &Value) {
        self.spawn_submit(node, spec.clone());
        let id = spec["nameId"].as_str().expect("a name").to_owned();
        let told = |w: &World| {
            w.invariants
                .borrow()
                .jobs
                .get(&id)
                .is_some_and(|j| j.accepted.is_some())
        };
        assert!(self.run_until(60.0, told), "{id} was not accepted");
    }

    /// The same in the background.
    pub fn spawn_submit(self: &Rc<Self>, node: usize, spec: Value) {
        let w = self.clone();
        self.spawn(async move {
            let id = spec["nameId"].as_str().expect("a name").to_owned();
            w.invariants.borrow_mut().submits(&spec);
            for round in 0..60 {
                let body = Some(spec.to_string());
                let at = (node + round) % w.nodes;
                let status = w.ask(at, "submit", &id, Method::Post, "/work", body).await;
                if matches!(status, Some(200 | 201 | 400 | 422)) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// A user cancels a job at a controller, again and again until it is told; in the background.
    pub fn spawn_cancel(self: &Rc<Self>, node: usize, id: &str) {
        let (w, id) = (self.clone(), id.to_owned());
        self.spawn(async move {
            let now = w.sim.now();
            w.invariants.borrow_mut().asks_to_cancel(now, &id);
            let path = format!("/work/{id}/withdraw");
            for round in 0..200 {
                let at = (node + round) % w.nodes;
                let status = w.ask(at, "cancel", &id, Method::Post, &path, None).await;
                if status == Some(200) {
                    return;
                }
                w.sim.sleep(1.0).await;
            }
        });
    }

    /// Asks all controllers about a job, side by side, in the background.
    pub fn spawn_ask_all(self: &Rc<Self>, id: &str) {
        for node in 0..self.nodes {
            let (w, id) = (self.clone(), id.to_owned());
            self.spawn(async move { w.poll(node, &id).await });
        }
    }

    /// Asks one controller about a job.
    pub async fn poll(&self, node: usize, id: &str) {
        let path = format!("/work/{id}");
        self.ask(node, "poll", id, Method::Get, &path, None).await;
    }

    /// Whether users were told that a job is cancelled.
    pub fn told_cancelled(&self, id: &str) -> bool {
        let invariants = self.invariants.borrow();
        let end = invariants.jobs.get(id).and_then(|j| j.end.as_ref());
        end.is_some_and(|(end, _)| end == "aborted")
    }

    /// Runs a routine of users.
    pub fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        self.sim.start(self.sim.next_guest(), |_| work);
    }

    async fn ask(
        &self,
        node: usize,
        what: &str,
        id: &str,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Option<u16> {
        let client = Client::new(face(node));
        let since = self.sim.now();
        let body = body.map(String::into_bytes);
        let answer = client.call(method, path, body, Micros::secs(5)).await;
        let (status, bytes) = answer.ok()?;
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let state = value["status"].as_str().unwrap_or_default().to_owned();
        let now = self.sim.now();
        let mut invariants = self.invariants.borrow_mut();
        invariants.answered(now, since, &format!("{what}@{node}"), id, status, &state);
        Some(status)
    }

    /// Users come: `count` jobs, `every` so many seconds, some of them cancelled later; every job is asked about.
    pub fn traffic(
        self: &Rc<Self>,
        prefix: &str,
        count: usize,
        every_s: f64,
        cancelled: f64,
        make: impl Fn(&str) -> Value + 'static,
    ) {
        let (w, prefix) = (self.clone(), prefix.to_owned());
        self.spawn(async move {
            for n in 0..count {
                let id = format!("j-{prefix}{n:03}");
                let at = w.sim.below(w.nodes);
                w.spawn_submit(at, make(&id));
                if w.sim.chance() < cancelled {
                    let (w2, id2) = (w.clone(), id.clone());
                    let after = w.sim.chance() * 20.0;
                    w.spawn(async move {
                        w2.sim.sleep(after).await;
                        let known = |w: &World| w.invariants.borrow().jobs[&id2].accepted.is_some();
                        while !known(&w2) {
                            w2.sim.sleep(0.5).await;
                        }
                        w2.spawn_cancel(at, &id2);
                    });
                }
                let (w2, id2) = (w.clone(), id.clone());
                w.spawn(async move {
                    loop {
                        w2.sim.sleep(3.0 + w2.sim.chance() * 3.0).await;
                        let accepted = w2.invariants.borrow().jobs[&id2].accepted.is_some();
                        if accepted {
                            let at = w2.sim.below(w2.nodes);
                            w2.poll(at, &id2).await;
                        }
                    }
                });
                w.sim.sleep(every_s * (0.5 + w.sim.chance())).await;
            }
        });
    }

    /// The troubles are over: within `seconds` every accepted job that was not cancelled is done, and each is known at
    /// every controller as it was told. No rule was broken on the way.
    pub fn settle(self: &Rc<Self>, seconds: f64) {
        let open = |w: &World| {
            let invariants = w.invariants.borrow();
            let open = invariants.jobs.iter().filter(|(_, j)| {
                j.accepted.is_some()
                    && !j.cancel_asked
                    && j.end.is_none()
                    && j.spec["shape"] == "sweep"
            });
            open.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        };
        let mut left = seconds;
        while left > 0.0 && !open(self).is_empty() {
            for id in open(self) {
                self.spawn_ask_all(&id);
            }
            self.run(2.0);
            left -= 2.0;
        }
        assert_eq!(open(self), Vec::<String>::new(), "not done in time");
        let ids: Vec<String> = self.invariants.borrow().jobs.keys().cloned().collect();
        for id in &ids {
            for node in 0..self.nodes {
                let (w, id) = (self.clone(), id.clone());
                self.spawn(async move {
                    // What no question is answered about is forgotten.
                    for _ in 0..10 {
                        let path = format!("/work/{id}");
                        let status = w.ask(node, "poll", &id, Method::Get, &path, None).await;
                        if status == Some(200) {
                            return;
                        }
                        w.sim.sleep(1.0).await;
                    }
                    let accepted = w.invariants.borrow().jobs[&id].accepted.is_some();
                    assert!(!accepted, "{id} is not known at n-{node}");
                });
            }
        }
        self.run(CANCEL_S + 5.0);
        self.assert_rules();
        assert!(self.invariants.borrow().starts > 0, "nothing_ran");
    }

    /// No rule was broken so far.
    pub fn assert_rules(&self) {
        let invariants = self.invariants.borrow();
        assert!(invariants.breaches.is_empty(), "{:#?}", invariants.breaches);
    }

    // The state service.

    async fn serve_state(self: Rc<Self>, ex: Rc<async_executor::LocalExecutor<'static>>) {
        let entrance = Entrance::open(addr(STATE, 80));
        loop {
            let (from, stream) = entrance.next().await;
            let w = self.clone();
            ex.spawn(serve_one(stream, move |call| {
                let w = w.clone();
                async move { w.answer_state(from, call).await }
            }))
            .detach();
        }
    }

    fn refuses(&self, from: HostId) -> bool {
        let state = self.state.borrow();
        state.out || state.refused.contains(&from.wrapping_sub(NODES))
    }

    fn end_leases(&self) {
        if self.state.borrow().out {
            return;
        }
        let now = self.sim.now();
        let over: Vec<u64> = {
            let leases = self.leases.borrow();
            let over = leases.iter().filter(|(_, (_, ends))| *ends <= now);
            over.map(|(id, _)| *id).collect()
        };
        for lease in over {
            self.leases.borrow_mut().remove(&lease);
            self.keys.borrow_mut().end(lease);
            self.keys_changed.notify(usize::MAX);
        }
    }

    async fn answer_state(&self, from: HostId, call: Call) -> Reply {
        let slow = self.state.borrow().slow_s;
        self.sim
            .sleep(0.002 + slow * (0.5 + self.sim.chance()))
            .await;
        self.end_leases();
        if self.refuses(from) {
            return Reply::error(503, "trouble");
        }
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method, path.as_slice()) {
            (Method::Post, ["txn"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let (lost, late) = {
                    let state = self.state.borrow();
                    (state.answers_lost, state.late)
                };
                if self.sim.chance() < late {
                    self.sim.sleep(2.0 + 10.0 * self.sim.chance()).await;
                    self.keys.borrow_mut().txn(&body);
                    self.keys_changed.notify(usize::MAX);
                    return std::future::pending().await;
                }
                let reply = self.keys.borrow_mut().txn(&body);
                self.keys_changed.notify(usize::MAX);
                if self.sim.chance() < lost {
                    return std::future::pending().await;
                }
                reply
            }
            (Method::Post, ["holds"]) => {
                let body: Value = serde_json::from_slice(&call.body).expect("JSON");
                let ttl = body["ttlMs"].as_u64().expect("a time") * 1_000;
                let lease = {
                    let mut keys = self.keys.borrow_mut();
                    keys.leases += 1;
                    keys.leases
                };
                let ends = self.sim.now() + ttl;
                self.leases.borrow_mut().insert(lease, (ttl, ends));
                Reply::json(200, &json!({"tenure": lease}))
            }
            (Method::Post, ["holds", lease, "extend"]) => {
                let now = self.sim.now();
                match self
                    .leases
                    .borrow_mut()
                    .get_mut(&lease.parse().expect("a lease"))
                {
                    Some((ttl, ends)) => {
                        *ends = now + *ttl;
                        Reply::json(200, &json!({}))
                    }
                    None => Reply::error(404, "no such lease"),
                }
            }
            (Method::Delete, ["holds", lease]) => {
                let lease = lease.parse().expect("a lease");
                self.leases.borrow_mut().remove(&lease);
                let reply = self.keys.borrow_mut().end(lease);
                self.keys_changed.notify(usize::MAX);
                reply
            }
            (Method::Get, ["keys"]) => self.keys.borrow().list(&call.query),
            (Method::Get, ["watch"]) => self.watch(from, &call).await,
            (Method::Get, _) => self
                .keys
                .borrow()
                .get(call.path.trim_start_matches("/keys/")),
            _ => Reply::error(400, "odd"),
        }
    }

    /// Answers once there is something new, or after three seconds; in trouble it waits for the trouble's end.
    async fn watch(&self, from: HostId, call: &Call) -> Reply {
        let since = query_field(&call.query, "from");
        let since: u64 = since.and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = self.sim.now() + 3_000_000;
        loop {
            let changed = self.keys_changed.listen();
            self.end_leases();
            if !self.refuses(from) {
                let keys = self.keys.borrow();
                let news: Vec<&Value> = keys.news_since(since).collect();
                if !news.is_empty() || self.sim.now() >= until {
                    return Reply::json(200, &json!({"epoch": keys.epoch, "news": news}));
                }
            }
            within(&self.sim, 0.1, changed).await;
        }
    }

    // The cloud.

    async fn serve_cloud(self: Rc<Self>, ex: Rc<async_executor::LocalExecutor<'static>>) {
        let entrance = Entrance::open(addr(CLOUD, 80));
        loop {
            let (_, stream) = entrance.next().await;
            let w = self.clone();
            ex.spawn(serve_one(stream, move |call| {
                let w = w.clone();
                async move {
                    w.sim.sleep(0.1).await;
                    w.answer_cloud(&call)
                }
            }))
            .detach();
        }
    }

    fn answer_cloud(self: &Rc<Self>, call: &Call) -> Reply {
        if self.cloud_out.get() {
            return Reply::error(503, "trouble");
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        match (call.method, call.path.as_str()) {
            (Method::Get, "/flavors") => {
                let zones: Vec<String> = (0..self.zones).map(|i| zone(i, self.zones)).collect();
                Reply::json(
                    200,
                    &json!({"rigs": [{"label": "g8", "cores": 16.0, "cards": 4.0, "ramGb": 64.0, "localGb": 100.0,
                        "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": self.boots.get().seconds,
                        "yards": zones}]}),
                )
            }
            (Method::Get, "/hosts") => self.list_machines(),
            (Method::Post, "/hosts") => self.rent(&body),
            (Method::Post, "/hosts/return") => {
                for name in body["hosts"].as_array().into_iter().flatten() {
                    self.remove_machine(name.as_str().expect("a name"));
                }
                Reply::json(200, &json!({}))
            }
            _ => Reply::error(400, "odd"),
        }
    }

    fn list_machines(&self) -> Reply {
        let then = self.sim.now().saturating_sub((LIST_LAG_S * 1e6) as u64);
        let machines = self.machines.borrow();
        let listed = machines
            .iter()
            .filter(|(_, m)| m.made <= then && m.gone.is_none_or(|at| at > then));
        let hosts: Vec<Value> = listed
            .map(|(name, m)| {
                let up = m.up.is_some_and(|at| at <= then);
                json!({"nameId": name, "endpoint": "e", "rig": m.place.machine_type, "yard": m.place.zone,
                    "loaners": m.place.spot, "status": if up { "running" } else { "booting" },
                    "ageS": (then - m.made) as f64 / 1e6})
            })
            .collect();
        Reply::json(200, &json!({"hosts": hosts, "more": false}))
    }

    fn rent(self: &Rc<Self>, body: &Value) -> Reply {
        let request_name = body["charter"].as_str().expect("a name").to_owned();
        if let Some(hosts) = self.rental_requests_made.borrow().get(&request_name) {
            return Reply::json(200, &json!({"hosts": hosts}));
        }
        let there = self
            .machines
            .borrow()
            .values()
            .filter(|m| m.gone.is_none())
            .count();
        let wanted = body["howMany"].as_u64().expect("a number") as usize;
        let count = wanted.min(self.capacity.get().saturating_sub(there));
        if count == 0 {
            return Reply::error(503, "no capacity");
        }
        let hosts: Vec<String> = (0..count).map(|_| self.make_machine(body)).collect();
        self.rental_requests_made
            .borrow_mut()
            .insert(request_name, hosts.clone());
        Reply::json(200, &json!({"hosts": hosts}))
    }

    fn make_machine(self: &Rc<Self>, body: &Value) -> String {
        let name = format!("m-{:06}", self.machines.borrow().len());
        let boots = self.boots.get();
        let now = self.sim.now();
        let after = boots.seconds * (0.6 + 0.9 * self.sim.chance());
        let up = (self.sim.chance() >= boots.failed).then_some(now + (after * 1e6) as u64);
        let place = Place {
            machine_type: body["rig"].as_str().expect("a type").to_owned(),
            zone: body["yard"].as_str().expect("a zone").to_owned(),
            spot: body["loaners"] == true,
        };
        let machine = Machine {
            place: place.clone(),
            made: now,
            up,
            gone: None,
        };
        self.machines.borrow_mut().insert(name.clone(), machine);
        if up.is_some() {
            let (w, name) = (self.clone(), name.clone());
            self.sim.start(machine_host(&name), |_| async move {
                w.sim.sleep(after).await;
                w.worker(name, place).await;
            });
        }
        name
    }

    /// A machine is gone with all that was on it.
    pub fn remove_machine(&self, name: &str) {
        let now = self.sim.now();
        if let Some(m) = self.machines.borrow_mut().get_mut(name) {
            m.gone.get_or_insert(now);
        }
        self.sim.kill(machine_host(name));
        self.invariants.borrow_mut().gone(now, name);
    }

    // A worker.

    async fn worker(self: Rc<Self>, name: String, place: Place) {
        let worker = Rc::new(Worker {
            name,
            place,
            session: Cell::new(1),
            seq: Cell::new(0),
            token: Cell::new(0),
            renewed: Cell::new(self.sim.now()),
            tasks: RefCell::default(),
            changed: Event::new(),
            looked: Cell::new(self.sim.now()),
        });
        let beats = self.beat(&worker);
        futures_lite::future::or(beats, self.live(&worker)).await;
    }

    /// Lets tasks go on, and kills them when the lease is over.
    async fn live(&self, worker: &Worker) {
        loop {
            self.sim.sleep(0.05).await;
            let now = self.sim.now();
            let gap = now - worker.looked.replace(now);
            if now > worker.renewed.get() + (LEASE_S * 1e6) as u64 {
                let tasks = std::mem::take(&mut *worker.tasks.borrow_mut());
                for ((task, _), run) in tasks {
                    self.off(worker, &task, &run, false);
                }
                worker.session.set(worker.session.get() + 1);
                worker.renewed.set(now);
                worker.changed.notify(usize::MAX);
                continue;
            }
            for ((task, _), run) in worker.tasks.borrow_mut().iter_mut() {
                if gap > 500_000 && run.at != u64::MAX {
                    // It hung: its tasks stood still as well.
                    run.at += gap;
                }
                if run.at > now {
                    continue;
                }
                let (id, index) = split(task);
                let mut invariants = self.invariants.borrow_mut();
                if run.state == "pulling" {
                    run.state = "running";
                    let spec = invariants.jobs[id].spec.clone();
                    run.at = match spec["shape"].as_str() {
                        Some("standing") => u64::MAX,
                        _ => now + (spec["expectS"].as_f64().expect("a time") * 1e6) as u64,
                    };
                    invariants.starts(now, id, index, &worker.name, &worker.place);
                } else if run.state == "running" {
                    run.state = "exited";
                    run.cause = Some("done");
                    run.at = u64::MAX;
                    invariants.ends(now, id, index, &worker.name, true);
                }
                worker.changed.notify(usize::MAX);
            }
        }
    }

    fn off(&self, worker: &Worker, task: &str, run: &Run, done: bool) {
        if run.state == "running" {
            let (id, index) = split(task);
            let now = self.sim.now();
            self.invariants
                .borrow_mut()
                .ends(now, id, index, &worker.name, done);
        }
    }

    async fn beat(&self, worker: &Worker) {
        let mut at = self.sim.below(self.nodes);
        let mut client = Client::new(face(at));
        loop {
            let changed = worker.changed.listen();
            let sent = self.sim.now();
            let session = worker.session.get();
            worker.seq.set(worker.seq.get() + 1);
            let body = worker.report();
            self.copy(at, &body);
            let answer = client
                .call(
                    Method::Post,
                    "/checkin",
                    Some(body.into_bytes()),
                    Micros::secs(4),
                )
                .await;
            let mut next = (at + 1) % self.nodes;
            match answer {
                Ok((200, bytes)) => {
                    let answer: Value = serde_json::from_slice(&bytes).expect("JSON");
                    let token = answer["warrant"].as_u64().unwrap_or(0);
                    if worker.session.get() == session && token >= worker.token.get() {
                        worker.token.set(token);
                        worker.renewed.set(sent);
                        self.execute(worker, &answer["orders"]);
                    }
                    self.sim.sleep(0.5).await;
                    let wait = REPORT_S * (0.75 + 0.5 * self.sim.chance()) - 0.5;
                    within(&self.sim, wait, changed).await;
                    continue;
                }
                Ok((421, bytes)) => {
                    let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                    let named = answer["muster"].as_str().and_then(|n| n[2..].parse().ok());
                    match named.filter(|n| *n != at && *n < self.nodes) {
                        Some(named) => next = named,
                        None => self.sim.sleep(1.0).await,
                    }
                }
                _ => self.sim.sleep(1.0).await,
            }
            at = next;
            client = Client::new(face(at));
        }
    }

    fn execute(&self, worker: &Worker, orders: &Value) {
        let now = self.sim.now();
        let mut tasks = worker.tasks.borrow_mut();
        for order in orders.as_array().into_iter().flatten() {
            let task = order["take"].as_str().expect("a task").to_owned();
            let key = (task.clone(), order["try"].as_u64().expect("an attempt"));
            match order["verb"].as_str() {
                Some("run") if !tasks.contains_key(&key) => {
                    let busy = tasks
                        .iter()
                        .any(|((t, _), run)| *t == task && run.state != "exited");
                    let run = if busy {
                        Run {
                            state: "exited",
                            cause: Some("busy"),
                            at: u64::MAX,
                        }
                    } else {
                        Run {
                            state: "pulling",
                            cause: None,
                            at: now + 800_000,
                        }
                    };
                    tasks.insert(key, run);
                    worker.changed.notify(usize::MAX);
                }
                Some("stop") => {
                    if let Some(run) = tasks.get_mut(&key).filter(|r| r.state != "exited") {
                        self.off(worker, &task, run, false);
                        *run = Run {
                            state: "exited",
                            cause: Some("halted"),
                            at: u64::MAX,
                        };
                        worker.changed.notify(usize::MAX);
                    }
                }
                Some("clear") if tasks.get(&key).is_some_and(|r| r.state == "exited") => {
                    tasks.remove(&key);
                }
                _ => {}
            }
        }
    }

    /// A copy of a report may arrive again later, or is kept for the next leader.
    fn copy(&self, node: usize, body: &str) {
        if let Some(kept) = &mut *self.kept_for_next.borrow_mut() {
            kept.push(body.to_owned());
        }
        if self.sim.chance() < self.copies.get() {
            let after = 2.0 + self.sim.chance() * LEASE_S * 1.5;
            self.send_copy(node, body.to_owned(), after);
        }
    }

    /// Delivers an old report to a controller.
    pub fn send_copy(&self, node: usize, body: String, after_s: f64) {
        let sim = self.sim.clone();
        self.sim.start(self.sim.next_guest(), |_| async move {
            sim.sleep(after_s).await;
            let client = Client::new(face(node));
            let body = Some(body.into_bytes());
            let _ = client
                .call(Method::Post, "/checkin", body, Micros::secs(4))
                .await;
        });
    }
}

struct Worker {
    name: String,
    place: Place,
    session: Cell<u64>,
    seq: Cell<u64>,
    token: Cell<u64>,
    /// When the last answered report was sent.
    renewed: Cell<u64>,
    tasks: RefCell<BTreeMap<(String, u64), Run>>,
    changed: Event,
    /// When it last ran, to know whether it hung.
    looked: Cell<u64>,
}

impl Worker {
    fn report(&self) -> String {
        let tasks = self.tasks.borrow();
        let told = tasks.iter().map(|((task, attempt), run)| {
            json!({"take": task, "try": attempt, "status": run.state, "cause": run.cause})
        });
        let told: Vec<Value> = told.collect();
        json!({"host": self.name, "endpoint": "e", "rig": self.place.machine_type, "yard": self.place.zone,
            "loaners": self.place.spot, "watch": self.session.get(), "tally": self.seq.get(),
            "warrant": self.token.get(), "warningS": null, "takes": told})
        .to_string()
    }
}

fn split(task: &str) -> (&str, u32) {
    let (id, index) = task.split_once('/').expect("a task");
    (id, index.parse().expect("a number"))
}

async fn serve_one<F, Fut>(stream: Stream, handle: F)
where
    F: Fn(Call) -> Fut,
    Fut: Future<Output = Reply>,
{
    serve(stream, || Micros::secs(60), handle).await;
}
