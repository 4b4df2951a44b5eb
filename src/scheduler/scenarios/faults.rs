//! Faulty machines and broken jobs.

use super::{Simulation, spec};
use crate::scheduler::{ExitCause, JobId, JobSpec, MachineId, MachineState, Shape, TaskState};

#[test]
fn a_machine_failing_everything_is_quarantined_and_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    sim.add_worker("m-3", "a", false);
    for id in ["j-1", "j-2"] {
        sim.submit(spec(id, 1));
        sim.run_cycle_and_commit();
        sim.heartbeat("m-1");
        sim.workers
            .get_mut("m-1")
            .unwrap()
            .exit_all(ExitCause::Error);
        sim.heartbeat("m-1");
    }
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-1"].running(), 0);
    assert_eq!(sim.running(), 2, "both run elsewhere");
    assert!(
        sim.scheduler
            .plan_fleet(sim.now, 0)
            .terminate
            .contains(&MachineId("m-1".into()))
    );
}

#[test]
fn a_crash_looping_job_backs_off_and_no_machine_is_quarantined() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=4 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 1));
    for _ in 0..3 {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        for w in sim.workers.values_mut() {
            w.exit_all(ExitCause::Error);
        }
        sim.heartbeat_all();
        sim.advance(1);
    }
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 0, "it waits");
    assert!(
        sim.scheduler
            .machines
            .values()
            .all(|m| m.state == MachineState::Ready && m.failed_jobs.is_empty())
    );
    sim.advance(40);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(
        sim.running(),
        1,
        "and is tried again, as a mistake may be on the machines' side after all"
    );
}

/// Plays a while in which the tasks of broken jobs fail, and all that run on these machines; the others complete.
fn play_failing(sim: &mut Simulation, broken: &[&str], sick: &[&str], seconds: u64) -> usize {
    let mut failed = 0;
    for _ in 0..seconds {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        for (name, w) in &mut sim.workers {
            let up = w.tasks.iter_mut();
            for ((task, _), state) in up.filter(|(_, s)| s.0 != TaskState::Exited) {
                let job = task.split('/').next().unwrap_or_default();
                let fails = broken.contains(&job) || sick.contains(&name.as_str());
                failed += usize::from(fails);
                let cause = if fails {
                    ExitCause::Error
                } else {
                    ExitCause::Done
                };
                *state = (TaskState::Exited, Some(cause));
            }
        }
        sim.heartbeat_all();
        sim.advance(1);
    }
    failed
}

// Guards against good machines terminated because two broken jobs met on them, against every task of a large broken job
// being started, and provisioned for, again and again, and against a broken job that hides a faulty machine.
#[test]
fn broken_jobs_and_a_faulty_machine_are_told_apart() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=12 {
        sim.add_worker(&format!("m-{i:02}"), "a", false);
    }
    for id in ["j-1", "j-2"] {
        sim.submit(spec(id, 40));
    }
    let failed = play_failing(&mut sim, &["j-1", "j-2"], &[], 60);
    assert!(
        sim.scheduler
            .machines
            .values()
            .all(|m| m.state == MachineState::Ready)
    );
    assert!(
        failed < 2 * (24 + 10),
        "all places once, then one by one: {failed}"
    );
    // Good jobs go on beside them, and what fails on one machine only is that machine's fault.
    for i in 3..=8 {
        sim.submit(spec(&format!("j-{i}"), 30));
    }
    play_failing(&mut sim, &["j-1", "j-2"], &["m-01"], 40);
    let sick: Vec<&MachineId> = sim
        .scheduler
        .machines
        .iter()
        .filter(|(_, m)| m.state != MachineState::Ready)
        .map(|(id, _)| id)
        .collect();
    assert_eq!(sick, vec![&MachineId("m-01".into())]);
    assert!((3..=8).all(|i| sim.done.contains(&JobId(format!("j-{i}")))));
    assert!(!sim.done.contains(&JobId("j-1".into())));
    let rent = sim.scheduler.plan_fleet(sim.now, 100_000_000).provision;
    assert!(rent.iter().map(|w| w.count).sum::<usize>() <= 1, "{rent:?}");
}

// Guards against a good job whose tasks wait for all the others to end, because some met faulty machines.
#[test]
fn what_failed_on_faulty_machines_is_tried_again_while_the_others_run() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 14));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    for name in ["m-1", "m-2", "m-3"] {
        let w = sim.workers.get_mut(name).expect("a worker");
        w.exit_all(ExitCause::Error);
    }
    sim.heartbeat_all();
    let before = sim.running();
    assert!(before < 14);
    for _ in 0..35 {
        sim.advance(1);
        sim.heartbeat_all();
    }
    assert!(
        (before + 1..=before + 3).contains(&sim.running()),
        "one, and another after a while"
    );
}

// Guards against a good job that met only faulty machines first being taken for broken for good, and them for good.
#[test]
fn a_job_that_succeeds_elsewhere_attributes_its_failures_to_the_machines() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=8 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let sick = ["m-1", "m-2", "m-3"];
    let first = sim.submit(spec("j-1", 6));
    play_failing(&mut sim, &[], &sick, 40);
    assert!(sim.done.contains(&first), "the other machines complete it");
    sim.submit(spec("j-2", 6));
    play_failing(&mut sim, &[], &sick, 40);
    for (id, m) in &sim.scheduler.machines {
        assert_eq!(
            m.state == MachineState::Ready,
            !sick.contains(&id.0.as_str()),
            "{id}"
        );
    }
}

// Guards against a gang that is taken to be crash-looping and offered one task at a time, so that it never starts again.
#[test]
fn a_gang_that_failed_everywhere_starts_whole_again_after_its_pause() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=8 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(JobSpec {
        shape: Shape::Gang,
        accelerators: 2.0,
        ..spec("j-1", 4)
    });
    for _ in 0..3 {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        assert_eq!(sim.running(), 4);
        for w in sim.workers.values_mut() {
            w.exit_all(ExitCause::Error);
        }
        sim.heartbeat_all();
        sim.advance(60);
    }
}
