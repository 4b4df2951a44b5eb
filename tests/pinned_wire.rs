//! What goes over the wire, byte for byte: the built program's answers to users and workers, and what it asks of the state
//! service and the cloud.
//!
//! The fixtures were written by the code before its renaming, and hold the requests as well as the answers, so that
//! nothing here names a field of a message.

mod pinned;

use pinned::{
    Block, Message, assert_pinned, blocks, fixture, fixture_path, free_addr, listen, request, send,
    serve,
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

/// How often a request is repeated until its answer comes; what then came instead differs from the fixture.
const MOST_TRIES: usize = 500;

/// The state service's stand-in.
#[derive(Default)]
struct Store {
    epoch: u64,
    keys: BTreeMap<String, (Value, u64)>,
    news: Vec<(u64, Value)>,
    holds: u64,
    down: bool,
    written: BTreeSet<String>,
}

/// How a stand-in is shared by the connections that it serves.
type Shared = Arc<(Mutex<Store>, Condvar)>;

impl Store {
    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let stamp = |key: &Value| {
            let key = key.as_str().expect("a key");
            self.keys.get(key).map_or(0, |(_, stamp)| *stamp)
        };
        let when = body["when"].as_array().expect("conditions");
        let failed: Vec<&Value> = when
            .iter()
            .filter(|c| stamp(&c["k"]) != c["stamp"].as_u64().expect("a stamp"))
            .map(|c| &c["k"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        let writes = body["writes"].as_array().expect("writes");
        if writes.is_empty() {
            return (200, json!({"epoch": self.epoch}));
        }
        self.epoch += 1;
        for write in writes {
            self.written.insert(pinned_write(write));
            let mut event = write.clone();
            event["stamp"] = json!(self.epoch);
            match write["write"].as_str() {
                Some(key) => {
                    let value = (write["data"].clone(), self.epoch);
                    self.keys.insert(key.to_owned(), value);
                }
                None => {
                    let key = write["delete"].as_str().expect("a key");
                    self.keys.remove(key);
                }
            }
            self.news.push((self.epoch, event));
        }
        (200, json!({"epoch": self.epoch}))
    }

    fn list(&self, prefix: &str, from: &str) -> Value {
        let listed = self.keys.iter();
        let items: Vec<Value> = listed
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from)
            .map(|(key, (data, stamp))| json!({"k": key, "data": data, "stamp": stamp}))
            .collect();
        json!({"items": items, "more": false, "epoch": self.epoch})
    }
}

/// A change without what is drawn by the process or read from its clock: the time of day, and the process's own number.
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

/// A field of a request's query.
fn field<'a>(query: &'a str, name: &str) -> &'a str {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

fn state_stand_in(shared: &Shared, message: &Message) -> (u16, String) {
    let (store, changed) = &**shared;
    let mut parts = message.first.split(' ');
    let (method, target) = (parts.next().unwrap(), parts.next().unwrap());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut store = store.lock().expect("the store");
    if store.down {
        return (503, json!({"error": "trouble"}).to_string());
    }
    let (status, body) = match (method, path) {
        ("POST", "/txn") => {
            let body = serde_json::from_slice(&message.body).expect("a transaction");
            let answer = store.txn(&body);
            changed.notify_all();
            answer
        }
        ("POST", "/holds") => {
            store.holds += 1;
            (200, json!({"tenure": store.holds}))
        }
        ("GET", "/keys") => (
            200,
            store.list(field(query, "prefix"), field(query, "from")),
        ),
        ("GET", "/watch") => {
            let from: u64 = field(query, "from").parse().expect("a revision");
            let wait: u64 = field(query, "waitMs").parse().expect("a time");
            let (store, _) = changed
                .wait_timeout_while(store, Duration::from_millis(wait), |s| s.epoch <= from)
                .expect("the store");
            let told = store.news.iter().filter(|(epoch, _)| *epoch > from);
            let news: Vec<&Value> = told.map(|(_, n)| n).collect();
            (200, json!({"epoch": store.epoch, "news": news}))
        }
        ("GET", path) => match store.keys.get(path.trim_start_matches("/keys/")) {
            Some((data, stamp)) => (200, json!({"k": path, "data": data, "stamp": stamp})),
            None => (404, json!({"epoch": store.epoch})),
        },
        _ => (200, json!({})),
    };
    (status, body.to_string())
}

fn cloud_stand_in(types: Option<&str>, message: &Message) -> (u16, String) {
    match (types, message.first.as_str()) {
        (Some(types), "GET /flavors HTTP/1.1") => (200, types.to_owned()),
        (Some(_), first) if first.starts_with("GET /hosts?") => {
            (200, json!({"hosts": [], "more": false}).to_string())
        }
        _ => (503, json!({"error": "no capacity"}).to_string()),
    }
}

/// One controller, the built program, among stand-ins; it ends with the test.
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

/// What a story begins with.
struct Start {
    store: Store,
    knows_types: bool,
    members: &'static str,
    settings: &'static str,
}

impl Default for Start {
    fn default() -> Start {
        Start {
            store: Store::default(),
            knows_types: true,
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
        let types = start.knows_types.then(|| fixture("machine_types.json"));
        serve(cloud, move |message| {
            cloud_stand_in(types.as_deref(), message)
        });
        // Each process has files of its own, so that two runs of these tests do not mix their addresses.
        let file = format!("{name}-{}.toml", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&path, platform).expect("a file");
        let process = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
            .arg("--config")
            .arg(path)
            .arg("--settings")
            .arg(fixture_path(start.settings))
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .expect("the program");
        Controller {
            process,
            bind,
            store: shared,
        }
    }
}

/// Plays a story's requests and compares all answers with it.
///
/// A part's first section is its request, before which lines with `!` say what happens first or which text ends its
/// repetition. `$TALLY` is a number that rises, `$TOKEN` the last token told, `$LONG` a text above the limit of bodies.
fn play(name: &str, controller: &Controller) {
    let mut run = Run {
        controller,
        tally: 0,
        token: "0".to_owned(),
    };
    let parts = blocks(&fixture(name));
    let actual: String = parts.iter().map(|part| run.part(part)).collect();
    assert_pinned(name, &actual);
}

struct Run<'a> {
    controller: &'a Controller,
    tally: u64,
    token: String,
}

impl Run<'_> {
    fn part(&mut self, part: &Block) -> String {
        let input = &part.sections[0];
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
        let mut tries = MOST_TRIES;
        let answer = loop {
            tries -= 1;
            let bytes = self.request(&lines, raw);
            let answer = send(self.controller.bind, &bytes).map(|a| a.pinned());
            let answer = answer.map_or_else(|| "no answer\n".to_owned(), |a| self.tokens(a));
            if tries == 0 || until.is_none_or(|text| answer.contains(text)) {
                break answer;
            }
            sleep(Duration::from_millis(20));
        };
        format!("=== {}\n{input}---\n{answer}", part.name)
    }

    fn down(&self, down: bool) {
        self.controller.store.0.lock().expect("the store").down = down;
    }

    fn request(&mut self, lines: &[&str], raw: bool) -> Vec<u8> {
        self.tally += 1;
        let text = lines.join("\n");
        let text = text
            .replace("$TALLY", &self.tally.to_string())
            .replace("$TOKEN", &self.token)
            .replace("$LONG", &"x".repeat(70_000));
        if raw {
            return text.replace('\n', "\r\n").into_bytes();
        }
        let (first, body) = text.split_once('\n').unwrap_or((&text, ""));
        request(first, body)
    }

    /// Keeps the token that an answer tells, which depends on how many changes the state service took before the election.
    fn tokens(&mut self, answer: String) -> String {
        let Some((before, rest)) = answer.split_once("\"warrant\":") else {
            return answer;
        };
        let end = rest.find(|c: char| !c.is_ascii_digit()).expect("its end");
        self.token = rest[..end].to_owned();
        assert_eq!(end, 1, "one digit, as the body's length is pinned");
        format!("{before}\"warrant\":$TOKEN{}", &rest[end..])
    }
}

#[test]
fn users_and_workers_of_a_leader_are_answered_as_pinned() {
    let controller = Controller::start("pinned_story", Start::default());
    play("story.txt", &controller);
    assert_pinned("story_written.txt", &written_soon(&controller));
    play("story_outage.txt", &controller);
}

/// What the controller wrote, which it goes on with for a moment after its last answer.
fn written_soon(controller: &Controller) -> String {
    let expected = fixture("story_written.txt");
    let mut written = String::new();
    for _ in 0..MOST_TRIES {
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
fn jobs_of_other_shapes_are_accepted_and_cancelled_as_pinned() {
    let controller = Controller::start("pinned_shapes", Start::default());
    play("shapes.txt", &controller);
}

#[test]
fn users_during_an_outage_from_the_start_are_told_to_come_back() {
    let store = Store {
        down: true,
        ..Store::default()
    };
    let start = Start {
        store,
        ..Start::default()
    };
    play("outage.txt", &Controller::start("pinned_outage", start));
}

#[test]
fn users_before_machine_types_are_known_are_told_to_come_back() {
    let start = Start {
        knows_types: false,
        ..Start::default()
    };
    play("typeless.txt", &Controller::start("pinned_typeless", start));
}

#[test]
fn submission_beyond_the_admission_cap_is_answered_with_429() {
    let start = Start {
        settings: "one_job.xml",
        ..Start::default()
    };
    play("full.txt", &Controller::start("pinned_full", start));
}

#[test]
fn worker_of_a_follower_alone_is_redirected_with_421() {
    let mut store = Store::default();
    let leader: Value = serde_json::from_str(&fixture("other_leader.json")).expect("a change");
    assert_eq!(store.txn(&leader).0, 200);
    let start = Start {
        store,
        members: "[[members]]\nnode = \"n-1\"\nzone = \"a\"\naddress = \"$MEMBER\"",
        ..Start::default()
    };
    play("follower.txt", &Controller::start("pinned_follower", start));
}

/// Calls made to a stand-in that gives one answer, with what was asked and what was made of the answer.
fn calls(name: &str, call: impl Fn(SocketAddr, &str) -> String) {
    let called = |part: &Block| {
        let input = &part.sections[0];
        let mut lines = input.lines();
        let which = lines.next().expect("a call");
        let answers: Vec<(u16, String)> = lines
            .map(|line| {
                let (status, body) = line.split_once(' ').unwrap_or((line, ""));
                (status.parse().expect("a status"), body.to_owned())
            })
            .collect();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let listener = listen();
        let addr = listener.local_addr().expect("its address");
        let recorded = asked.clone();
        serve(listener, move |message| {
            let mut asked = recorded.lock().expect("a list");
            asked.push(message.pinned());
            let last = answers.len() - 1;
            answers[last.min(asked.len() - 1)].clone()
        });
        let outcome = call(addr, which);
        let asked = asked.lock().expect("a list").concat();
        format!("=== {}\n{input}---\n{asked}---\n{outcome}\n", part.name)
    };
    let actual: String = blocks(&fixture(name)).iter().map(called).collect();
    assert_pinned(name, &actual);
}

/// What came of a call, in words, but for the name of the type within the program that an answer did not fit.
fn told<T, E: std::fmt::Display>(result: Result<T, E>, good: impl Fn(T) -> String) -> String {
    match result {
        Ok(value) => good(value),
        Err(e) => {
            let words = e.to_string();
            let end = words.find(", expected struct").unwrap_or(words.len());
            words[..end].to_owned()
        }
    }
}

#[test]
fn requests_to_the_state_service_and_what_its_answers_mean_are_as_pinned() {
    calls("state_calls.txt", |addr, which| {
        async_io::block_on(state_call(addr, which))
    });
}

async fn state_call(addr: SocketAddr, which: &str) -> String {
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
    match which {
        "txn" => told(state.txn(Urgency::Now, &when, &writes).await, outcome),
        "compare" => told(state.txn(Urgency::Paced, &when, &[]).await, outcome),
        "get" => told(state.get(Urgency::Now, "a/b").await, |got| match got {
            Lookup::Found(item) => format!("{} is {} at {}", item.key, item.value, item.version),
            Lookup::Absent { revision } => format!("absent at {revision}"),
        }),
        "list" | "list_after" => {
            let from = if which == "list" { "" } else { "c/7" };
            told(state.list("c/", from).await, |page| {
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
            told(watched, |news| {
                let events = news.events.iter();
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
                format!("{events:?} at {}", news.revision)
            })
        }
        "grant" => told(state.grant(Micros::millis(5_000)).await, |id| {
            format!("lease {id}")
        }),
        "extend" => told(state.extend(LeaseId(7)).await, |()| "renewed".to_owned()),
        "revoke" => told(state.revoke(LeaseId(7)).await, |()| "ended".to_owned()),
        other => panic!("no such call: {other}"),
    }
}

#[test]
fn requests_to_the_cloud_and_what_its_answers_mean_are_as_pinned() {
    calls("cloud_calls.txt", |addr, which| {
        async_io::block_on(cloud_call(addr, which))
    });
}

async fn cloud_call(addr: SocketAddr, which: &str) -> String {
    let cloud = Cloud::new(addr, 1_000.0);
    let machine = |name: &str| MachineId(name.to_owned());
    match which {
        "types" => told(cloud.machine_types().await, |types| {
            serde_json::to_string(&types).expect("JSON")
        }),
        "list" => told(cloud.list().await, |listed| {
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
            let rental = ProvisioningRequest {
                request_name: "r-17".to_owned(),
                machine_type: "g8".to_owned(),
                zone: "a".to_owned(),
                spot: true,
                count: 12,
            };
            told(cloud.provision(&rental).await, |rented| {
                let names: Vec<String> = rented.iter().map(MachineId::to_string).collect();
                format!("rented {names:?}")
            })
        }
        "give_back" => {
            let machines = [machine("m-1"), machine("m-2")];
            told(cloud.terminate(&machines).await, |()| "gone".to_owned())
        }
        other => panic!("no such call: {other}"),
    }
}
