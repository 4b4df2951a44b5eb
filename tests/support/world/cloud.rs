//! The simulated cloud: machine types, provisioning requests, terminations and a lagging machine list.

use super::super::invariants::Pool;
use super::super::keys::query_field;
use super::super::sim::SimListener;
use super::{CLOUD, LIST_LAG_S, Machine, World, addr, machine_host, serve_one, zone};
use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::ops::Bound;
use std::rc::Rc;

/// Maximum number of machines in a page of the list.
const MAX_PAGE_SIZE: usize = 500;

impl World {
    pub(super) async fn serve_cloud(
        self: Rc<Self>,
        ex: Rc<async_executor::LocalExecutor<'static>>,
    ) {
        let listener = SimListener::bind(addr(CLOUD, 80));
        loop {
            let (_, stream) = listener.accept_with_peer().await;
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

    fn answer_cloud(self: &Rc<Self>, call: &HttpRequest) -> HttpResponse {
        if self.cloud_unavailable.get() {
            return HttpResponse::error(503, "trouble");
        }
        if self.deployment.enforces_limits && !self.cloud_requests.try_take(self.sim.now(), 1.0) {
            self.rate_limited.set(self.rate_limited.get() + 1);
            return HttpResponse::error(429, "too many");
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        match (call.method, call.path.as_str()) {
            (Method::Get, "/flavors") => {
                let zones: Vec<String> = (0..self.zones).map(|i| zone(i, self.zones)).collect();
                HttpResponse::json(
                    200,
                    &json!({"rigs": [{"label": "g8", "cores": 16.0, "cards": 4.0, "ramGb": 64.0, "localGb": 100.0,
                        "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": self.provisioning.get().time_s,
                        "yards": zones}]}),
                )
            }
            (Method::Get, "/hosts") => self.list_machines(&call.query),
            (Method::Post, "/hosts") => self.provision(&body),
            (Method::Post, "/hosts/return") => {
                for name in body["hosts"].as_array().into_iter().flatten() {
                    self.remove_machine(name.as_str().expect("a name"));
                }
                HttpResponse::json(200, &json!({}))
            }
            _ => HttpResponse::error(400, "odd"),
        }
    }

    fn list_machines(&self, query: &str) -> HttpResponse {
        let listed_at = self.sim.now().saturating_sub((LIST_LAG_S * 1e6) as u64);
        let page = query_field(query, "page").and_then(|p| p.parse().ok());
        let page_size: usize = page.unwrap_or(MAX_PAGE_SIZE).min(MAX_PAGE_SIZE);
        let from = query_field(query, "from").unwrap_or_default().to_owned();
        let machines = self.machines.borrow();
        let mut matching = machines
            .range((Bound::Excluded(from), Bound::Unbounded))
            .filter(|(_, m)| {
                m.created_at <= listed_at && m.terminated_at.is_none_or(|at| at > listed_at)
            });
        let listed: Vec<_> = matching.by_ref().take(page_size).collect();
        let has_more = matching.next().is_some();
        let hosts: Vec<Value> = listed
            .into_iter()
            .map(|(name, m)| {
                let ready = m.ready_at.is_some_and(|at| at <= listed_at);
                json!({"nameId": name, "endpoint": "e", "rig": m.pool.machine_type, "yard": m.pool.zone,
                    "loaners": m.pool.spot, "status": if ready { "running" } else { "booting" },
                    "ageS": (listed_at - m.created_at) as f64 / 1e6})
            })
            .collect();
        HttpResponse::json(200, &json!({"hosts": hosts, "more": has_more}))
    }

    fn provision(self: &Rc<Self>, body: &Value) -> HttpResponse {
        let request_name = body["charter"].as_str().expect("a name").to_owned();
        if let Some(hosts) = self.provisioned_by_request.borrow().get(&request_name) {
            return HttpResponse::json(200, &json!({"hosts": hosts}));
        }
        let existing = self
            .machines
            .borrow()
            .values()
            .filter(|m| m.terminated_at.is_none())
            .count();
        let requested = body["howMany"].as_u64().expect("a number") as usize;
        let count = requested.min(self.capacity.get().saturating_sub(existing));
        if count == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let hosts: Vec<String> = (0..count).map(|_| self.provision_machine(body)).collect();
        self.provisioned_by_request
            .borrow_mut()
            .insert(request_name, hosts.clone());
        HttpResponse::json(200, &json!({"hosts": hosts}))
    }

    fn provision_machine(self: &Rc<Self>, body: &Value) -> String {
        let name = format!("m-{:06}", self.machines.borrow().len());
        let provisioning = self.provisioning.get();
        let now = self.sim.now();
        let provisioning_s = provisioning.time_s * (0.6 + 0.9 * self.sim.random());
        let ready_at = (self.sim.random() >= provisioning.failure_rate)
            .then_some(now + (provisioning_s * 1e6) as u64);
        let pool = Pool {
            machine_type: body["rig"].as_str().expect("a type").to_owned(),
            zone: body["yard"].as_str().expect("a zone").to_owned(),
            spot: body["loaners"] == true,
        };
        self.start_machine(name, pool, ready_at.map(|_| provisioning_s))
    }

    /// Adds a machine that runs from the start.
    pub(super) fn add_machine(self: &Rc<Self>, number: usize) {
        let pool = Pool {
            machine_type: "g8".into(),
            zone: zone(number, self.zones),
            spot: true,
        };
        self.start_machine(format!("m-{number:06}"), pool, Some(0.0));
    }

    /// Adds a machine that becomes ready after `provisioning_s` seconds, or never if that is `None`.
    fn start_machine(
        self: &Rc<Self>,
        name: String,
        pool: Pool,
        provisioning_s: Option<f64>,
    ) -> String {
        let now = self.sim.now();
        let ready_at = provisioning_s.map(|provisioning_s| now + (provisioning_s * 1e6) as u64);
        let machine = Machine {
            pool: pool.clone(),
            created_at: now,
            ready_at,
            terminated_at: None,
        };
        self.machines.borrow_mut().insert(name.clone(), machine);
        if let Some(provisioning_s) = provisioning_s {
            let (w, name) = (self.clone(), name.clone());
            self.sim.start(machine_host(&name), |_| async move {
                w.sim.sleep(provisioning_s).await;
                w.worker(name, pool).await;
            });
        }
        name
    }

    /// Removes a machine together with the tasks on it.
    pub fn remove_machine(&self, name: &str) {
        let now = self.sim.now();
        if let Some(m) = self.machines.borrow_mut().get_mut(name) {
            m.terminated_at.get_or_insert(now);
        }
        self.sim.kill(machine_host(name));
        self.invariants.borrow_mut().record_machine_loss(now, name);
    }
}
