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

/// Creates the second of five controllers in zones a, b, a, b, c, for workers with a lease of `lease_s` seconds.
fn test_controller(lease_s: f64) -> Controller {
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
        Platform::parse(&text).expect("valid settings"),
        Settings::default(),
    )
}

fn record_all_peers_reachable(controller: &Controller) {
    for i in [0, 2, 3, 4] {
        controller
            .shared
            .membership
            .record_peer_status(&format!("n-{i}"), ClusterStatus::default());
    }
}

/// Puts a leader record for `node` into the controller's view.
fn set_leader_in_view(controller: &Controller, node: &str) {
    let record = serde_json::json!({"node": node, "incarnation": 1, "lease": 1});
    let mut view = controller.shared.store.view.borrow_mut();
    view.put("r/leader", record, Revision(7))
        .expect("a valid leader record");
}

// Without a redirect, workers stay with an isolated controller while others could serve them. The redirect must not
// cost workers that reach no other controller their lease.
#[test]
fn an_isolated_controller_redirects_workers_within_their_lease() {
    let controller = test_controller(14.0);
    let machine = MachineId("m-1".into());
    assert!(
        !controller.shared.membership.is_isolated(),
        "it reached the key-value store just now"
    );
    controller.shared.store.mark_unreachable_for_test();
    assert!(
        controller.shared.membership.is_isolated()
            && !is_ready(&controller.shared.store, &controller.shared.membership)
    );
    assert_eq!(
        controller.contacts.redirect_target(&machine, "b"),
        None,
        "its lease may be about to expire: its heartbeat is answered first"
    );
    controller.contacts.record_contact(machine.clone());
    // An unresponsive controller costs a worker 5 s of its 14 s lease, so only the directly preceding one is safe.
    assert_eq!(
        controller.contacts.redirect_target(&machine, "b"),
        Some("n-0".into())
    );
    controller.contacts.record_contact(machine.clone());
    assert_eq!(
        controller.contacts.redirect_target(&machine, "b"),
        None,
        "a worker that came back is not redirected again soon"
    );
    record_all_peers_reachable(&controller);
    assert!(!controller.shared.membership.is_isolated());
    // A longer lease allows more attempts; a lease too short for one attempt is not risked.
    let long_lease = test_controller(36.0);
    long_lease.shared.store.mark_unreachable_for_test();
    assert_eq!(
        long_lease
            .contacts
            .preceding_controller(1, Micros::secs(36)),
        Some("n-4".into())
    );
    assert_eq!(
        long_lease
            .contacts
            .preceding_controller(3, Micros::secs(36)),
        Some("n-2".into())
    );
    assert_eq!(
        long_lease.contacts.preceding_controller(0, Micros::secs(8)),
        None
    );
}

// A packet filter that separates only controllers must not keep workers from being served until it ends: they are
// redirected to the leader, which they can reach.
#[test]
fn workers_are_redirected_to_the_leader_if_only_controllers_are_partitioned() {
    let controller = test_controller(14.0);
    let machine = MachineId("m-1".into());
    controller.contacts.record_contact(machine.clone());
    set_leader_in_view(&controller, "n-2");
    record_all_peers_reachable(&controller);
    assert_eq!(
        controller.contacts.redirect_target(&machine, "b"),
        None,
        "a partition between zones may keep the worker from that leader"
    );
    assert_eq!(
        controller.contacts.redirect_target(&machine, "a"),
        Some("n-2".into()),
        "a worker reaches the leader in its own zone"
    );
    let other_machine = MachineId("m-2".into());
    controller.contacts.record_contact(other_machine.clone());
    controller.shared.membership.forget_peers(Some("n-3"));
    assert_eq!(
        controller.contacts.redirect_target(&other_machine, "b"),
        Some("n-2".into()),
        "controllers of this zone can't reach each other, so it is not a partition between zones"
    );
}

fn post_heartbeat(
    controller: &Rc<Controller>,
    sequence: u64,
    token: u64,
    jobs: &[&str],
) -> (u16, serde_json::Value) {
    let tasks = jobs
        .iter()
        .map(|job| serde_json::json!({"take": format!("{job}/0"), "try": 2, "status": "running"}));
    let body = serde_json::json!({"host": "m-1", "endpoint": "e", "rig": "rig", "yard": "b", "loaners": false,
        "watch": 1, "tally": sequence, "warrant": token, "takes": tasks.collect::<Vec<_>>()});
    let request = HttpRequest {
        method: Method::Post,
        path: "/checkin".into(),
        query: String::new(),
        body: body.to_string().into(),
    };
    let response = async_io::block_on(controller.route(request));
    let body = serde_json::from_slice(&response.body).expect("JSON");
    (response.status, body)
}

fn receive_cancellation(controller: &Rc<Controller>, job: &str) {
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
    async_io::block_on(controller.peer_api.answer(ping));
}

fn stop_order(job: &str) -> serde_json::Value {
    serde_json::json!([{"verb": "stop", "take": format!("{job}/0"), "try": 2, "slackS": 0.0}])
}

// A follower must stop cancelled tasks itself, or they keep running while the leader can't be reached.
#[test]
fn a_follower_stops_cancelled_tasks_of_its_workers() {
    let controller = Rc::new(test_controller(14.0));
    record_all_peers_reachable(&controller);
    set_leader_in_view(&controller, "n-2");
    receive_cancellation(&controller, "j-1");
    let (status, response) = post_heartbeat(&controller, 1, 7, &["j-1", "j-2"]);
    assert_eq!((status, &response["warrant"]), (200, &serde_json::json!(7)));
    assert_eq!(response["orders"], stop_order("j-1"));
    // An aborted job in the view has the same effect as a cancellation from a peer; the other job is not stopped.
    let end = serde_json::json!({"how": "aborted", "at": 1, "done": 0});
    let put = controller
        .shared
        .store
        .view
        .borrow_mut()
        .put("r/end/j-1", end, Revision(8));
    put.expect("a valid end record");
    assert_eq!(
        post_heartbeat(&controller, 2, 7, &["j-2", "j-1"]).1["orders"],
        stop_order("j-1")
    );
    assert_eq!(
        post_heartbeat(&controller, 3, 7, &["j-2"]).1["orders"],
        serde_json::json!([])
    );
}

// A leader must stop cancelled tasks even if it learns of the cancellation from a peer only, as when the key-value
// store refuses all requests right after the commit. An isolated leader must not keep its workers while another leads.
#[test]
fn a_leader_without_a_lease_stops_cancelled_tasks_and_redirects_workers_when_isolated() {
    let controller = Rc::new(test_controller(14.0));
    record_all_peers_reachable(&controller);
    let term = Rc::new(controller.leader.begin_term(LeaderLease::expired(7, 1)));
    controller
        .shared
        .membership
        .set_own_term(Some(term.token()));
    controller.shared.current_term.set(Some(term));
    receive_cancellation(&controller, "j-1");
    let (_, response) = post_heartbeat(&controller, 1, 7, &["j-1", "j-2"]);
    assert_eq!(response["orders"], stop_order("j-1"));
    controller.shared.store.mark_unreachable_for_test();
    assert_eq!(
        post_heartbeat(&controller, 2, 7, &["j-2"]).0,
        200,
        "an outage that affects all controllers"
    );
    controller.shared.membership.forget_peers(None);
    assert!(controller.shared.membership.is_isolated());
    assert_eq!(
        post_heartbeat(&controller, 3, 7, &["j-2"]).0,
        200,
        "the heartbeat is answered before the worker is redirected"
    );
    let (status, response) = post_heartbeat(&controller, 4, 7, &["j-2"]);
    assert_eq!((status, response["muster"].as_str()), (421, Some("n-0")));
}

// User connections must not use up the sockets when all workers of the fleet report to one controller.
#[test]
fn user_connections_are_closed_after_each_answer_when_sockets_are_short() {
    let controller = Rc::new(test_controller(14.0));
    let max = controller.connections.max();
    let mut open = Vec::new();
    let mut hold = |count: usize| {
        open.truncate(count);
        while open.len() < count {
            open.push(controller.connections.accept().expect("a free socket"));
        }
    };
    let request = |method, path: &str| HttpRequest {
        method,
        path: path.into(),
        query: String::new(),
        body: Vec::new(),
    };
    let closes = |request| async_io::block_on(controller.route(request)).close;
    assert!(!closes(request(Method::Get, "/ready")));
    // User connections are closed first, since users reconnect through the load balancer.
    hold(max * 3 / 4 + 1);
    assert!(closes(request(Method::Get, "/ready")));
    assert!(!closes(request(Method::Post, "/checkin")));
    // With fewer sockets than workers, worker connections are closed as well: each heartbeat uses a new connection.
    hold(max);
    assert!(closes(request(Method::Get, "/ready")));
    assert!(closes(request(Method::Post, "/checkin")));
    hold(max / 2);
    assert!(!closes(request(Method::Get, "/ready")));
    assert!(!closes(request(Method::Post, "/checkin")));
}
