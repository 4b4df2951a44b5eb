use super::*;

fn machine(name: &str) -> MachineId {
    MachineId(name.into())
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId("j-1".into()),
        index,
    }
}

#[test]
fn machine_lost_lists_all_machines_with_their_tasks_and_cause() {
    let line = |cause: LossCause| {
        let event = SchedulerEvent::MachinesLost {
            machines: vec![machine("m-1"), machine("m-2")],
            cause,
            zone: "a".into(),
            spot: true,
            since_contact: Micros::millis(1_500),
            tasks: vec![task(0), task(3)],
        };
        assert_eq!(event.level(), EventLevel::Info);
        event.to_string()
    };
    for (cause, why) in [
        (LossCause::InboundUnreachable, "deaf"),
        (LossCause::Gone, "lost"),
        (LossCause::HeartbeatTimeout, "silent"),
        (LossCause::ProvisioningTimeout, "stuck"),
    ] {
        assert_eq!(
            line(cause),
            format!(
                "event=machine_lost machine=m-1,m-2 count=2 why={why} zone=a spot=true quiet=1.500s tasks=[j-1/0,j-1/3]"
            )
        );
    }
}

#[test]
fn rare_events_keep_their_log_lines() {
    use SchedulerEvent as E;
    let refused = E::TaskStartRefused {
        task: task(1),
        machine: machine("m-1"),
        cause: Some(ExitCause::NoRoom),
    };
    let invalid = E::InvalidTask {
        machine: machine("m-1"),
        task: "j-\n".into(),
    };
    let normal = E::ProvisioningNormal {
        zone: "a".into(),
        late: 1,
        on_time: 9,
    };
    let waiting = E::RebuildWaiting {
        token: FencingToken(7),
        listed: false,
        unreported: 3,
    };
    for (event, line) in [
        (
            refused,
            "event=task_start_refused task=j-1/1 machine=m-1 cause=Some(NoRoom)",
        ),
        (invalid, r#"event=invalid_task machine=m-1 task="j-\n""#),
        (normal, "event=provisioning_normal zone=a late=1 on_time=9"),
        (
            waiting,
            "event=rebuild_waiting token=7 listed=false unheard=3",
        ),
    ] {
        assert_eq!(event.level(), EventLevel::Info);
        assert_eq!(event.to_string(), line);
    }
}

#[test]
fn events_of_single_tasks_are_logged_at_debug_level() {
    let event = SchedulerEvent::TaskExited {
        task: task(2),
        machine: machine("m-1"),
        cause: None,
    };
    assert_eq!(event.level(), EventLevel::Debug);
    assert_eq!(
        event.to_string(),
        "event=task_exited task=j-1/2 machine=m-1 cause=None"
    );
}
