//! The encoded bytes of every message between controllers, and of the frames that carry them, compared with a fixture.
//!
//! During a rolling upgrade, controllers of two releases exchange these messages; a change of the encoding would make
//! one release unable to read the other. `fixtures/pinned/frames.txt` holds the bytes as released and is never
//! regenerated.

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
const CALL_TIMEOUT: Micros = Micros::secs(30);

/// Asserts that each value is encoded to its bytes in the fixture, and that these bytes are decoded to the value.
fn assert_bytes<T: Encode + DecodeOwned + PartialEq + Debug>(group: &str, values: &[(&str, T)]) {
    let encoded = values.iter();
    let encoded: Vec<(&str, String)> = encoded
        .map(|(name, value)| (*name, hex(&bitcode::encode(value))))
        .collect();
    assert_pinned(FIXTURE, group, &encoded);
    for (line, (name, value)) in pinned(FIXTURE, group).into_iter().zip(values) {
        let decoded: T = bitcode::decode(&unhex(expected(line))).expect(name);
        assert_eq!(decoded, *value, "{name}");
    }
}

fn job(id: &str) -> JobId {
    JobId(id.into())
}

fn machine(id: &str) -> MachineId {
    MachineId(id.into())
}

fn cluster_status() -> ClusterStatus {
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

fn residue_cleared() -> ResidueCleared {
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

/// A heartbeat with tasks in every state and with every exit cause.
fn heartbeat() -> Heartbeat {
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
        cluster_status: cluster_status(),
        message,
    }
}

fn ping() -> PeerRequest {
    PeerRequest::Ping {
        cancelled: vec![cancellation()],
        cleared: vec![residue_cleared()],
    }
}

fn answer() -> PeerReply {
    PeerReply::Answer {
        token: FencingToken(4_711),
        commands: vec![run(), stop(), clear()],
    }
}

#[test]
fn cluster_status_with_each_field_set_alone_keeps_its_bytes() {
    let empty_status = ClusterStatus::default;
    assert_bytes(
        "knowledge",
        &[
            ("nothing", empty_status()),
            (
                "token",
                ClusterStatus {
                    token: FencingToken(300),
                    ..empty_status()
                },
            ),
            (
                "leader",
                ClusterStatus {
                    leader: Some("n-0".into()),
                    ..empty_status()
                },
            ),
            (
                "state-reachable",
                ClusterStatus {
                    state_reachable: true,
                    ..empty_status()
                },
            ),
            (
                "misses-one",
                ClusterStatus {
                    peer_unreachable: true,
                    ..empty_status()
                },
            ),
            (
                "incarnation",
                ClusterStatus {
                    incarnation: u64::MAX,
                    ..empty_status()
                },
            ),
            (
                "leads",
                ClusterStatus {
                    leads: true,
                    ..empty_status()
                },
            ),
            ("all", cluster_status()),
        ],
    );
}

#[test]
fn each_task_state_and_each_exit_cause_keeps_its_bytes() {
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
fn each_agent_command_keeps_its_bytes() {
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
fn cancellations_and_cleared_residues_keep_their_bytes() {
    let not_placed = Cancellation {
        machines: Vec::new(),
        ..cancellation()
    };
    assert_bytes(
        "cancellation",
        &[("placed", cancellation()), ("not-placed", not_placed)],
    );
    assert_bytes("gone", &[("one", residue_cleared())]);
}

#[test]
fn heartbeats_keep_their_bytes() {
    let without_tasks = Heartbeat {
        spot: false,
        notice_s: None,
        tasks: Vec::new(),
        ..heartbeat()
    };
    let first = Heartbeat {
        agent_epoch: 1,
        sequence: 0,
        token: FencingToken(0),
        ..without_tasks.clone()
    };
    let tasks = (0..70).map(|n| task(&format!("j-3/{n}"), 1, TaskState::Running, None));
    let heartbeat_of_70_tasks = Heartbeat {
        tasks: tasks.collect(),
        ..heartbeat()
    };
    assert_bytes(
        "report",
        &[
            ("every-state", heartbeat()),
            ("idle", without_tasks),
            ("first", first),
            ("full", heartbeat_of_70_tasks),
        ],
    );
}

#[test]
fn frame_of_each_request_variant_keeps_its_bytes() {
    let empty_ping = PeerRequest::Ping {
        cancelled: Vec::new(),
        cleared: Vec::new(),
    };
    let ping_with_entries = PeerRequest::Ping {
        cancelled: vec![
            cancellation(),
            Cancellation {
                job: job("j-1"),
                ..cancellation()
            },
        ],
        cleared: (0..3).map(|_| residue_cleared()).collect(),
    };
    let forwarded = |relay| PeerRequest::Heartbeat {
        relay,
        via: "n-1".into(),
        heartbeat: heartbeat(),
    };
    let without_status = Frame {
        cluster_status: ClusterStatus::default(),
        message: empty_ping.clone(),
    };
    assert_bytes(
        "request",
        &[
            ("ping-of-one-that-knows-nothing", without_status),
            ("ping-with-nothing-to-tell", framed(empty_ping)),
            ("ping", framed(ping())),
            ("ping-with-several", framed(ping_with_entries)),
            ("report", framed(forwarded(false))),
            ("report-to-be-relayed", framed(forwarded(true))),
        ],
    );
}

#[test]
fn frame_of_each_reply_variant_keeps_its_bytes() {
    let answer_without_commands = PeerReply::Answer {
        token: FencingToken(0),
        commands: Vec::new(),
    };
    assert_bytes(
        "reply",
        &[
            ("pong", framed(PeerReply::Pong)),
            ("answer", framed(answer())),
            ("answer-without-orders", framed(answer_without_commands)),
            ("no-leader", framed(PeerReply::NoLeader)),
        ],
    );
}

/// Returns the bytes of a frame on the connection, from the fixture's group `wire`.
fn wire_bytes(name: &str) -> Vec<u8> {
    let lines = pinned(FIXTURE, "wire");
    let line = lines.iter().find(|line| {
        let rest = line.strip_prefix("wire/");
        rest.and_then(|r| r.split_once(' '))
            .is_some_and(|(n, _)| n == name)
    });
    unhex(expected(line.expect("the fixture has no such name")))
}

/// Reads as many bytes as `expected` has.
async fn read_bytes(stream: &mut Stream, expected: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; expected.len()];
    stream
        .read_exact(&mut bytes)
        .await
        .expect("the connection ended early");
    bytes
}

async fn listen() -> Listener {
    let addr = "127.0.0.1:0".parse().expect("an address");
    Listener::bind(addr).await.expect("a listener")
}

#[test]
fn request_and_reply_are_sent_as_length_and_body() {
    let (request, reply) = (wire_bytes("request"), wire_bytes("reply"));
    let length = u32::from_be_bytes(request[..4].try_into().expect("four bytes"));
    assert_eq!(length as usize, request.len() - 4);
    block_on(async {
        let listener = listen().await;
        let addr = listener.local_addr().expect("its address");
        let peer = Peer::new("n-1".into(), addr, 1);
        let remote = async {
            let mut stream = listener.accept().await.expect("a connection");
            assert_eq!(hex(&read_bytes(&mut stream, &request).await), hex(&request));
            stream.write_all(&reply).await.expect("the write failed");
        };
        let call = peer.call(cluster_status(), ping(), CALL_TIMEOUT);
        let (_, result) = future::zip(remote, call).await;
        assert_eq!(result.expect("a reply"), framed(answer()));
    });
}

#[test]
fn controller_reads_a_request_and_writes_its_reply() {
    let (request, reply) = (wire_bytes("request"), wire_bytes("reply"));
    block_on(async {
        let listener = listen().await;
        let addr = listener.local_addr().expect("its address");
        let received = RefCell::new(Vec::new());
        let server = async {
            let stream = listener.accept().await.expect("a connection");
            serve(stream, |frame| {
                received.borrow_mut().push(frame);
                ready(framed(answer()))
            })
            .await;
        };
        let client = async {
            let mut stream = Stream::connect(addr).await.expect("a connection");
            stream.write_all(&request).await.expect("the write failed");
            assert_eq!(hex(&read_bytes(&mut stream, &reply).await), hex(&reply));
        };
        future::zip(server, client).await;
        assert_eq!(received.take(), [framed(ping())]);
    });
}
