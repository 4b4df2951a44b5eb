//! The HTTP messages of the built program and its clients, compared byte for byte with fixtures: responses to users and
//! workers, and requests to the key-value store and the cloud.
//!
//! Guards against a change of a message that users, workers, the key-value store or the cloud of a running deployment
//! would not understand. The fixtures hold the requests as well as the responses as released, so this file names no
//! field of a message.

mod pinned;

use pinned::{
    Block, Message, assert_pinned, assert_same, blocks, fixture, fixture_path, free_addr, listen,
    request, send, serve,
};
use ravenhead::cloud::{Cloud, ProvisioningRequest};
use ravenhead::kv::{Change, Condition, Event, KvClient, LeaseId, Lookup, Outcome, Urgency};
use ravenhead::revision::Revision;
use ravenhead::scheduler::MachineId;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Number of times that a request is sent until its response has the expected text. The last response is compared with
/// the fixture in any case.
const MAX_TRIES: usize = 500;

/// The contents of the key-value store's stand-in.
#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    changes: Vec<(u64, Value)>,
    leases: u64,
    down: bool,
    written: BTreeSet<String>,
}

/// A store that the connections of a stand-in share, with a condition variable that is notified of each change.
type Shared = Arc<(Mutex<Store>, Condvar)>;

impl Store {
    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let revision_of = |key: &Value| {
            let key = key.as_str().expect("a key");
            self.keys.get(key).map_or(0, |(_, revision)| *revision)
        };
        let when = body["when"].as_array().expect("conditions");
        let failed: Vec<&Value> = when
            .iter()
            .filter(|c| revision_of(&c["k"]) != c["stamp"].as_u64().expect("a stamp"))
            .map(|c| &c["k"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        let writes = body["writes"].as_array().expect("writes");
        if writes.is_empty() {
            return (200, json!({"epoch": self.revision}));
        }
        self.revision += 1;
        for write in writes {
            self.written.insert(pinned_write(write));
            let mut event = write.clone();
            event["stamp"] = json!(self.revision);
            match write["write"].as_str() {
                Some(key) => {
                    let value = (write["data"].clone(), self.revision);
                    self.keys.insert(key.to_owned(), value);
                }
                None => {
                    let key = write["delete"].as_str().expect("a key");
                    self.keys.remove(key);
                }
            }
            self.changes.push((self.revision, event));
        }
        (200, json!({"epoch": self.revision}))
    }

    fn list(&self, prefix: &str, from: &str) -> Value {
        let listed = self.keys.iter();
        let items: Vec<Value> = listed
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from)
            .map(|(key, (data, revision))| json!({"k": key, "data": data, "stamp": revision}))
            .collect();
        json!({"items": items, "more": false, "epoch": self.revision})
    }
}

/// Returns a change in which the values that differ from run to run are replaced: times of day and the process's
/// incarnation, which are recognized as numbers above 1,000,000,000.
fn pinned_write(write: &Value) -> String {
    let mut write = write.clone();
    let data = write.get_mut("data").and_then(Value::as_object_mut);
    for (name, value) in data.into_iter().flatten() {
        if value.as_u64().is_some_and(|n| n > 1_000_000_000) {
            *value = json!(format!("{name} OF THE RUN"));
        }
    }
    write.to_string()
}

/// Returns the value of a field of a request's query, or an empty string if there is no such field.
fn field<'a>(query: &'a str, name: &str) -> &'a str {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

fn state_stand_in(shared: &Shared, message: &Message) -> (u16, String) {
    let (store, changed) = &**shared;
    let mut words = message.start_line.split(' ');
    let (method, target) = (words.next().unwrap(), words.next().unwrap());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut store = store.lock().expect("the store");
    if store.down {
        return (503, json!({"error": "trouble"}).to_string());
    }
    let (status, body) = match (method, path) {
        ("POST", "/txn") => {
            let body = serde_json::from_slice(&message.body).expect("a transaction");
            let response = store.txn(&body);
            changed.notify_all();
            response
        }
        ("POST", "/holds") => {
            store.leases += 1;
            (200, json!({"tenure": store.leases}))
        }
        ("GET", "/keys") => (
            200,
            store.list(field(query, "prefix"), field(query, "from")),
        ),
        ("GET", "/watch") => {
            let from: u64 = field(query, "from").parse().expect("a revision");
            let wait: u64 = field(query, "waitMs").parse().expect("a time");
            let (store, _) = changed
                .wait_timeout_while(store, Duration::from_millis(wait), |s| s.revision <= from)
                .expect("the store");
            let newer = store
                .changes
                .iter()
                .filter(|(revision, _)| *revision > from);
            let changes: Vec<&Value> = newer.map(|(_, n)| n).collect();
            (200, json!({"epoch": store.revision, "news": changes}))
        }
        ("GET", path) => match store.keys.get(path.trim_start_matches("/keys/")) {
            Some((data, revision)) => (200, json!({"k": path, "data": data, "stamp": revision})),
            None => (404, json!({"epoch": store.revision})),
        },
        _ => (200, json!({})),
    };
    (status, body.to_string())
}

fn cloud_stand_in(types: Option<&str>, message: &Message) -> (u16, String) {
    match (types, message.start_line.as_str()) {
        (Some(types), "GET /flavors HTTP/1.1") => (200, types.to_owned()),
        (Some(_), first) if first.starts_with("GET /hosts?") => {
            (200, json!({"hosts": [], "more": false}).to_string())
        }
        _ => (503, json!({"error": "no capacity"}).to_string()),
    }
}

/// A controller process among stand-ins. It is killed when this is dropped.
struct Controller {
    process: Child,
    bind: SocketAddr,
    store: Shared,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The conditions in which a controller is started.
struct Start {
    store: Store,
    has_machine_types: bool,
    members: &'static str,
    settings: &'static str,
}

impl Default for Start {
    fn default() -> Start {
        Start {
            store: Store::default(),
            has_machine_types: true,
            members: "",
            settings: "operators/ravenhead.xml",
        }
    }
}

impl Controller {
    fn start(name: &str, start: Start) -> Controller {
        let shared: Shared = Arc::new((Mutex::new(start.store), Condvar::new()));
        let (state, cloud) = (listen(), listen());
        let (bind, internal) = (free_addr(), free_addr());
        let platform = fixture("story_platform.toml")
            .replace("$BIND", &bind.to_string())
            .replace("$INTERNAL", &internal.to_string())
            .replace("$CLOUD", &cloud.local_addr().unwrap().to_string())
            .replace("$STATE", &state.local_addr().unwrap().to_string())
            .replace("$MEMBERS", start.members)
            .replace("$MEMBER", &free_addr().to_string());
        let stored = shared.clone();
        serve(state, move |message| state_stand_in(&stored, message));
        let types = start
            .has_machine_types
            .then(|| fixture("machine_types.json"));
        serve(cloud, move |message| {
            cloud_stand_in(types.as_deref(), message)
        });
        // The file name has the process ID, so that concurrent runs of these tests do not use each other's addresses.
        let file = format!("{name}-{}.toml", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&path, platform).expect("the file could not be written");
        let process = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
            .arg("--config")
            .arg(path)
            .arg("--settings")
            .arg(fixture_path(start.settings))
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .expect("the program could not be started");
        Controller {
            process,
            bind,
            store: shared,
        }
    }
}

/// Sends a fixture's requests in order and compares all responses with the fixture.
///
/// The first section of a block is its request. Lines that begin with `!` are directives: `state down` and `state up`
/// stop and restore the key-value store, `raw` sends the lines without adding headers, and `until TEXT` repeats the
/// request until the response contains the text. `$TALLY` is a sequence number that rises with each request, `$TOKEN`
/// the token of the last response that had one, and `$LONG` a text above the size limit of bodies.
fn replay_requests(name: &str, controller: &Controller) {
    replay_text(name, &fixture(name), controller);
}

/// Sends the requests of `text` and asserts that the responses are those in it.
fn replay_text(name: &str, text: &str, controller: &Controller) {
    let mut replay = Replay {
        controller,
        sequence: 0,
        token: "0".to_owned(),
    };
    let actual: String = blocks(text).iter().map(|b| replay.block(b)).collect();
    assert_same(name, text, &actual);
}

/// Returns the blocks of `story.txt` with some replaced by those of a later version: the version that made it confirmed
/// the cancellation of a running job before the task was stopped, and had workers forget every task that was stopped.
fn story() -> String {
    let story = fixture("story.txt");
    let replaced = [
        (
            "cancellation_of_running_job_is_answered_with_aborted",
            "preemptible_submission_is_accepted_with_201",
            "story_cancelled.txt",
        ),
        (
            "worker_is_ordered_to_clear_a_saved_task",
            "poll_of_drained_job_is_answered",
            "story_saved.txt",
        ),
    ];
    let position = |block: &str| story.find(&format!("=== {block}\n")).expect("the block");
    let mut text = String::new();
    let mut copied = 0;
    for (first, next, replacement) in replaced {
        text += &story[copied..position(first)];
        text += &fixture(replacement);
        copied = position(next);
    }
    text + &story[copied..]
}

struct Replay<'a> {
    controller: &'a Controller,
    sequence: u64,
    token: String,
}

impl Replay<'_> {
    fn block(&mut self, block: &Block) -> String {
        let input = &block.sections[0];
        let mut until = None;
        let mut lines = Vec::new();
        let mut raw = false;
        for line in input.lines() {
            match line.split_once(' ') {
                Some(("!", "state down")) => self.down(true),
                Some(("!", "state up")) => self.down(false),
                Some(("!", "raw")) => raw = true,
                Some(("!", other)) => until = other.strip_prefix("until "),
                _ => lines.push(line),
            }
        }
        let mut tries = MAX_TRIES;
        let response = loop {
            tries -= 1;
            let bytes = self.request(&lines, raw);
            let response = send(self.controller.bind, &bytes).map(|a| a.pinned());
            let response =
                response.map_or_else(|| "no answer\n".to_owned(), |a| self.replace_token(a));
            if tries == 0 || until.is_none_or(|text| response.contains(text)) {
                break response;
            }
            sleep(Duration::from_millis(20));
        };
        format!("=== {}\n{input}---\n{response}", block.name)
    }

    fn down(&self, down: bool) {
        self.controller.store.0.lock().expect("the store").down = down;
    }

    fn request(&mut self, lines: &[&str], raw: bool) -> Vec<u8> {
        self.sequence += 1;
        let text = lines.join("\n");
        let text = text
            .replace("$TALLY", &self.sequence.to_string())
            .replace("$TOKEN", &self.token)
            .replace("$LONG", &"x".repeat(70_000));
        if raw {
            return text.replace('\n', "\r\n").into_bytes();
        }
        let (first, body) = text.split_once('\n').unwrap_or((&text, ""));
        request(first, body)
    }

    /// Stores the token of a response and replaces it by `$TOKEN`: its value depends on how many changes the state
    /// service applied before the election.
    fn replace_token(&mut self, response: String) -> String {
        let Some((before, rest)) = response.split_once("\"warrant\":") else {
            return response;
        };
        let end = rest.find(|c: char| !c.is_ascii_digit()).expect("its end");
        self.token = rest[..end].to_owned();
        assert_eq!(
            end, 1,
            "the token must have one digit, as the fixture holds the body's length"
        );
        format!("{before}\"warrant\":$TOKEN{}", &rest[end..])
    }
}

#[test]
fn responses_of_a_leader_to_users_and_workers_are_unchanged() {
    let controller = Controller::start("pinned_story", Start::default());
    replay_text("story.txt", &story(), &controller);
    assert_pinned("story_written.txt", &await_written(&controller));
    replay_requests("story_outage.txt", &controller);
}

/// Returns the changes that the controller wrote. Waits until they equal the fixture or the tries are used up, as the
/// controller still writes for a moment after its last response.
fn await_written(controller: &Controller) -> String {
    let expected = fixture("story_written.txt");
    let mut written = String::new();
    for _ in 0..MAX_TRIES {
        let store = controller.store.0.lock().expect("the store");
        written = store.written.iter().map(|w| format!("{w}\n")).collect();
        drop(store);
        if written == expected {
            break;
        }
        sleep(Duration::from_millis(20));
    }
    written
}

#[test]
fn responses_to_submissions_and_cancellations_of_other_shapes_are_unchanged() {
    let controller = Controller::start("pinned_shapes", Start::default());
    replay_requests("shapes.txt", &controller);
}

#[test]
fn responses_during_a_state_service_outage_from_the_start_are_unchanged() {
    let store = Store {
        down: true,
        ..Store::default()
    };
    let start = Start {
        store,
        ..Start::default()
    };
    replay_requests("outage.txt", &Controller::start("pinned_outage", start));
}

#[test]
fn responses_before_machine_types_are_known_are_unchanged() {
    let start = Start {
        has_machine_types: false,
        ..Start::default()
    };
    replay_requests("typeless.txt", &Controller::start("pinned_typeless", start));
}

#[test]
fn submission_beyond_the_admission_cap_is_answered_with_429() {
    let start = Start {
        settings: "one_job.xml",
        ..Start::default()
    };
    replay_requests("full.txt", &Controller::start("pinned_full", start));
}

#[test]
fn worker_of_an_isolated_follower_is_redirected_with_421() {
    let mut store = Store::default();
    let leader: Value = serde_json::from_str(&fixture("other_leader.json")).expect("a change");
    assert_eq!(store.txn(&leader).0, 200);
    let start = Start {
        store,
        members: "[[members]]\nnode = \"n-1\"\nzone = \"a\"\naddress = \"$MEMBER\"",
        ..Start::default()
    };
    replay_requests("follower.txt", &Controller::start("pinned_follower", start));
}

/// Runs each call of a fixture against a stand-in that gives the fixture's responses, and compares the requests that
/// the stand-in received and the call's result with the fixture. Once all responses were given, the last one is
/// repeated.
fn assert_calls_pinned(name: &str, call: impl Fn(SocketAddr, &str) -> String) {
    let run_call = |block: &Block| {
        let input = &block.sections[0];
        let mut lines = input.lines();
        let which = lines.next().expect("a call");
        let responses: Vec<(u16, String)> = lines
            .map(|line| {
                let (status, body) = line.split_once(' ').unwrap_or((line, ""));
                (status.parse().expect("a status"), body.to_owned())
            })
            .collect();
        let received = Arc::new(Mutex::new(Vec::new()));
        let listener = listen();
        let addr = listener.local_addr().expect("its address");
        let recorder = received.clone();
        serve(listener, move |message| {
            let mut received = recorder.lock().expect("a list");
            received.push(message.pinned());
            let last = responses.len() - 1;
            responses[last.min(received.len() - 1)].clone()
        });
        let outcome = call(addr, which);
        let received = received.lock().expect("a list").concat();
        format!("=== {}\n{input}---\n{received}---\n{outcome}\n", block.name)
    };
    let actual: String = blocks(&fixture(name)).iter().map(run_call).collect();
    assert_pinned(name, &actual);
}

/// Formats the result of a call. The end of a decoding error is cut off, as it names a type of the program.
fn format_result<T, E: std::fmt::Display>(
    result: Result<T, E>,
    format_value: impl Fn(T) -> String,
) -> String {
    match result {
        Ok(value) => format_value(value),
        Err(e) => {
            let message = e.to_string();
            let end = message.find(", expected struct").unwrap_or(message.len());
            message[..end].to_owned()
        }
    }
}

#[test]
fn requests_to_the_state_service_and_results_of_its_responses_are_unchanged() {
    assert_calls_pinned("state_calls.txt", |addr, which| {
        async_io::block_on(state_call(addr, which))
    });
}

async fn state_call(addr: SocketAddr, call: &str) -> String {
    let state = KvClient::new(addr, 1_000.0, 1_000.0, false);
    let condition = |key: &str, version| Condition {
        key: key.to_owned(),
        version,
    };
    let when = [
        condition("a/b", Revision(412)),
        Condition::absent("c/e".to_owned()),
    ];
    let writes = [
        Change::Put {
            key: "a/b".to_owned(),
            value: json!({"x": 1, "list": [1.5, null, "é"]}),
            lease: Some(LeaseId(7)),
        },
        Change::put("c/e".to_owned(), json!(true)),
        Change::Delete {
            key: "c/d".to_owned(),
        },
    ];
    let outcome = |outcome| match outcome {
        Outcome::Applied(revision) => format!("applied at {revision}"),
        Outcome::Conflict(keys) => format!("conflict of {keys:?}"),
    };
    match call {
        "txn" => format_result(state.txn(Urgency::Now, &when, &writes).await, outcome),
        "compare" => format_result(state.txn(Urgency::Paced, &when, &[]).await, outcome),
        "get" => format_result(state.get(Urgency::Now, "a/b").await, |got| match got {
            Lookup::Found(item) => format!("{} is {} at {}", item.key, item.value, item.version),
            Lookup::Absent { revision } => format!("absent at {revision}"),
        }),
        "list" | "list_after" => {
            let from = if call == "list" { "" } else { "c/7" };
            format_result(state.list("c/", from).await, |page| {
                let items = page.items.iter();
                let items: Vec<String> = items
                    .map(|i| format!("{} is {} at {}", i.key, i.value, i.version))
                    .collect();
                format!("{items:?} more {} at {}", page.has_more, page.revision)
            })
        }
        "watch" => {
            let watched = state
                .watch("c/", Revision(431), Micros::millis(10_000))
                .await;
            format_result(watched, |response| {
                let events = response.events.iter();
                let events: Vec<String> = events
                    .map(|event| match event {
                        Event::Put {
                            key,
                            value,
                            version,
                        } => format!("{key} is {value} at {version}"),
                        Event::Delete { key, version } => format!("{key} is gone at {version}"),
                    })
                    .collect();
                format!("{events:?} at {}", response.revision)
            })
        }
        "grant" => format_result(state.grant(Micros::millis(5_000)).await, |id| {
            format!("lease {id}")
        }),
        "extend" => format_result(state.extend(LeaseId(7)).await, |()| "renewed".to_owned()),
        "revoke" => format_result(state.revoke(LeaseId(7)).await, |()| "ended".to_owned()),
        other => panic!("no such call: {other}"),
    }
}

#[test]
fn requests_to_the_cloud_and_results_of_its_responses_are_unchanged() {
    assert_calls_pinned("cloud_calls.txt", |addr, call| {
        async_io::block_on(cloud_call(addr, call))
    });
}

async fn cloud_call(addr: SocketAddr, call: &str) -> String {
    let cloud = Cloud::new(addr, 1_000.0);
    let machine = |name: &str| MachineId(name.to_owned());
    match call {
        "types" => format_result(cloud.machine_types().await, |types| {
            serde_json::to_string(&types).expect("JSON")
        }),
        "list" => format_result(cloud.list().await, |listed| {
            let machines: Vec<String> = listed
                .iter()
                .map(|l| {
                    let status = format!("{:?}", l.status).to_lowercase();
                    let (kind, zone, spot) = (&l.machine_type, &l.zone, l.spot);
                    format!("{} {kind} {zone} {spot} {status} {}", l.machine, l.age_s)
                })
                .collect();
            machines.join(", ")
        }),
        "rent" => {
            let provisioning_request = ProvisioningRequest {
                request_name: "r-17".to_owned(),
                machine_type: "g8".to_owned(),
                zone: "a".to_owned(),
                spot: true,
                count: 12,
            };
            format_result(cloud.provision(&provisioning_request).await, |machines| {
                let names: Vec<String> = machines.iter().map(MachineId::to_string).collect();
                format!("rented {names:?}")
            })
        }
        "give_back" => {
            let machines = [machine("m-1"), machine("m-2")];
            format_result(cloud.terminate(&machines).await, |()| "gone".to_owned())
        }
        other => panic!("no such call: {other}"),
    }
}
