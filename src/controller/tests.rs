use super::Controller;
use crate::config::{Platform, Settings};
use crate::http::HttpRequest;
use crate::peer::{Cancellation, ClusterStatus, Frame, PeerRequest};
use crate::readiness::is_ready;
use crate::revision::Revision;
use crate::scheduler::JobId;
use crate::scheduler::MachineId;
use crate::term::LeaderLease;
use crate::units::Micros;
use http_types::Method;
use std::rc::Rc;

/// The second of five controllers in zones a, b, a, b, c.
fn node(lease_s: f64) -> Controller {
    let member = |i: usize, zone: &str| {
        format!(
            "[[members]]\nnode = \"n-{i}\"\nzone = \"{zone}\"\naddress = \"127.0.0.1:{}\"\n",
            9000 + i
        )
    };
    let members = [(0, "a"), (2, "a"), (3, "b"), (4, "c")].map(|(i, z)| member(i, z));
    let text = format!(
        "node = \"n-1\"\nzone = \"b\"\nbind = \"127.0.0.1:1\"\ninternal_addr = \"127.0.0.1:2\"\n{}\
         [external]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n[facts]\nsize = 5\n\
         [facts.workers]\nreport_s = 2.0\nlease_s = {lease_s:.1}\ncancel_s = 44.0\n\
         [facts.state]\nrps = 70.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 20\n\
         [facts.cloud]\nrps = 3.0\nlist_lag_s = 10.0\n\
         [facts.machine_limits]\ncore_share = 0.12\nram_mb = 72.0\nmax_sockets = 1500\n",
        members.concat()
    );
    Controller::new(
        Platform::parse(&text).expect("fine settings"),
        Settings::default(),
    )
}

fn answer_all(node: &Controller) {
    for i in [0, 2, 3, 4] {
        node.shared
            .membership
            .record_peer_status(&format!("n-{i}"), ClusterStatus::default());
    }
}

/// Lets the view show a leader.
fn elect(controller: &Controller, node: &str) {
    let record = serde_json::json!({"node": node, "incarnation": 1, "lease": 1});
    let mut view = controller.shared.store.view.borrow_mut();
    view.put("r/leader", record, Revision(7)).expect("a leader");
}

// Guards against workers that stay with a controller which reaches nobody, while others would serve them; and
// against the attempt costing them their lease where they reach no other.
#[test]
fn a_controller_that_is_alone_hands_its_workers_on_within_their_lease() {
    let n = node(14.0);
    let m = MachineId("m-1".into());
    assert!(
        !n.shared.membership.is_isolated(),
        "it heard from the state service just now"
    );
    n.shared.store.mark_unreachable_for_test();
    assert!(n.shared.membership.is_isolated() && !is_ready(&n.shared.store, &n.shared.membership));
    assert_eq!(
        n.contacts.redirect_target(&m, "b"),
        None,
        "its lease may be nearly over: it is answered first"
    );
    n.contacts.record_contact(m.clone());
    // One silent controller costs five seconds of fourteen: only the one right before this is safe.
    assert_eq!(n.contacts.redirect_target(&m, "b"), Some("n-0".into()));
    n.contacts.record_contact(m.clone());
    assert_eq!(
        n.contacts.redirect_target(&m, "b"),
        None,
        "back again, it is left in peace"
    );
    answer_all(&n);
    assert!(!n.shared.membership.is_isolated());
    // A longer lease bears more tries, a lease that bears none is not risked.
    let far = node(36.0);
    far.shared.store.mark_unreachable_for_test();
    assert_eq!(
        far.contacts.preceding_controller(1, Micros::secs(36)),
        Some("n-4".into())
    );
    assert_eq!(
        far.contacts.preceding_controller(3, Micros::secs(36)),
        Some("n-2".into())
    );
    assert_eq!(far.contacts.preceding_controller(0, Micros::secs(8)), None);
}

// Guards against workers waiting for the end of a filter between controllers that they are not behind.
#[test]
fn behind_a_filter_between_controllers_workers_are_sent_to_the_leader() {
    let n = node(14.0);
    let m = MachineId("m-1".into());
    n.contacts.record_contact(m.clone());
    elect(&n, "n-2");
    answer_all(&n);
    assert_eq!(
        n.contacts.redirect_target(&m, "b"),
        None,
        "a cut of zones may keep it from there"
    );
    assert_eq!(
        n.contacts.redirect_target(&m, "a"),
        Some("n-2".into()),
        "its own zone's leader it reaches"
    );
    let other = MachineId("m-2".into());
    n.contacts.record_contact(other.clone());
    n.shared.membership.forget_peers(Some("n-3"));
    assert_eq!(
        n.contacts.redirect_target(&other, "b"),
        Some("n-2".into()),
        "not even this zone's reach each other"
    );
}

fn checkin(
    node: &Rc<Controller>,
    sequence: u64,
    token: u64,
    jobs: &[&str],
) -> (u16, serde_json::Value) {
    let tasks = jobs
        .iter()
        .map(|job| serde_json::json!({"take": format!("{job}/0"), "try": 2, "status": "running"}));
    let body = serde_json::json!({"host": "m-1", "endpoint": "e", "rig": "rig", "yard": "b", "loaners": false,
        "watch": 1, "tally": sequence, "warrant": token, "takes": tasks.collect::<Vec<_>>()});
    let call = HttpRequest {
        method: Method::Post,
        path: "/checkin".into(),
        query: String::new(),
        body: body.to_string().into(),
    };
    let reply = async_io::block_on(node.route(call));
    let body = serde_json::from_slice(&reply.body).expect("JSON");
    (reply.status, body)
}

fn hear_of_cancellation(node: &Rc<Controller>, job: &str) {
    let ping = Frame {
        cluster_status: ClusterStatus::default(),
        message: PeerRequest::Ping {
            cancelled: vec![Cancellation {
                job: JobId(job.into()),
                at: 1,
                machines: Vec::new(),
            }],
            cleared: Vec::new(),
        },
    };
    async_io::block_on(node.peer_api.answer(ping));
}

fn stop_of(job: &str) -> serde_json::Value {
    serde_json::json!([{"verb": "stop", "take": format!("{job}/0"), "try": 2, "slackS": 0.0}])
}

// Guards against cancelled tasks that run on for as long as the leader can't be asked.
#[test]
fn cancelled_tasks_are_stopped_by_whom_their_worker_reaches() {
    let n = Rc::new(node(14.0));
    answer_all(&n);
    elect(&n, "n-2");
    hear_of_cancellation(&n, "j-1");
    let (status, answer) = checkin(&n, 1, 7, &["j-1", "j-2"]);
    assert_eq!((status, &answer["warrant"]), (200, &serde_json::json!(7)));
    assert_eq!(answer["orders"], stop_of("j-1"));
    // Told by the view alone it is the same, and the other job is nobody's to stop.
    let end = serde_json::json!({"how": "aborted", "at": 1, "done": 0});
    let put = n
        .shared
        .store
        .view
        .borrow_mut()
        .put("r/end/j-1", end, Revision(8));
    put.expect("an end");
    assert_eq!(
        checkin(&n, 2, 7, &["j-2", "j-1"]).1["orders"],
        stop_of("j-1")
    );
    assert_eq!(
        checkin(&n, 3, 7, &["j-2"]).1["orders"],
        serde_json::json!([])
    );
}

// Guards against a cancellation that the leader never hears of, as the state service refused everybody right after
// it was committed, and against a leader that keeps its workers while another leads.
#[test]
fn a_leader_without_a_lease_stops_what_is_cancelled_and_alone_hands_its_workers_on() {
    let n = Rc::new(node(14.0));
    answer_all(&n);
    let term = Rc::new(n.leader.begin_term(LeaderLease::expired(7, 1)));
    n.shared.membership.set_own_term(Some(term.token()));
    n.shared.current_term.set(Some(term));
    hear_of_cancellation(&n, "j-1");
    let (_, answer) = checkin(&n, 1, 7, &["j-1", "j-2"]);
    assert_eq!(answer["orders"], stop_of("j-1"));
    n.shared.store.mark_unreachable_for_test();
    assert_eq!(checkin(&n, 2, 7, &["j-2"]).0, 200, "an outage for all");
    n.shared.membership.forget_peers(None);
    assert!(n.shared.membership.is_isolated());
    assert_eq!(checkin(&n, 3, 7, &["j-2"]).0, 200, "its lease goes first");
    let (status, answer) = checkin(&n, 4, 7, &["j-2"]);
    assert_eq!((status, answer["muster"].as_str()), (421, Some("n-0")));
}

// Guards against users' connections keeping out the workers of a fleet that all come to one controller.
#[test]
fn where_sockets_are_short_connections_of_users_end_with_each_answer() {
    let node = Rc::new(node(14.0));
    let max = node.connections.max();
    let mut open = Vec::new();
    let mut hold = |count: usize| {
        open.truncate(count);
        while open.len() < count {
            open.push(node.connections.accept().expect("a free socket"));
        }
    };
    let call = |method, path: &str| HttpRequest {
        method,
        path: path.into(),
        query: String::new(),
        body: Vec::new(),
    };
    let closes = |call| async_io::block_on(node.route(call)).close;
    assert!(!closes(call(Method::Get, "/ready")));
    // First users make room, who come back through the load balancer.
    hold(max * 3 / 4 + 1);
    assert!(closes(call(Method::Get, "/ready")));
    assert!(!closes(call(Method::Post, "/checkin")));
    // Where there are fewer sockets than workers, workers take turns as well: each heartbeat comes on a connection of its own.
    hold(max);
    assert!(closes(call(Method::Get, "/ready")));
    assert!(closes(call(Method::Post, "/checkin")));
    hold(max / 2);
    assert!(!closes(call(Method::Get, "/ready")));
    assert!(!closes(call(Method::Post, "/checkin")));
}
