use super::{Cancellations, MAX_CANCELLATION_BYTES, MAX_CLEARED_PER_MESSAGE};
use crate::fencing::FencingToken;
use crate::peer::{Cancellation, ResidueCleared};
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

/// Returns a heartbeat of a machine that runs task 0 of each of these jobs.
fn heartbeat(n: usize, sequence: u64, jobs: &[&str]) -> Heartbeat {
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

/// Unix time, in microseconds, when start commands sent before the cancellations can no longer arrive.
const AFTER_DELIVERY_TIMEOUT_US: u64 = 60_000_000;

// Guards against dropping the cleared machines that exceed one message: other controllers would then terminate machines
// without cancelled tasks.
#[test]
fn cleared_machines_of_large_fleet_are_reported_once_in_several_messages() {
    let machines = 2 * MAX_CLEARED_PER_MESSAGE + 10;
    let mut cancellations = Cancellations::default();
    let mut cursor = cancellations.residue_cleared_cursor();
    cancellations.insert(&cancellation(1, 0..machines));
    for n in 0..machines {
        cancellations.on_heartbeat(&heartbeat(n, 1, &[]), AFTER_DELIVERY_TIMEOUT_US);
        cancellations.on_heartbeat(&heartbeat(n, 2, &[]), AFTER_DELIVERY_TIMEOUT_US);
    }
    let mut peer = Cancellations::default();
    peer.insert(&cancellation(1, 0..machines));
    let mut messages = 0;
    loop {
        let (cleared, next) = cancellations.residue_cleared_since(cursor);
        if cleared.is_empty() {
            break;
        }
        assert!(cleared.len() <= MAX_CLEARED_PER_MESSAGE);
        peer.on_residue_cleared(&cleared, AFTER_DELIVERY_TIMEOUT_US);
        cursor = next;
        messages += 1;
    }
    assert_eq!(messages, 3);
    assert_eq!(
        peer.overdue(AFTER_DELIVERY_TIMEOUT_US, Micros::secs(1)),
        vec![]
    );
    assert!(
        peer.residue_by_machine.is_empty(),
        "cleared machines are not tracked"
    );
}

#[test]
fn only_machines_that_may_run_cancelled_tasks_are_overdue() {
    let mut cancellations = Cancellations::default();
    cancellations.insert(&cancellation(1, 0..3));
    cancellations.insert(&cancellation(2, 1..2));
    for sequence in 1..=3 {
        cancellations.on_heartbeat(
            &heartbeat(0, sequence, &["j-000001"]),
            AFTER_DELIVERY_TIMEOUT_US,
        );
        cancellations.on_heartbeat(
            &heartbeat(1, sequence, &["j-000002", "j-000003"]),
            AFTER_DELIVERY_TIMEOUT_US,
        );
    }
    let overdue = cancellations.overdue(AFTER_DELIVERY_TIMEOUT_US, Micros::secs(1));
    let overdue: Vec<(&str, &str)> = overdue
        .iter()
        .map(|residue| (residue.job.0.as_str(), residue.machine.0.as_str()))
        .collect();
    let expected = [
        ("j-000001", "m-000000"),
        ("j-000001", "m-000002"),
        ("j-000002", "m-000001"),
    ];
    assert_eq!(
        overdue, expected,
        "one machine runs the task, one sent no heartbeat"
    );
    cancellations.remove_expired(AFTER_DELIVERY_TIMEOUT_US * 10, Micros::secs(1));
    assert!(
        cancellations.residue_by_machine.is_empty()
            && !cancellations.contains(&JobId("j-000001".into()))
    );
}

// Guards against heartbeats or another controller's report being taken for the cloud's confirmation.
#[test]
fn only_machines_that_the_cloud_confirmed_count_as_terminated() {
    let mut cancellations = Cancellations::default();
    cancellations.insert(&cancellation(1, 0..3));
    let job = JobId("j-000001".into());
    let of_machine = |n| ResidueCleared {
        job: job.clone(),
        machine: machine(n),
    };
    cancellations.on_residue_cleared(&[of_machine(0), of_machine(1)], AFTER_DELIVERY_TIMEOUT_US);
    cancellations.on_terminated(&[of_machine(1)], AFTER_DELIVERY_TIMEOUT_US);
    let terminated = |n| cancellations.is_terminated(&job, &machine(n));
    assert_eq!([0, 1, 2].map(terminated), [false, true, false]);
    let grace_period = Micros::secs(1);
    let overdue = cancellations.overdue(AFTER_DELIVERY_TIMEOUT_US, grace_period);
    assert_eq!(overdue, [of_machine(2)]);
    let unterminated = cancellations.unterminated(AFTER_DELIVERY_TIMEOUT_US, grace_period);
    assert_eq!(unterminated, [of_machine(0), of_machine(2)]);
}

// Guards against a message that is too long for a frame, and against a cancellation that is never sent.
#[test]
fn all_cancellations_are_sent_in_messages_of_bounded_size() {
    let mut cancellations = Cancellations::default();
    for job in 0..300 {
        cancellations.insert(&cancellation(job, 0..1_000));
    }
    cancellations.insert(&cancellation(300, 0..50_000));
    let mut acknowledged = 0;
    loop {
        let unacknowledged = cancellations.unacknowledged("n-1");
        if unacknowledged.is_empty() {
            break;
        }
        let bytes: usize = unacknowledged.iter().map(Cancellation::bytes).sum();
        assert!(
            bytes <= MAX_CANCELLATION_BYTES || unacknowledged.len() == 1,
            "{bytes} bytes"
        );
        acknowledged += unacknowledged.len();
        cancellations.acknowledge("n-1", 1, &unacknowledged);
    }
    assert_eq!(acknowledged, 301);
}
