//! The cloud over HTTP: machine types, the lagging machine list, provisioning and termination.

use super::controllers::{CLOUD_RPS, LIST_LAG_S, ZONES};
use super::site::{Site, sleep};
use super::worker::Worker;
use async_executor::Task;
use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use ravenhead_stand_ins::invariants::Pool;
use ravenhead_stand_ins::keys::query_field;
use ravenhead_stand_ins::rate_limit::TokenBucket;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Name of the only machine type.
const MACHINE_TYPE: &str = "g4";
/// Typical seconds from a provisioning request to the first heartbeat.
const BOOT_S: f64 = 2.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// Largest number of machines in one page of the list.
const MAX_PAGE: usize = 500;

struct Machine {
    pool: Pool,
    created_at: u64,
    terminated_at: Option<u64>,
    worker: Option<Rc<Worker>>,
    /// The worker's task, which ends when this is dropped.
    run: Option<Task<()>>,
}

/// The cloud and its machines.
pub(super) struct Cloud {
    machines: RefCell<BTreeMap<String, Machine>>,
    provisioned_by_request: RefCell<BTreeMap<String, Vec<String>>>,
    capacity: usize,
    pub(super) is_down: Cell<bool>,
    requests: TokenBucket,
}

impl Cloud {
    pub(super) fn new(capacity: usize) -> Cloud {
        Cloud {
            machines: RefCell::default(),
            provisioned_by_request: RefCell::default(),
            capacity,
            is_down: Cell::new(false),
            requests: TokenBucket::new(CLOUD_RPS, 2.0),
        }
    }

    /// Returns the workers of the machines that are up.
    pub(super) fn workers(&self) -> Vec<Rc<Worker>> {
        let machines = self.machines.borrow();
        let up = machines.values().filter(|m| m.terminated_at.is_none());
        up.filter_map(|m| m.worker.clone()).collect()
    }

    fn running(&self) -> usize {
        let machines = self.machines.borrow();
        let running = machines.values().filter(|m| m.terminated_at.is_none());
        running.count()
    }
}

impl Site {
    /// Adds a machine, whose worker begins after `boot_s` seconds.
    pub(super) fn add_machine(self: &Rc<Site>, zone: &str, spot: bool, boot_s: f64) -> String {
        let name = format!("m-{:06}", self.cloud.machines.borrow().len());
        let pool = Pool {
            machine_type: MACHINE_TYPE.to_owned(),
            zone: zone.to_owned(),
            spot,
        };
        let machine = Machine {
            pool: pool.clone(),
            created_at: self.now(),
            terminated_at: None,
            worker: None,
            run: None,
        };
        let mut machines = self.cloud.machines.borrow_mut();
        machines.insert(name.clone(), machine);
        drop(machines);
        let (site, worker_name) = (self.clone(), name.clone());
        let run = self.spawner.spawn(async move {
            sleep(boot_s).await;
            let worker = Rc::new(Worker::new(&worker_name, pool, site.now()));
            if let Some(machine) = site.cloud.machines.borrow_mut().get_mut(&worker_name) {
                machine.worker = Some(worker.clone());
            }
            worker.run(site).await;
        });
        if let Some(machine) = self.cloud.machines.borrow_mut().get_mut(&name) {
            machine.run = Some(run);
        }
        name
    }

    /// Answers a request of a controller to the cloud.
    pub(super) async fn answer_cloud(self: Rc<Site>, request: HttpRequest) -> HttpResponse {
        if self.cloud.is_down.get() {
            return HttpResponse::error(503, "trouble");
        }
        if !self.cloud.requests.try_take(self.now(), 1.0) {
            return HttpResponse::error(429, "too many");
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (request.method, request.path.as_str()) {
            (Method::Get, "/flavors") => HttpResponse::json(
                200,
                &json!({"rigs": [{"label": MACHINE_TYPE, "cores": 16.0, "cards": 4.0, "ramGb": 64.0,
                    "localGb": 100.0, "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": BOOT_S,
                    "yards": ZONES}]}),
            ),
            (Method::Get, "/hosts") => self.list_machines(&request.query),
            (Method::Post, "/hosts") => self.provision(&body),
            (Method::Post, "/hosts/return") => self.terminate(&body),
            _ => HttpResponse::error(400, "odd"),
        }
    }

    fn provision(self: &Rc<Site>, body: &Value) -> HttpResponse {
        let request = body["charter"].as_str().unwrap_or_default().to_owned();
        let known = self
            .cloud
            .provisioned_by_request
            .borrow()
            .get(&request)
            .cloned();
        if let Some(names) = known {
            return HttpResponse::json(200, &json!({"hosts": names}));
        }
        let free = self.cloud.capacity.saturating_sub(self.cloud.running());
        let asked = body["howMany"].as_u64().unwrap_or(0) as usize;
        if free == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let zone = body["yard"].as_str().unwrap_or(ZONES[0]).to_owned();
        let spot = body["loaners"] == true;
        let names: Vec<String> = (0..asked.min(free))
            .map(|_| self.add_machine(&zone, spot, BOOT_S * (0.6 + 0.9 * self.random())))
            .collect();
        let mut requests = self.cloud.provisioned_by_request.borrow_mut();
        requests.insert(request, names.clone());
        HttpResponse::json(200, &json!({"hosts": names}))
    }

    fn terminate(&self, body: &Value) -> HttpResponse {
        let now = self.now();
        for name in body["hosts"].as_array().into_iter().flatten() {
            let name = name.as_str().unwrap_or_default();
            let mut machines = self.cloud.machines.borrow_mut();
            let Some(machine) = machines.get_mut(name).filter(|m| m.terminated_at.is_none()) else {
                continue;
            };
            machine.terminated_at = Some(now);
            let run = machine.run.take();
            drop(machines);
            drop(run);
            self.checker.borrow_mut().record_machine_loss(now, name);
        }
        HttpResponse::json(200, &json!({}))
    }

    /// Returns a page of the machines as they were a lag ago.
    fn list_machines(&self, query: &str) -> HttpResponse {
        let lag = (LIST_LAG_S * MICROS_PER_SECOND) as u64;
        let as_of = self.now().saturating_sub(lag);
        let page = query_field(query, "page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(MAX_PAGE).min(MAX_PAGE);
        let from = query_field(query, "from").unwrap_or_default();
        let machines = self.cloud.machines.borrow();
        let mut listed = machines.iter().filter(|(name, machine)| {
            let is_gone = machine.terminated_at.is_some_and(|at| at <= as_of);
            name.as_str() > from && machine.created_at <= as_of && !is_gone
        });
        let hosts: Vec<Value> = listed
            .by_ref()
            .take(page)
            .map(|(name, machine)| {
                let status = if machine.worker.is_some() { "running" } else { "booting" };
                let age_s = (as_of - machine.created_at) as f64 / MICROS_PER_SECOND;
                json!({"nameId": name, "endpoint": "e", "rig": MACHINE_TYPE, "yard": machine.pool.zone,
                    "loaners": machine.pool.spot, "status": status, "ageS": age_s})
            })
            .collect();
        let more = listed.next().is_some();
        HttpResponse::json(200, &json!({"hosts": hosts, "more": more}))
    }
}
