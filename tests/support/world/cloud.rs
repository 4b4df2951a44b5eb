//! The cloud: machine types, provisioning requests, returns and a list that lags.

use super::super::invariants::Place;
use super::super::keys::query_field;
use super::super::sim::Entrance;
use super::{CLOUD, LIST_LAG_S, Machine, World, addr, machine_host, serve_one, zone};
use http_types::Method;
use ravenhead::http::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::ops::Bound;
use std::rc::Rc;

/// Most machines in a page of the list.
const MOST_LISTED: usize = 500;

impl World {
    pub(super) async fn serve_cloud(
        self: Rc<Self>,
        ex: Rc<async_executor::LocalExecutor<'static>>,
    ) {
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

    fn answer_cloud(self: &Rc<Self>, call: &HttpRequest) -> HttpResponse {
        if self.cloud_out.get() {
            return HttpResponse::error(503, "trouble");
        }
        if self.deployment.enforces_limits && !self.cloud_requests.take(self.sim.now(), 1.0) {
            self.refused.set(self.refused.get() + 1);
            return HttpResponse::error(429, "too many");
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        match (call.method, call.path.as_str()) {
            (Method::Get, "/flavors") => {
                let zones: Vec<String> = (0..self.zones).map(|i| zone(i, self.zones)).collect();
                HttpResponse::json(
                    200,
                    &json!({"rigs": [{"label": "g8", "cores": 16.0, "cards": 4.0, "ramGb": 64.0, "localGb": 100.0,
                        "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": self.boots.get().seconds,
                        "yards": zones}]}),
                )
            }
            (Method::Get, "/hosts") => self.list_machines(&call.query),
            (Method::Post, "/hosts") => self.rent(&body),
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
        let then = self.sim.now().saturating_sub((LIST_LAG_S * 1e6) as u64);
        let page = query_field(query, "page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(MOST_LISTED).min(MOST_LISTED);
        let from = query_field(query, "from").unwrap_or_default().to_owned();
        let machines = self.machines.borrow();
        let mut all = machines
            .range((Bound::Excluded(from), Bound::Unbounded))
            .filter(|(_, m)| m.made <= then && m.gone.is_none_or(|at| at > then));
        let listed: Vec<_> = all.by_ref().take(page).collect();
        let more = all.next().is_some();
        let hosts: Vec<Value> = listed
            .into_iter()
            .map(|(name, m)| {
                let up = m.up.is_some_and(|at| at <= then);
                json!({"nameId": name, "endpoint": "e", "rig": m.place.machine_type, "yard": m.place.zone,
                    "loaners": m.place.spot, "status": if up { "running" } else { "booting" },
                    "ageS": (then - m.made) as f64 / 1e6})
            })
            .collect();
        HttpResponse::json(200, &json!({"hosts": hosts, "more": more}))
    }

    fn rent(self: &Rc<Self>, body: &Value) -> HttpResponse {
        let request_name = body["charter"].as_str().expect("a name").to_owned();
        if let Some(hosts) = self.provisioning_requests_sent.borrow().get(&request_name) {
            return HttpResponse::json(200, &json!({"hosts": hosts}));
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
            return HttpResponse::error(503, "no capacity");
        }
        let hosts: Vec<String> = (0..count).map(|_| self.make_machine(body)).collect();
        self.provisioning_requests_sent
            .borrow_mut()
            .insert(request_name, hosts.clone());
        HttpResponse::json(200, &json!({"hosts": hosts}))
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
        self.begin_machine(name, place, up.map(|_| after))
    }

    /// A machine that runs since long ago.
    pub(super) fn add_machine(self: &Rc<Self>, number: usize) {
        let place = Place {
            machine_type: "g8".into(),
            zone: zone(number, self.zones),
            spot: true,
        };
        self.begin_machine(format!("m-{number:06}"), place, Some(0.0));
    }

    /// Begins the life of a machine that is up after some seconds, or never.
    fn begin_machine(self: &Rc<Self>, name: String, place: Place, after: Option<f64>) -> String {
        let now = self.sim.now();
        let up = after.map(|after| now + (after * 1e6) as u64);
        let machine = Machine {
            place: place.clone(),
            made: now,
            up,
            gone: None,
        };
        self.machines.borrow_mut().insert(name.clone(), machine);
        if let Some(after) = after {
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
}
