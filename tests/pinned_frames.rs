//! The bytes of every message between controllers, and of the frames that carry them, pinned: controllers of two releases
//! talk to each other while one replaces the other.
//!
//! The expectations in `fixtures/pinned/frames.txt` were made by the code before it was renamed, and are never made anew.

mod support;

use async_io::block_on;
use bitcode::{DecodeOwned, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use ravenhead::fencing::FencingToken;
use ravenhead::net::{Listener, Stream};
use ravenhead::peer::{
    Cancellation, ClusterStatus, Frame, Peer, PeerReply, PeerRequest, ResidueCleared, serve,
};
use ravenhead::scheduler::{
    AgentCommand, ExitCause, Heartbeat, JobId, MachineId, TaskState, TaskStatus,
};
use ravenhead::units::Micros;
use std::cell::RefCell;
use std::fmt::Debug;
use std::future::ready;
use support::pinned::{assert_pinned, expected, hex, pinned, unhex};

const FIXTURE: &str = include_str!("fixtures/pinned/frames.txt");
const LIMIT: Micros = Micros::secs(30);

/// Values have the bytes that the fixture has for them, and the bytes of the fixture are read as the values.
fn assert_bytes<T: Encode + DecodeOwned + PartialEq + Debug>(group: &str, values: &[(&str, T)]) {
    let made = values.iter();
    let made: Vec<(&str, String)> = made
        .map(|(name, value)| (*name, hex(&bitcode::encode(value))))
        .collect();
    assert_pinned(FIXTURE, group, &made);
    for (line, (name, value)) in pinned(FIXTURE, group).into_iter().zip(values) {
        let read: T = bitcode::decode(&unhex(expected(line))).expect(name);
        assert_eq!(read, *value, "{name}");
    }
}

fn job(id: &str) -> JobId {
    JobId(id.into())
}

fn machine(id: &str) -> MachineId {
    MachineId(id.into())
}

fn known() -> ClusterStatus {
    ClusterStatus {
        token: FencingToken(4_711),
        leader: Some("n-2".into()),
        state_reachable: true,
        peer_unreachable: false,
        incarnation: 0x0123_4567_89ab_cdef,
        leads: true,
    }
}

fn cancellation() -> Cancellation {
    Cancellation {
        job: job("j-000412"),
        at: 1_800_000_000_123_456,
        machines: vec![machine("m-000001"), machine("m-000231")],
    }
}

fn gone() -> ResidueCleared {
    ResidueCleared {
        job: job("j-7"),
        machine: machine("m-000009"),
    }
}

fn task(name: &str, attempt: u64, state: TaskState, cause: Option<ExitCause>) -> TaskStatus {
    TaskStatus {
        task: name.into(),
        attempt,
        state,
        cause,
    }
}

/// A heartbeat with tasks in every state and with every cause.
fn report() -> Heartbeat {
    Heartbeat {
        machine: machine("m-000231"),
        machine_type: "g8".into(),
        zone: "z1".into(),
        spot: true,
        agent_epoch: 77,
        sequence: 1_234,
        token: FencingToken(4_710),
        notice_s: Some(12.5),
        tasks: vec![
            task("j-1/0", 1, TaskState::Fetching, None),
            task("j-1/1", 2, TaskState::Running, None),
            task("j-1/2", 3, TaskState::Saving, None),
            task("j-2/0", 1 << 33, TaskState::Exited, Some(ExitCause::Done)),
            task("j-2/1", 5, TaskState::Exited, Some(ExitCause::Stopped)),
            task("j-2/2", 6, TaskState::Exited, Some(ExitCause::Error)),
            task("j-2/3", 7, TaskState::Exited, Some(ExitCause::NoRoom)),
            task("j-2/4", 8, TaskState::Exited, Some(ExitCause::Busy)),
            task("j-2/5", 9, TaskState::Exited, Some(ExitCause::Unknown)),
            task("j-2/6", 10, TaskState::Exited, Some(ExitCause::Other)),
            task("j-2/7", u64::MAX, TaskState::Other, None),
        ],
    }
}

fn run() -> AgentCommand {
    AgentCommand::Run {
        task: "j-1/3".into(),
        attempt: 4,
    }
}

fn stop() -> AgentCommand {
    AgentCommand::Stop {
        task: "j-000412/99999".into(),
        attempt: 1 << 40,
        save_grace_s: 30.25,
    }
}

fn clear() -> AgentCommand {
    AgentCommand::Clear {
        task: "j-2/0".into(),
        attempt: 1 << 33,
    }
}

fn framed<T>(message: T) -> Frame<T> {
    Frame {
        cluster_status: known(),
        message,
    }
}

fn ping() -> PeerRequest {
    PeerRequest::Ping {
        cancelled: vec![cancellation()],
        cleared: vec![gone()],
    }
}

fn answer() -> PeerReply {
    PeerReply::Answer {
        token: FencingToken(4_711),
        commands: vec![run(), stop(), clear()],
    }
}

#[test]
fn knowledge_keeps_its_bytes_with_each_field_set_alone() {
    let none = ClusterStatus::default;
    assert_bytes(
        "knowledge",
        &[
            ("nothing", none()),
            (
                "token",
                ClusterStatus {
                    token: FencingToken(300),
                    ..none()
                },
            ),
            (
                "leader",
                ClusterStatus {
                    leader: Some("n-0".into()),
                    ..none()
                },
            ),
            (
                "state-reachable",
                ClusterStatus {
                    state_reachable: true,
                    ..none()
                },
            ),
            (
                "misses-one",
                ClusterStatus {
                    peer_unreachable: true,
                    ..none()
                },
            ),
            (
                "incarnation",
                ClusterStatus {
                    incarnation: u64::MAX,
                    ..none()
                },
            ),
            (
                "leads",
                ClusterStatus {
                    leads: true,
                    ..none()
                },
            ),
            ("all", known()),
        ],
    );
}

#[test]
fn each_task_state_and_each_cause_of_an_exit_keeps_its_bytes() {
    assert_bytes(
        "state",
        &[
            ("pulling", TaskState::Fetching),
            ("running", TaskState::Running),
            ("flushing", TaskState::Saving),
            ("exited", TaskState::Exited),
            ("other", TaskState::Other),
        ],
    );
    assert_bytes(
        "cause",
        &[
            ("done", ExitCause::Done),
            ("halted", ExitCause::Stopped),
            ("error", ExitCause::Error),
            ("no_room", ExitCause::NoRoom),
            ("busy", ExitCause::Busy),
            ("unknown", ExitCause::Unknown),
            ("other", ExitCause::Other),
        ],
    );
}

#[test]
fn each_order_keeps_its_bytes() {
    assert_bytes(
        "order",
        &[("run", run()), ("stop", stop()), ("clear", clear())],
    );
    assert_bytes(
        "orders",
        &[
            ("none", vec![]),
            ("each", vec![run(), stop(), clear(), run()]),
        ],
    );
}

#[test]
fn cancellations_and_what_is_gone_keep_their_bytes() {
    let without = Cancellation {
        machines: Vec::new(),
        ..cancellation()
    };
    assert_bytes(
        "cancellation",
        &[("placed", cancellation()), ("not-placed", without)],
    );
    assert_bytes("gone", &[("one", gone())]);
}

#[test]
fn reports_keep_their_bytes() {
    let idle = Heartbeat {
        spot: false,
        notice_s: None,
        tasks: Vec::new(),
        ..report()
    };
    let first = Heartbeat {
        agent_epoch: 1,
        sequence: 0,
        token: FencingToken(0),
        ..idle.clone()
    };
    let many = (0..70).map(|n| task(&format!("j-3/{n}"), 1, TaskState::Running, None));
    let full = Heartbeat {
        tasks: many.collect(),
        ..report()
    };
    assert_bytes(
        "report",
        &[
            ("every-state", report()),
            ("idle", idle),
            ("first", first),
            ("full", full),
        ],
    );
}

#[test]
fn frame_of_each_request_variant_keeps_its_bytes() {
    let nothing = PeerRequest::Ping {
        cancelled: Vec::new(),
        cleared: Vec::new(),
    };
    let several = PeerRequest::Ping {
        cancelled: vec![
            cancellation(),
            Cancellation {
                job: job("j-1"),
                ..cancellation()
            },
        ],
        cleared: (0..3).map(|_| gone()).collect(),
    };
    let answer_relayed = |relay| PeerRequest::Heartbeat {
        relay,
        via: "n-1".into(),
        heartbeat: report(),
    };
    let unknown = Frame {
        cluster_status: ClusterStatus::default(),
        message: nothing.clone(),
    };
    assert_bytes(
        "request",
        &[
            ("ping-of-one-that-knows-nothing", unknown),
            ("ping-with-nothing-to-tell", framed(nothing)),
            ("ping", framed(ping())),
            ("ping-with-several", framed(several)),
            ("report", framed(answer_relayed(false))),
            ("report-to-be-relayed", framed(answer_relayed(true))),
        ],
    );
}

#[test]
fn frame_of_each_reply_variant_keeps_its_bytes() {
    let no_orders = PeerReply::Answer {
        token: FencingToken(0),
        commands: Vec::new(),
    };
    assert_bytes(
        "reply",
        &[
            ("pong", framed(PeerReply::Pong)),
            ("answer", framed(answer())),
            ("answer-without-orders", framed(no_orders)),
            ("no-leader", framed(PeerReply::NoLeader)),
        ],
    );
}

/// What stands in the fixture under a name on the wire.
fn on_the_wire(name: &str) -> Vec<u8> {
    let lines = pinned(FIXTURE, "wire");
    let line = lines.iter().find(|line| {
        let rest = line.strip_prefix("wire/");
        rest.and_then(|r| r.split_once(' '))
            .is_some_and(|(n, _)| n == name)
    });
    unhex(expected(line.expect("it is in the fixture")))
}

/// Reads as many bytes as are expected.
async fn read(stream: &mut Stream, expected: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes).await.expect("as many bytes");
    bytes
}

async fn listen() -> Listener {
    let any = "127.0.0.1:0".parse().expect("an address");
    Listener::bind(any).await.expect("a listener")
}

#[test]
fn a_request_and_its_reply_go_over_a_connection_as_length_and_body() {
    let (request, reply) = (on_the_wire("request"), on_the_wire("reply"));
    let length = u32::from_be_bytes(request[..4].try_into().expect("four bytes"));
    assert_eq!(length as usize, request.len() - 4);
    block_on(async {
        let listener = listen().await;
        let at = listener.local_addr().expect("its address");
        let peer = Peer::new("n-1".into(), at, 1);
        let other = async {
            let mut stream = listener.accept().await.expect("a connection");
            assert_eq!(hex(&read(&mut stream, &request).await), hex(&request));
            stream.write_all(&reply).await.expect("it is taken");
        };
        let asked = peer.call(known(), ping(), LIMIT);
        let (_, answered) = future::zip(other, asked).await;
        assert_eq!(answered.expect("a reply"), framed(answer()));
    });
}

#[test]
fn a_controller_reads_a_request_from_a_connection_and_writes_its_reply() {
    let (request, reply) = (on_the_wire("request"), on_the_wire("reply"));
    block_on(async {
        let listener = listen().await;
        let at = listener.local_addr().expect("its address");
        let asked = RefCell::new(Vec::new());
        let serving = async {
            let stream = listener.accept().await.expect("a connection");
            serve(stream, |frame| {
                asked.borrow_mut().push(frame);
                ready(framed(answer()))
            })
            .await;
        };
        let asking = async {
            let mut stream = Stream::connect(at).await.expect("a connection");
            stream.write_all(&request).await.expect("it is taken");
            assert_eq!(hex(&read(&mut stream, &reply).await), hex(&reply));
        };
        future::zip(serving, asking).await;
        assert_eq!(asked.take(), [framed(ping())]);
    });
}
