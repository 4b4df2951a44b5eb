use super::{Cancellations, MAX_CANCELLATION_BYTES, MAX_CLEARED_PER_MESSAGE};
use crate::fencing::FencingToken;
use crate::peer::Cancellation;
use crate::scheduler::TaskStatus;
use crate::scheduler::{Heartbeat, JobId, MachineId, TaskState};
use crate::units::Micros;

fn machine(n: usize) -> MachineId {
    MachineId(format!("m-{n:06}"))
}

fn cancellation(job: usize, machines: std::ops::Range<usize>) -> Cancellation {
    Cancellation {
        job: JobId(format!("j-{job:06}")),
        at: 1_000_000,
        machines: machines.map(machine).collect(),
    }
}

/// A heartbeat of a machine that holds tasks of these jobs.
fn report(n: usize, sequence: u64, jobs: &[&str]) -> Heartbeat {
    let running = |job: &&str| TaskStatus {
        task: format!("{job}/0"),
        attempt: 1,
        state: TaskState::Running,
        cause: None,
    };
    Heartbeat {
        machine: machine(n),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: FencingToken(1),
        notice_s: None,
        tasks: jobs.iter().map(running).collect(),
    }
}

/// Well after the cancellations, when no start can be on its way any more.
const LATER: u64 = 60_000_000;

// Guards against finds beyond a message's bound that were never told, so that machines went back for nothing.
#[test]
fn what_is_found_gone_on_a_large_fleet_is_told_in_several_messages_and_once() {
    let machines = 2 * MAX_CLEARED_PER_MESSAGE + 10;
    let mut c = Cancellations::default();
    let mut told = c.residue_cleared_cursor();
    c.insert(&cancellation(1, 0..machines));
    for n in 0..machines {
        c.on_heartbeat(&report(n, 1, &[]), LATER);
        c.on_heartbeat(&report(n, 2, &[]), LATER);
    }
    let mut other = Cancellations::default();
    other.insert(&cancellation(1, 0..machines));
    let mut messages = 0;
    loop {
        let (gone, next) = c.residue_cleared_since(told);
        if gone.is_empty() {
            break;
        }
        assert!(gone.len() <= MAX_CLEARED_PER_MESSAGE);
        other.on_residue_cleared(&gone, LATER);
        told = next;
        messages += 1;
    }
    assert_eq!(messages, 3);
    assert_eq!(other.overdue(LATER, Micros::secs(1)), vec![]);
    assert!(
        other.residue_by_machine.is_empty(),
        "nothing is kept of what is gone"
    );
}

#[test]
fn a_machine_that_holds_a_cancelled_task_is_left_and_one_that_does_not_is_not() {
    let mut c = Cancellations::default();
    c.insert(&cancellation(1, 0..3));
    c.insert(&cancellation(2, 1..2));
    for sequence in 1..=3 {
        c.on_heartbeat(&report(0, sequence, &["j-000001"]), LATER);
        c.on_heartbeat(&report(1, sequence, &["j-000002", "j-000003"]), LATER);
    }
    let left = c.overdue(LATER, Micros::secs(1));
    let left: Vec<(&str, &str)> = left
        .iter()
        .map(|l| (l.job.0.as_str(), l.machine.0.as_str()))
        .collect();
    let expected = [
        ("j-000001", "m-000000"),
        ("j-000001", "m-000002"),
        ("j-000002", "m-000001"),
    ];
    assert_eq!(left, expected, "one holds it, one was not heard");
    c.forget(LATER * 10, Micros::secs(1));
    assert!(c.residue_by_machine.is_empty() && !c.contains(&JobId("j-000001".into())));
}

// Guards against a message that is too long for a frame, and against one that leaves out a cancellation for ever.
#[test]
fn cancellations_are_told_in_messages_of_bounded_size_until_all_are_told() {
    let mut c = Cancellations::default();
    for job in 0..300 {
        c.insert(&cancellation(job, 0..1_000));
    }
    c.insert(&cancellation(300, 0..50_000));
    let mut told = 0;
    loop {
        let unacknowledged = c.unacknowledged("n-1");
        if unacknowledged.is_empty() {
            break;
        }
        let bytes: usize = unacknowledged.iter().map(Cancellation::bytes).sum();
        assert!(
            bytes <= MAX_CANCELLATION_BYTES || unacknowledged.len() == 1,
            "{bytes} bytes"
        );
        told += unacknowledged.len();
        c.acknowledge("n-1", 1, &unacknowledged);
    }
    assert_eq!(told, 301);
}
