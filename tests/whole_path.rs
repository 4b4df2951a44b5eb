//! One whole controller over loopback sockets, with stand-ins for the key-value store, the cloud and a worker.
//!
//! The tests here send the worker's heartbeats themselves. No assertion depends on timing.

mod support;

use async_executor::LocalExecutor;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::Method;
use ravenhead::config::{Platform, Settings};
use ravenhead::controller::{self, Controller};
use ravenhead::http::{Client, HttpRequest, HttpResponse};
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use support::keys::{self, FailureMode, KeyValueStore, MAX_DELAYED_TRANSACTIONS};
use support::loopback::{User, listen, stand_in};

fn answer_cloud_request(call: &HttpRequest) -> HttpResponse {
    match (call.method, call.path.as_str()) {
        (Method::Get, "/flavors") => HttpResponse::json(
            200,
            &json!({"rigs": [{"label": "g8", "cores": 16.0, "cards": 2.0, "ramGb": 128.0, "localGb": 100.0,
                "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": 40.0, "yards": ["a"]}]}),
        ),
        (Method::Get, _) => HttpResponse::json(200, &json!({"hosts": [], "more": false})),
        _ => HttpResponse::error(503, "no capacity"),
    }
}

fn job_spec(id: &str) -> String {
    json!({"nameId": id, "lane": "x", "crew": "t", "shape": "sweep", "rank": "low", "takes": 1, "cores": 1.0,
        "cards": 1.0, "ramGb": 1.0, "reel": "i", "pullGb": 1.0, "together": false, "spread": false,
        "loaners": false, "expectS": 1.0, "markS": 0.0, "stowS": 0.0})
    .to_string()
}

fn heartbeat(sequence: u64, token: u64, tasks: &Value) -> String {
    json!({"host": "m-1", "endpoint": "e", "rig": "g8", "yard": "a", "loaners": false, "watch": 1, "tally": sequence,
        "warrant": token, "warningS": null, "takes": tasks})
    .to_string()
}

fn platform(
    bind: SocketAddr,
    internal: SocketAddr,
    state: SocketAddr,
    cloud: SocketAddr,
) -> Platform {
    let text = format!(
        r#"
        node = "n-0"
        zone = "a"
        bind = "{bind}"
        internal_addr = "{internal}"
        [external]
        cloud = "{cloud}"
        state = "{state}"
        [facts]
        size = 1
        [[facts.teams]]
        name = "t"
        gpus_max = 4.0
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 20.0
        [facts.state]
        rps = 100000.0
        write_rps = 100000.0
        value_kb = 8.0
        txn_ops = 32
        [facts.cloud]
        rps = 100.0
        list_lag_s = 6.0
        [facts.machine_limits]
        core_share = 0.5
        ram_mb = 200.0
        max_sockets = 3500
        "#
    );
    Platform::parse(&text).unwrap()
}

/// Returns two addresses with ports that were free when this was called.
async fn free_addrs() -> (SocketAddr, SocketAddr) {
    let (a, b) = (listen().await, listen().await);
    (a.1, b.1)
}

type ScenarioFuture<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// The addresses of the stand-ins and the controller.
struct Addresses {
    state: SocketAddr,
    cloud: SocketAddr,
    bind: SocketAddr,
    internal: SocketAddr,
}

impl Addresses {
    /// Runs the controller until the future is dropped, which simulates a crash.
    async fn run_controller(&self, ex: &LocalExecutor<'static>) {
        let settings = platform(self.bind, self.internal, self.state, self.cloud);
        let node = Rc::new(Controller::new(settings, Settings::default()));
        controller::run(ex, node).await.unwrap();
    }
}

/// Runs the stand-ins until the scenario has completed.
fn with_stand_ins(
    scenario: impl for<'a> FnOnce(
        &'a LocalExecutor<'static>,
        &'a RefCell<KeyValueStore>,
        &'a Addresses,
    ) -> ScenarioFuture<'a>,
) {
    let ex: LocalExecutor<'static> = LocalExecutor::new();
    let keys: Rc<RefCell<KeyValueStore>> = Rc::default();
    let scenario_run = async {
        let (state_listener, state_addr) = listen().await;
        let (cloud_listener, cloud_addr) = listen().await;
        let (bind, internal) = free_addrs().await;
        let addresses = Addresses {
            state: state_addr,
            cloud: cloud_addr,
            bind,
            internal,
        };
        let k = keys.clone();
        let state_service = stand_in(
            &ex,
            state_listener,
            Rc::new(move |call| keys::handle_request(&k, call)),
        );
        let cloud_service = stand_in(&ex, cloud_listener, Rc::new(answer_cloud_request));
        // Boxed, as the futures of an unoptimized build are together too large for a test thread's stack.
        let stand_ins = Box::pin(async {
            future::zip(state_service, cloud_service).await;
        });
        future::or(stand_ins, scenario(&ex, &keys, &addresses)).await;
    };
    async_io::block_on(ex.run(scenario_run));
}

#[test]
fn job_runs_to_completion_and_invalid_requests_are_refused() {
    with_stand_ins(|ex, keys, addresses| {
        let scenario = check_requests_and_a_job(keys, addresses.bind, addresses.internal);
        Box::pin(future::or(addresses.run_controller(ex), scenario))
    });
}

// Guards against an accepted job whose status can never be queried again. Each fault of the key-value store that keeps
// a query from ending with 200 or 404 must leave no state behind that keeps a controller from answering afterwards, for
// one job or for all.
#[test]
fn status_queries_succeed_again_after_each_fault_of_the_state_service() {
    with_stand_ins(|ex, keys, addresses| {
        Box::pin(future::or(
            addresses.run_controller(ex),
            check_queries_after_faults(keys, addresses.bind),
        ))
    });
}

// Guards against a controller that cannot lead again after a restart within a fraction of a second: it crashed as
// leader, during its election, or before its last write was applied. There is no other controller, and leases do not
// expire here.
#[test]
fn controller_restarted_at_once_leads_again_and_finds_its_jobs() {
    with_stand_ins(|ex, keys, addresses| {
        Box::pin(async move {
            for restarts in 0..4 {
                future::or(
                    addresses.run_controller(ex),
                    check_leadership_after_restart(keys, addresses.bind, restarts),
                )
                .await;
                if restarts == 1 {
                    // A crash during the election: the leader record was written, but no running controller holds it.
                    let mut keys = keys.borrow_mut();
                    keys.last_lease += 1;
                    let lease = keys.last_lease;
                    let record = json!({"node": "n-0", "incarnation": 5, "lease": lease});
                    let write = json!({"write": "r/leader", "data": record, "tenure": lease});
                    assert_eq!(
                        keys.apply_transaction(&json!({"when": [], "writes": [write]}))
                            .status,
                        200
                    );
                }
            }
        })
    });
}

// Guards against transactions that get no response and are applied after newer ones of the same controller. They must
// not change the state that users have seen or start a task twice, also after a restart of the controller.
#[test]
fn transactions_applied_late_change_no_response() {
    with_stand_ins(|ex, keys, addresses| {
        Box::pin(async move {
            keys.borrow_mut().delayed_transactions = Some(Vec::new());
            future::or(
                addresses.run_controller(ex),
                check_jobs_with_late_writes(keys, addresses.bind),
            )
            .await;
            let delayed = keys.borrow_mut().delayed_transactions.take().unwrap();
            assert!(!delayed.is_empty());
            for body in delayed {
                keys.borrow_mut().apply_transaction(&body);
            }
            future::or(addresses.run_controller(ex), async {
                let user = User(Client::new(addresses.bind));
                check_final_states(&user).await;
            })
            .await;
        })
    });
}

async fn check_jobs_with_late_writes(keys: &RefCell<KeyValueStore>, bind: SocketAddr) {
    let user = User(Client::new(bind));
    let ready = |status: u16, _: &Value| status == 200;
    user.until(Method::Get, "/ready", "", ready).await;
    for id in ["j-1", "j-2", "j-3"] {
        let accepted = |status: u16, _: &Value| status == 200 || status == 201;
        user.until(Method::Post, "/work", &job_spec(id), accepted)
            .await;
    }
    let aborted = |status: u16, v: &Value| status == 200 && v["status"] == "aborted";
    user.until(Method::Post, "/work/j-2/withdraw", "", aborted)
        .await;
    let mut tasks: BTreeMap<(String, u64), bool> = BTreeMap::new();
    let mut starts: BTreeMap<String, usize> = BTreeMap::new();
    let mut token = 0;
    for sequence in 1.. {
        let reported_tasks = tasks.iter().map(|((task_id, attempt), exited)| {
            let (status, cause) = if *exited {
                ("exited", "done")
            } else {
                ("running", "")
            };
            json!({"take": task_id, "try": attempt, "status": status, "cause": cause})
        });
        let body = heartbeat(sequence, token, &reported_tasks.collect());
        let (status, response) = user.call(Method::Post, "/checkin", &body).await;
        tasks.values_mut().for_each(|exited| *exited = true);
        if status != 200 || response["warrant"].as_u64() < Some(token) {
            continue;
        }
        token = response["warrant"].as_u64().unwrap();
        for command in response["orders"].as_array().unwrap() {
            let task_id = command["take"].as_str().unwrap().to_owned();
            let task = (task_id.clone(), command["try"].as_u64().unwrap());
            if command["verb"] == "clear" {
                tasks.remove(&task);
            } else if command["verb"] == "run" && !tasks.contains_key(&task) {
                *starts.entry(task_id).or_default() += 1;
                tasks.insert(task, false);
            }
        }
        let mut all_done = true;
        for id in ["j-1", "j-3"] {
            let (status, state) = user.call(Method::Get, &format!("/work/{id}"), "").await;
            assert!(status == 200 || status == 503, "{status}");
            all_done &= state["status"] == "done";
        }
        let (_, state) = user.call(Method::Get, "/work/j-2", "").await;
        assert_eq!(state["status"], "aborted");
        if all_done {
            break;
        }
    }
    assert_eq!((starts["j-1/0"], starts["j-3/0"]), (1, 1));
    assert!(keys.borrow().transactions_received > MAX_DELAYED_TRANSACTIONS);
    check_final_states(&user).await;
}

/// Asserts that the final states of the jobs and the responses to repeated submissions are unchanged.
async fn check_final_states(user: &User) {
    for (id, state) in [("j-1", "done"), ("j-2", "aborted"), ("j-3", "done")] {
        let path = format!("/work/{id}");
        let is_known = |status: u16, _: &Value| status == 200;
        assert_eq!(
            user.until(Method::Get, &path, "", is_known).await["status"],
            state
        );
        let repeated = user
            .until(Method::Post, "/work", &job_spec(id), is_known)
            .await;
        assert_eq!(repeated["status"], state);
    }
}

async fn check_leadership_after_restart(
    keys: &RefCell<KeyValueStore>,
    bind: SocketAddr,
    restarts: usize,
) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;
    let is_known = |status: u16, _: &Value| status == 200;
    for previous in 0..restarts {
        let path = format!("/work/j-{previous}");
        user.until(Method::Get, &path, "", is_known).await;
    }
    let accepted = |status: u16, _: &Value| status == 201;
    let id = format!("j-{restarts}");
    user.until(Method::Post, "/work", &job_spec(&id), accepted)
        .await;
    // The controller leads again once a worker's heartbeat is answered with the token of a new leader term.
    let body = heartbeat(1 + restarts as u64, 0, &json!([]));
    let leads = |status: u16, v: &Value| {
        let keys = keys.borrow();
        let leader = keys.entries.get("r/leader");
        let own = leader.is_some_and(|(data, _)| data["incarnation"] != json!(5));
        status == 200 && own && leader.is_some_and(|(_, stamp)| v["warrant"] == json!(stamp))
    };
    user.until(Method::Post, "/checkin", &body, leads).await;
}

async fn check_queries_after_faults(keys: &RefCell<KeyValueStore>, bind: SocketAddr) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("j-1")).await.0,
        201
    );
    let is_known = |status: u16, _: &Value| status == 200;
    let faults = [
        FailureMode::Unavailable,
        FailureMode::RateLimited,
        FailureMode::ResponsesLost,
        FailureMode::Malformed,
        FailureMode::Compacted,
    ];
    for fault in faults {
        keys.borrow_mut().failure_mode = Some(fault);
        // During the fault the accepted job must not be reported as unknown, nor the unknown job as known.
        for _ in 0..3 {
            let (status, _) = user.call(Method::Get, "/work/j-1", "").await;
            assert!(status == 200 || status == 503, "{status} in {fault:?}");
            let (status, _) = user.call(Method::Get, "/work/j-404", "").await;
            assert!(status == 404 || status == 503, "{status} in {fault:?}");
        }
        keys.borrow_mut().failure_mode = None;
        user.until(Method::Get, "/work/j-1", "", is_known).await;
        user.until(Method::Get, "/work/j-404", "", |status, _| status == 404)
            .await;
    }

    // A view that does not advance, while all other requests work.
    let revision = keys.borrow().revision;
    keys.borrow_mut().watch_stops_at = Some(revision);
    let id = "j-2";
    user.until(Method::Post, "/work", &job_spec(id), |status, _| {
        status == 200 || status == 201 || status == 503
    })
    .await;
    let (status, _) = user.call(Method::Get, "/work/j-2", "").await;
    assert!(
        status == 503 || status == 200,
        "{status} from a view that does not advance"
    );
    keys.borrow_mut().watch_stops_at = None;
    user.until(Method::Post, "/work", &job_spec(id), |status, _| {
        status == 200
    })
    .await;
    user.until(Method::Get, "/work/j-2", "", is_known).await;
    // The leader still places jobs.
    let mut token = 0;
    for sequence in 1.. {
        let (status, response) = user
            .call(
                Method::Post,
                "/checkin",
                &heartbeat(sequence, token, &json!([])),
            )
            .await;
        token = response["warrant"].as_u64().unwrap_or(token);
        let commands = response["orders"].as_array().cloned().unwrap_or_default();
        if status == 200 && commands.iter().any(|o| o["verb"] == "run") {
            break;
        }
    }
}

async fn check_requests_and_a_job(
    keys: &RefCell<KeyValueStore>,
    bind: SocketAddr,
    internal: SocketAddr,
) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;

    // Malformed, unplaceable, unknown and oversized requests are refused.
    assert_eq!(user.call(Method::Post, "/work", "[]").await.0, 400);
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("x-1")).await.0,
        400
    );
    let unknown_team = job_spec("j-9").replace("\"crew\":\"t\"", "\"crew\":\"s\"");
    assert_eq!(user.call(Method::Post, "/work", &unknown_team).await.0, 422);
    let unplaceable = job_spec("j-9").replace("\"cards\":1.0", "\"cards\":3.0");
    assert_eq!(user.call(Method::Post, "/work", &unplaceable).await.0, 422);
    assert_eq!(user.call(Method::Get, "/work/j-404", "").await.0, 404);
    assert_eq!(
        user.call(Method::Post, "/work/j-404/withdraw", "").await.0,
        404
    );
    assert_eq!(user.call(Method::Get, "/nowhere", "").await.0, 404);
    assert_eq!(user.call(Method::Get, "/checkin", "").await.0, 405);
    let oversized = "x".repeat(70_000);
    let refused = user
        .0
        .call(
            Method::Post,
            "/work",
            Some(oversized.into_bytes()),
            Micros::secs(20),
        )
        .await;
    assert!(refused.is_err() || refused.is_ok_and(|(status, _)| status == 413));

    // A request head without an end is refused after a bounded number of bytes, and an invalid frame on the internal
    // address closes its connection.
    let mut endless_head = TcpStream::connect(bind).await.unwrap();
    let _ = endless_head.write_all(&vec![b'x'; 1_000_000]).await;
    let mut response = Vec::new();
    let _ = endless_head.read_to_end(&mut response).await;
    assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 400"));
    let mut invalid_frame = TcpStream::connect(internal).await.unwrap();
    let _ = invalid_frame.write_all(&[0, 0, 0, 3, 255, 255, 255]).await;
    let mut response = Vec::new();
    let _ = invalid_frame.read_to_end(&mut response).await;
    assert!(response.is_empty());

    // A job is accepted once. Further submissions are answered with its state.
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("j-1")).await.0,
        201
    );
    let (status, state) = user.call(Method::Post, "/work", &job_spec("j-1")).await;
    assert_eq!((status, &state["status"]), (200, &json!("pending")));

    // A worker sends its first heartbeat, gets the command to run the task, and reports it done.
    let commanded = |verb: &'static str| {
        move |status: u16, v: &Value| {
            status == 200
                && v["orders"]
                    .as_array()
                    .is_some_and(|o| o.iter().any(|o| o["verb"] == verb))
        }
    };
    let mut sequence = 0;
    let mut token = 0;
    let response = loop {
        sequence += 1;
        let (status, response) = user
            .call(
                Method::Post,
                "/checkin",
                &heartbeat(sequence, token, &json!([])),
            )
            .await;
        token = response["warrant"].as_u64().unwrap_or(token);
        if commanded("run")(status, &response) {
            break response;
        }
    };
    let command = &response["orders"][0];
    assert_eq!(command["take"], "j-1/0");
    let exited =
        json!([{"take": "j-1/0", "try": command["try"], "status": "exited", "cause": "done"}]);
    loop {
        sequence += 1;
        let (status, response) = user
            .call(
                Method::Post,
                "/checkin",
                &heartbeat(sequence, token, &exited),
            )
            .await;
        if commanded("clear")(status, &response) {
            break;
        }
    }
    let done = |status: u16, v: &Value| status == 200 && v["status"] == "done";
    user.until(Method::Get, "/work/j-1", "", done).await;
    let (status, late_cancellation) = user.call(Method::Post, "/work/j-1/withdraw", "").await;
    assert_eq!(
        (status, &late_cancellation["status"]),
        (200, &json!("done")),
        "a done job must stay done"
    );

    // A heartbeat with a token that the controller does not know must not be answered with a lower token.
    sequence += 1;
    let (status, _) = user
        .call(
            Method::Post,
            "/checkin",
            &heartbeat(sequence, token + 50, &json!([])),
        )
        .await;
    assert_eq!(status, 503);

    // A cancelled job stays cancelled when it is submitted again.
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("j-2")).await.0,
        201
    );
    let (status, cancelled) = user.call(Method::Post, "/work/j-2/withdraw", "").await;
    assert_eq!((status, &cancelled["status"]), (200, &json!("aborted")));
    let (status, repeated) = user.call(Method::Post, "/work", &job_spec("j-2")).await;
    assert_eq!((status, &repeated["status"]), (200, &json!("aborted")));

    // Writes whose responses were lost, of the submission or of the leader, are found in the key-value store and not
    // repeated.
    keys.borrow_mut().responses_to_lose = 2;
    let (status, _) = user.call(Method::Post, "/work", &job_spec("j-4")).await;
    assert!(status == 200 || status == 201, "{status}");
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("j-4")).await.0,
        200
    );

    // While this controller's view is stale, a job that another controller accepted is answered with 503, not with 404.
    let written = {
        let mut keys = keys.borrow_mut();
        keys.watch_stops_at = Some(keys.revision);
        let record = keys.entries["r/job/j-4"]
            .0
            .to_string()
            .replace("j-4", "j-5");
        let record: Value = serde_json::from_str(&record).unwrap();
        keys.apply_transaction(
            &json!({"when": [], "writes": [{"write": "r/job/j-5", "data": record}]}),
        )
    };
    assert_eq!(written.status, 200);
    assert_eq!(user.call(Method::Get, "/work/j-5", "").await.0, 503);
    keys.borrow_mut().watch_stops_at = None;
    user.until(Method::Get, "/work/j-5", "", |status, _| status == 200)
        .await;

    // During an outage of the key-value store, final job states are still served and all other requests are refused.
    keys.borrow_mut().failure_mode = Some(FailureMode::Unavailable);
    assert_eq!(
        user.call(Method::Post, "/work", &job_spec("j-3")).await.0,
        503
    );
    assert_eq!(user.call(Method::Get, "/work/j-3", "").await.0, 503);
    assert_eq!(
        user.call(Method::Get, "/work/j-1", "").await.1["status"],
        "done"
    );
}
