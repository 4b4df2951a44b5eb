//! One controller from socket to socket, against stand-ins for the state service, the cloud and a worker that this
//! file writes itself; loopback only, and nothing depends on how long anything takes.

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

fn cloud(call: &HttpRequest) -> HttpResponse {
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

fn job(id: &str) -> String {
    json!({"nameId": id, "lane": "x", "crew": "t", "shape": "sweep", "rank": "low", "takes": 1, "cores": 1.0,
        "cards": 1.0, "ramGb": 1.0, "reel": "i", "pullGb": 1.0, "together": false, "spread": false,
        "loaners": false, "expectS": 1.0, "markS": 0.0, "stowS": 0.0})
    .to_string()
}

fn report(seq: u64, token: u64, tasks: &Value) -> String {
    json!({"host": "m-1", "endpoint": "e", "rig": "g8", "yard": "a", "loaners": false, "watch": 1, "tally": seq,
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

/// Two addresses that were free a moment ago.
async fn free_addrs() -> (SocketAddr, SocketAddr) {
    let (a, b) = (listen().await, listen().await);
    (a.1, b.1)
}

type Told<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Where the stand-ins and the controller listen.
struct Places {
    state: SocketAddr,
    cloud: SocketAddr,
    bind: SocketAddr,
    internal: SocketAddr,
}

impl Places {
    /// One life of the controller, which ends when it is dropped.
    async fn live(&self, ex: &LocalExecutor<'static>) {
        let settings = platform(self.bind, self.internal, self.state, self.cloud);
        let node = Rc::new(Controller::new(settings, Settings::default()));
        controller::run(ex, node).await.unwrap();
    }
}

/// Runs the stand-ins until the scenario is told.
fn among_stand_ins(
    scenario: impl for<'a> FnOnce(
        &'a LocalExecutor<'static>,
        &'a RefCell<KeyValueStore>,
        &'a Places,
    ) -> Told<'a>,
) {
    let ex: LocalExecutor<'static> = LocalExecutor::new();
    let keys: Rc<RefCell<KeyValueStore>> = Rc::default();
    let told = async {
        let (state_listener, state_addr) = listen().await;
        let (cloud_listener, cloud_addr) = listen().await;
        let (bind, internal) = free_addrs().await;
        let places = Places {
            state: state_addr,
            cloud: cloud_addr,
            bind,
            internal,
        };
        let k = keys.clone();
        let state_in = stand_in(
            &ex,
            state_listener,
            Rc::new(move |call| keys::handle_request(&k, call)),
        );
        let cloud_in = stand_in(&ex, cloud_listener, Rc::new(cloud));
        // Boxed, as the unoptimised futures together are too large for a test's stack.
        let service = Box::pin(async {
            future::zip(state_in, cloud_in).await;
        });
        future::or(service, scenario(&ex, &keys, &places)).await;
    };
    async_io::block_on(ex.run(told));
}

#[test]
fn from_submission_to_done_and_what_is_refused() {
    among_stand_ins(|ex, keys, places| {
        let scenario = users_story(keys, places.bind, places.internal);
        Box::pin(future::or(places.live(ex), scenario))
    });
}

// Guards against an accepted job that gets no answers for ever: each way in which a poll can end without 200 or 404 ends
// by itself once its cause has ended, with no state left behind that would keep one job, or one controller, from answering.
#[test]
fn every_way_a_poll_can_fail_ends_by_itself() {
    among_stand_ins(|ex, keys, places| {
        Box::pin(future::or(places.live(ex), polls_story(keys, places.bind)))
    });
}

// Guards against a controller that is back within a fraction of a second: one that led, one that was about to, one whose
// last write came through after its end. Nobody else is there to lead, and no lease runs out here by itself.
#[test]
fn a_controller_back_at_once_leads_again_and_knows_what_it_took() {
    among_stand_ins(|ex, keys, places| {
        Box::pin(async move {
            for life in 0..4 {
                future::or(places.live(ex), life_story(keys, places.bind, life)).await;
                if life == 1 {
                    // It ended just as it was elected: the key came to be, and nobody leads by it.
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

// Guards against transactions without an answer that are carried out after newer ones of the same controller: whatever was
// said to a user holds, no task is started twice, and the next life of the controller finds the same.
#[test]
fn what_is_carried_out_late_changes_nothing_that_was_said() {
    among_stand_ins(|ex, keys, places| {
        Box::pin(async move {
            keys.borrow_mut().delayed_transactions = Some(Vec::new());
            future::or(places.live(ex), late_story(keys, places.bind)).await;
            let late = keys.borrow_mut().delayed_transactions.take().unwrap();
            assert!(!late.is_empty());
            for body in late {
                keys.borrow_mut().apply_transaction(&body);
            }
            future::or(places.live(ex), async {
                let user = User(Client::new(places.bind));
                said_story(&user).await;
            })
            .await;
        })
    });
}

async fn late_story(keys: &RefCell<KeyValueStore>, bind: SocketAddr) {
    let user = User(Client::new(bind));
    let ready = |status: u16, _: &Value| status == 200;
    user.until(Method::Get, "/ready", "", ready).await;
    for id in ["j-1", "j-2", "j-3"] {
        let taken = |status: u16, _: &Value| status == 200 || status == 201;
        user.until(Method::Post, "/work", &job(id), taken).await;
    }
    let aborted = |status: u16, v: &Value| status == 200 && v["status"] == "aborted";
    user.until(Method::Post, "/work/j-2/withdraw", "", aborted)
        .await;
    let mut tasks: BTreeMap<(String, u64), bool> = BTreeMap::new();
    let mut started: BTreeMap<String, usize> = BTreeMap::new();
    let mut token = 0;
    for seq in 1.. {
        let told = tasks.iter().map(|((take, attempt), exited)| {
            let (status, cause) = if *exited {
                ("exited", "done")
            } else {
                ("running", "")
            };
            json!({"take": take, "try": attempt, "status": status, "cause": cause})
        });
        let body = report(seq, token, &told.collect());
        let (status, answer) = user.call(Method::Post, "/checkin", &body).await;
        tasks.values_mut().for_each(|exited| *exited = true);
        if status != 200 || answer["warrant"].as_u64() < Some(token) {
            continue;
        }
        token = answer["warrant"].as_u64().unwrap();
        for order in answer["orders"].as_array().unwrap() {
            let take = order["take"].as_str().unwrap().to_owned();
            let task = (take.clone(), order["try"].as_u64().unwrap());
            if order["verb"] == "clear" {
                tasks.remove(&task);
            } else if order["verb"] == "run" && !tasks.contains_key(&task) {
                *started.entry(take).or_default() += 1;
                tasks.insert(task, false);
            }
        }
        let mut over = true;
        for id in ["j-1", "j-3"] {
            let (status, state) = user.call(Method::Get, &format!("/work/{id}"), "").await;
            assert!(status == 200 || status == 503, "{status}");
            over &= state["status"] == "done";
        }
        let (_, state) = user.call(Method::Get, "/work/j-2", "").await;
        assert_eq!(state["status"], "aborted");
        if over {
            break;
        }
    }
    assert_eq!((started["j-1/0"], started["j-3/0"]), (1, 1));
    assert!(keys.borrow().transactions_received > MAX_DELAYED_TRANSACTIONS);
    said_story(&user).await;
}

/// What was said once is said again.
async fn said_story(user: &User) {
    for (id, state) in [("j-1", "done"), ("j-2", "aborted"), ("j-3", "done")] {
        let path = format!("/work/{id}");
        let known = |status: u16, _: &Value| status == 200;
        assert_eq!(
            user.until(Method::Get, &path, "", known).await["status"],
            state
        );
        let again = user.until(Method::Post, "/work", &job(id), known).await;
        assert_eq!(again["status"], state);
    }
}

async fn life_story(keys: &RefCell<KeyValueStore>, bind: SocketAddr, life: usize) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;
    let known = |status: u16, _: &Value| status == 200;
    for earlier in 0..life {
        let path = format!("/work/j-{earlier}");
        user.until(Method::Get, &path, "", known).await;
    }
    let taken = |status: u16, _: &Value| status == 201;
    let id = format!("j-{life}");
    user.until(Method::Post, "/work", &job(&id), taken).await;
    // It leads: in the end a worker is answered with the token of a new term.
    let body = report(1 + life as u64, 0, &json!([]));
    let leads = |status: u16, v: &Value| {
        let keys = keys.borrow();
        let leader = keys.entries.get("r/leader");
        let own = leader.is_some_and(|(data, _)| data["incarnation"] != json!(5));
        status == 200 && own && leader.is_some_and(|(_, stamp)| v["warrant"] == json!(stamp))
    };
    user.until(Method::Post, "/checkin", &body, leads).await;
}

async fn polls_story(keys: &RefCell<KeyValueStore>, bind: SocketAddr) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;
    assert_eq!(user.call(Method::Post, "/work", &job("j-1")).await.0, 201);
    let known = |status: u16, _: &Value| status == 200;
    let troubles = [
        FailureMode::Unavailable,
        FailureMode::RateLimited,
        FailureMode::ResponsesLost,
        FailureMode::Malformed,
        FailureMode::Compacted,
    ];
    for trouble in troubles {
        keys.borrow_mut().failure_mode = Some(trouble);
        // Whatever is answered meanwhile, it is never that the job is unknown, and a stranger is never known.
        for _ in 0..3 {
            let (status, _) = user.call(Method::Get, "/work/j-1", "").await;
            assert!(status == 200 || status == 503, "{status} in {trouble:?}");
            let (status, _) = user.call(Method::Get, "/work/j-404", "").await;
            assert!(status == 404 || status == 503, "{status} in {trouble:?}");
        }
        keys.borrow_mut().failure_mode = None;
        user.until(Method::Get, "/work/j-1", "", known).await;
        user.until(Method::Get, "/work/j-404", "", |status, _| status == 404)
            .await;
    }
    // A view that does not advance, alone among all that works.
    let held = keys.borrow().revision;
    keys.borrow_mut().watch_stops_at = Some(held);
    let id = "j-2";
    user.until(Method::Post, "/work", &job(id), |status, _| {
        status == 200 || status == 201 || status == 503
    })
    .await;
    let (status, _) = user.call(Method::Get, "/work/j-2", "").await;
    assert!(
        status == 503 || status == 200,
        "{status} from a view that stands still"
    );
    keys.borrow_mut().watch_stops_at = None;
    user.until(Method::Post, "/work", &job(id), |status, _| status == 200)
        .await;
    user.until(Method::Get, "/work/j-2", "", known).await;
    // And work goes on: the job still runs and is done.
    let mut token = 0;
    for seq in 1.. {
        let (status, answer) = user
            .call(Method::Post, "/checkin", &report(seq, token, &json!([])))
            .await;
        token = answer["warrant"].as_u64().unwrap_or(token);
        let orders = answer["orders"].as_array().cloned().unwrap_or_default();
        if status == 200 && orders.iter().any(|o| o["verb"] == "run") {
            break;
        }
    }
}

async fn users_story(keys: &RefCell<KeyValueStore>, bind: SocketAddr, internal: SocketAddr) {
    let user = User(Client::new(bind));
    user.until(Method::Get, "/ready", "", |status, _| status == 200)
        .await;

    // What is malformed, impossible, unknown or too large.
    assert_eq!(user.call(Method::Post, "/work", "[]").await.0, 400);
    assert_eq!(user.call(Method::Post, "/work", &job("x-1")).await.0, 400);
    let stranger = job("j-9").replace("\"crew\":\"t\"", "\"crew\":\"s\"");
    assert_eq!(user.call(Method::Post, "/work", &stranger).await.0, 422);
    let huge = job("j-9").replace("\"cards\":1.0", "\"cards\":3.0");
    assert_eq!(user.call(Method::Post, "/work", &huge).await.0, 422);
    assert_eq!(user.call(Method::Get, "/work/j-404", "").await.0, 404);
    assert_eq!(
        user.call(Method::Post, "/work/j-404/withdraw", "").await.0,
        404
    );
    assert_eq!(user.call(Method::Get, "/nowhere", "").await.0, 404);
    assert_eq!(user.call(Method::Get, "/checkin", "").await.0, 405);
    let long = "x".repeat(70_000);
    let refused = user
        .0
        .call(
            Method::Post,
            "/work",
            Some(long.into_bytes()),
            Micros::secs(20),
        )
        .await;
    assert!(refused.is_err() || refused.is_ok_and(|(status, _)| status == 413));

    // A head without an end is refused after a bounded number of bytes, and a broken peer frame ends its connection.
    let mut endless = TcpStream::connect(bind).await.unwrap();
    let _ = endless.write_all(&vec![b'x'; 1_000_000]).await;
    let mut answer = Vec::new();
    let _ = endless.read_to_end(&mut answer).await;
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 400"));
    let mut broken = TcpStream::connect(internal).await.unwrap();
    let _ = broken.write_all(&[0, 0, 0, 3, 255, 255, 255]).await;
    let mut answer = Vec::new();
    let _ = broken.read_to_end(&mut answer).await;
    assert!(answer.is_empty());

    // A job is accepted once, and told as it is afterwards.
    assert_eq!(user.call(Method::Post, "/work", &job("j-1")).await.0, 201);
    let (status, known) = user.call(Method::Post, "/work", &job("j-1")).await;
    assert_eq!((status, &known["status"]), (200, &json!("pending")));

    // A worker comes, is told to run the task, and reports it done.
    let ordered = |verb: &'static str| {
        move |status: u16, v: &Value| {
            status == 200
                && v["orders"]
                    .as_array()
                    .is_some_and(|o| o.iter().any(|o| o["verb"] == verb))
        }
    };
    let mut seq = 0;
    let mut token = 0;
    let answer = loop {
        seq += 1;
        let (status, answer) = user
            .call(Method::Post, "/checkin", &report(seq, token, &json!([])))
            .await;
        token = answer["warrant"].as_u64().unwrap_or(token);
        if ordered("run")(status, &answer) {
            break answer;
        }
    };
    let order = &answer["orders"][0];
    assert_eq!(order["take"], "j-1/0");
    let exited =
        json!([{"take": "j-1/0", "try": order["try"], "status": "exited", "cause": "done"}]);
    loop {
        seq += 1;
        let (status, answer) = user
            .call(Method::Post, "/checkin", &report(seq, token, &exited))
            .await;
        if ordered("clear")(status, &answer) {
            break;
        }
    }
    let done = |status: u16, v: &Value| status == 200 && v["status"] == "done";
    user.until(Method::Get, "/work/j-1", "", done).await;
    let (status, late) = user.call(Method::Post, "/work/j-1/withdraw", "").await;
    assert_eq!(
        (status, &late["status"]),
        (200, &json!("done")),
        "done stays done"
    );

    // A heartbeat with a token that this controller does not know must not be answered with a lower one.
    seq += 1;
    let (status, _) = user
        .call(
            Method::Post,
            "/checkin",
            &report(seq, token + 50, &json!([])),
        )
        .await;
    assert_eq!(status, 503);

    // Cancelled stays cancelled.
    assert_eq!(user.call(Method::Post, "/work", &job("j-2")).await.0, 201);
    let (status, gone) = user.call(Method::Post, "/work/j-2/withdraw", "").await;
    assert_eq!((status, &gone["status"]), (200, &json!("aborted")));
    let (status, again) = user.call(Method::Post, "/work", &job("j-2")).await;
    assert_eq!((status, &again["status"]), (200, &json!("aborted")));

    // Writes whose answers were lost, the submission's or the leader's, are found again and not done twice.
    keys.borrow_mut().responses_to_lose = 2;
    let (status, _) = user.call(Method::Post, "/work", &job("j-4")).await;
    assert!(status == 200 || status == 201, "{status}");
    assert_eq!(user.call(Method::Post, "/work", &job("j-4")).await.0, 200);

    // A job that another controller took is not denied while this one's view is stale: it says that it can't tell.
    let other = {
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
    assert_eq!(other.status, 200);
    assert_eq!(user.call(Method::Get, "/work/j-5", "").await.0, 503);
    keys.borrow_mut().watch_stops_at = None;
    user.until(Method::Get, "/work/j-5", "", |status, _| status == 200)
        .await;

    // In an outage what is final is still told, and everything else refused.
    keys.borrow_mut().failure_mode = Some(FailureMode::Unavailable);
    assert_eq!(user.call(Method::Post, "/work", &job("j-3")).await.0, 503);
    assert_eq!(user.call(Method::Get, "/work/j-3", "").await.0, 503);
    assert_eq!(
        user.call(Method::Get, "/work/j-1", "").await.1["status"],
        "done"
    );
}
