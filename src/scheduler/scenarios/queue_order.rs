//! Whose turn it is, preemption, and scheduling cycles that stay bounded.

use super::{Simulation, TOKEN, critical_service, spec, token_after};
use crate::scheduler::{
    AgentCommand, ExitCause, Job, JobId, JobSpec, MachineId, Priority, Shape, TaskState, TeamQuota,
};
use crate::units::Micros;

#[test]
fn a_critical_task_preempts_a_low_one_and_keeps_its_place() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 3));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(critical_service("j-2"));
    sim.run_cycle_and_commit();
    let stops = sim.send_heartbeat("m-1");
    assert!(
        matches!(stops[..], [AgentCommand::Stop { save_grace_s, .. }] if save_grace_s >= 4.0),
        "it may save"
    );
    sim.workers.get_mut("m-1").unwrap().execute(&stops, TOKEN);
    // The victim and the third task wait as well, but the room was made for the critical one.
    sim.heartbeat("m-1");
    let names: Vec<&String> = sim.workers["m-1"].tasks.keys().map(|(n, _)| n).collect();
    assert!(names.iter().any(|n| n.starts_with("j-2/")), "{names:?}");
}

#[test]
fn low_work_never_preempts_critical_work() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        class: "other".into(),
        tasks: 2,
        ..critical_service("j-1")
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(JobSpec {
        class: "live".into(),
        ..spec("j-2", 1)
    });
    sim.run_cycle_and_commit();
    assert_eq!(sim.send_heartbeat("m-1"), vec![]);
}

#[test]
fn an_overload_is_offered_to_samples_and_the_cycle_stays_bounded() {
    let mut sim = Simulation::new(0.0);
    for i in 0..200 {
        sim.add_worker(&format!("m-{i:06}"), "a", false);
    }
    sim.scheduler.config.max_offers_per_cycle = 5_000;
    for i in 0..2_000 {
        // There is room for them, but no machine of their zone.
        sim.submit(JobSpec {
            zone: Some("b".into()),
            ..spec(&format!("j-{i:06}"), 3)
        });
    }
    sim.scheduler.run_cycle(sim.now);
    assert!(sim.scheduler.offers_made >= 8 * 2_000);
    // Two passes over at least eight machines for each job: far from the 800,000 of a full search.
    assert!(
        sim.scheduler.offers_made <= 2 * 8 * 2_000,
        "{} offers",
        sim.scheduler.offers_made
    );
}

// Guards against two jobs within their guarantees taking one place from each other every few seconds.
#[test]
fn a_guarantee_is_taken_from_what_is_lent_but_not_from_another_guarantee() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(15));
    for name in ["one", "two"] {
        sim.scheduler
            .teams
            .insert(name.into(), TeamQuota::new(0.0, 0.0, 1.0, 0.0));
    }
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        team: "one".into(),
        ..spec("j-1", 1)
    });
    sim.submit(JobSpec {
        team: "one".into(),
        ..spec("j-2", 1)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(JobSpec {
        team: "two".into(),
        ..spec("j-3", 1)
    });
    sim.run_cycle_and_commit();
    let commands = sim.send_heartbeat("m-1");
    assert!(
        matches!(&commands[..], [AgentCommand::Stop { task, .. }] if task == "j-2/0"),
        "{commands:?}"
    );
}

// Guards against work with a deadline being stopped, or left waiting, though other work has time to spare.
#[test]
fn what_is_due_first_goes_first_and_is_stopped_last() {
    let mut sim = Simulation::new(0.0);
    let due = |id: &str, due_s: f64| JobSpec {
        due_s: Some(due_s),
        spot: false,
        ..spec(id, 1)
    };
    sim.submit(due("j-1", 500.0));
    sim.submit(due("j-2", 100.0));
    sim.submit(due("j-3", 100.0));
    sim.add_worker("m-1", "a", false);
    sim.scheduler.plan_fleet(sim.now, Micros::secs(1).0);
    sim.advance(1);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    let on = |sim: &Simulation, id: &str| sim.scheduler.jobs[&JobId(id.into())].live;
    assert_eq!(
        (on(&sim, "j-1"), on(&sim, "j-2"), on(&sim, "j-3")),
        (0, 1, 1)
    );
    // Now two with ample and with little time run, and a service takes the place of the one with ample time.
    let mut sim = Simulation::new(0.0);
    sim.submit(due("j-1", 80.0));
    sim.submit(due("j-2", 500.0));
    sim.add_worker("m-1", "a", false);
    sim.advance(1);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.scheduler.plan_fleet(sim.now, Micros::secs(10).0);
    sim.submit(critical_service("j-9"));
    sim.run_cycle_and_commit();
    let stops = sim.send_heartbeat("m-1");
    assert!(
        matches!(&stops[..], [AgentCommand::Stop { task, .. }] if task == "j-2/0"),
        "{stops:?}"
    );
}

// Guards against stops that spare a service the fetch of its image and cost a batch job its deadline.
#[test]
fn what_a_stop_would_make_late_is_not_stopped_only_to_spare_a_fetch() {
    let stopped = |due_s: f64| {
        let mut sim = Simulation::new(0.0);
        sim.submit(JobSpec {
            due_s: Some(due_s),
            spot: false,
            ..spec("j-1", 2)
        });
        for name in ["m-1", "m-2"] {
            sim.add_worker(name, "a", false);
        }
        sim.advance(1);
        sim.heartbeat_all();
        sim.heartbeat_all();
        assert_eq!(sim.workers["m-1"].running(), 2);
        sim.scheduler.plan_fleet(sim.now, Micros::secs(10).0);
        // Its image is on the first machine; on the second, which has room, it must be fetched for too long.
        sim.scheduler
            .machines
            .get_mut(&MachineId("m-1".into()))
            .unwrap()
            .images = vec![("big".into(), 10.0)];
        sim.submit(JobSpec {
            image: "big".into(),
            image_gb: 10.0,
            ..critical_service("j-9")
        });
        sim.run_cycle_and_commit();
        let p = sim.scheduler.jobs[&JobId("j-1".into())]
            .placement(1)
            .expect("placed");
        p.stopping.is_some() || sim.scheduler.jobs[&JobId("j-9".into())].waiting() > 0
    };
    assert!(stopped(500.0), "there is time to run it again");
    assert!(!stopped(80.0), "it would be late");
}

// Guards against scheduling cycles whose work follows the size of the fleet and of the queue, not what changed and what has room.
#[test]
fn a_cycle_of_a_large_fleet_is_bounded_and_costs_nothing_where_nothing_fits() {
    let mut sim = Simulation::new(0.0);
    for i in 0..2_000 {
        sim.add_worker(&format!("m-{i:06}"), ["a", "b"][i % 2], false);
    }
    for i in 0..1_600 {
        sim.submit(spec(&format!("j-{i:06}"), 3));
    }
    sim.advance(1);
    let before = sim.revision;
    sim.scheduler.run_cycle(sim.now);
    let max_offers = 2 * sim.scheduler.config.max_offers_per_cycle;
    assert!(
        sim.scheduler.offers_made <= max_offers,
        "{} offers",
        sim.scheduler.offers_made
    );
    sim.commit();
    // Twenty jobs' placements go into one transaction.
    let batches = sim.revision.0 - before.0;
    assert!(batches <= 1_600 / 20 + 1, "{batches} batches");
    for _ in 0..8 {
        sim.advance(1);
        sim.run_cycle_and_commit();
    }
    let placed: usize = sim
        .scheduler
        .machines
        .values()
        .map(|m| m.reserved.len())
        .sum();
    assert_eq!(placed, 4_000, "samples must not miss the machines that fit");
    // Now everything is full and eight hundred tasks wait: nobody is asked, nothing is written.
    sim.advance(1);
    let before = sim.revision;
    sim.run_cycle_and_commit();
    assert_eq!((sim.scheduler.offers_made, sim.revision), (0, before));
    // One machine has room again: only that is asked.
    let first = MachineId("m-000000".into());
    sim.heartbeat_in_one_cycle(0);
    sim.workers
        .get_mut(&first.0)
        .expect("a worker")
        .exit_all(ExitCause::Done);
    sim.advance(1);
    let heartbeat = sim
        .workers
        .get_mut(&first.0)
        .expect("a worker")
        .next_heartbeat(&first.0);
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    sim.scheduler.run_cycle(sim.now);
    assert!(
        sim.scheduler.offers_made <= 2 * 1_600,
        "{} offers",
        sim.scheduler.offers_made
    );
    assert_eq!(sim.scheduler.machines[&first].reserved.len(), 2);
    // What is kept for a placed task.
    let kept: usize = sim
        .chunks
        .values()
        .map(|(record, _)| serde_json::to_string(record).expect("json").len())
        .sum();
    assert!(kept <= 4_000 * 40, "{kept} bytes");
    // All controllers restart: the new leader hears two thousand machines on which all runs on, writes only down what
    // the last one had not, and rents and terminates nothing.
    sim.heartbeat_in_one_cycle(0);
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat_in_one_cycle(0);
    sim.heartbeat_in_one_cycle(0);
    let before = sim.revision;
    sim.heartbeat_in_one_cycle(0);
    assert_eq!(sim.revision, before, "nothing changed, nothing is written");
    sim.scheduler.on_list(&[], sim.now);
    assert_eq!(sim.running(), 4_000);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate, vec![]);
    // A tenth of them dies: every one is named, in few lines.
    sim.scheduler.take_events();
    sim.advance(1);
    sim.heartbeat_in_one_cycle(200);
    sim.advance(20);
    sim.heartbeat_in_one_cycle(200);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate.len(), 200);
    let notes = sim.info_lines();
    let vanished = notes.iter().filter(|n| n.contains("machine_lost"));
    let named: usize = vanished.clone().map(|n| n.matches("m-").count()).sum();
    assert_eq!((vanished.count(), named), (8, 200));
}

/// Lets small jobs come as fast as small tasks end, one task a second, and says after how many seconds a task of the
/// large job runs.
fn begins_among_small_ones(sim: &mut Simulation, small: &JobSpec, large: JobSpec) -> u64 {
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    let mut next = 0;
    let mut small_job = |sim: &mut Simulation| {
        next += 1;
        let id = JobId(format!("j-{next:04}"));
        sim.submit(JobSpec {
            id,
            ..small.clone()
        });
    };
    (0..12).for_each(|_| small_job(sim));
    sim.advance(1);
    sim.heartbeat_all();
    sim.heartbeat_all();
    let large = sim.submit(large);
    for second in 1..240 {
        sim.advance(1);
        let name = sim
            .workers
            .keys()
            .nth(second as usize % sim.workers.len())
            .cloned();
        let worker = sim
            .workers
            .get_mut(&name.expect("a worker"))
            .expect("a worker");
        let one = worker
            .tasks
            .values_mut()
            .find(|s| s.0 == TaskState::Running);
        if let Some(one) = one {
            *one = (TaskState::Exited, Some(ExitCause::Done));
            small_job(sim);
        }
        sim.heartbeat_all();
        if sim.scheduler.jobs[&large].live > 0 {
            return second;
        }
    }
    240
}

// Guards against small jobs passing a large one for ever.
#[test]
fn a_large_job_begins_though_small_ones_keep_coming() {
    let small = spec("j-0", 1);
    let large = JobSpec {
        accelerators: 2.0,
        ..spec("j-9999", 1)
    };
    // It needs a whole machine, and machines are never empty.
    let mut sim = Simulation::new(0.0);
    for i in 0..3 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let waited = begins_among_small_ones(&mut sim, &small, large.clone());
    assert!(waited < 120, "{waited} s for a machine");
    // Its team is always at its limit.
    let mut sim = Simulation::new(4.0);
    for i in 0..6 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let waited = begins_among_small_ones(&mut sim, &small, large.clone());
    assert!(waited < 120, "{waited} s for the team");
    // Its tasks may only be in a zone whose machines are always taken.
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let bound = JobSpec {
        zone: Some("b".into()),
        ..large.clone()
    };
    let waited = begins_among_small_ones(&mut sim, &small, bound);
    assert!(waited < 120, "{waited} s for a zone");
    // All its tasks must run together, in one zone.
    let mut sim = Simulation::new(0.0);
    for i in 0..6 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let gang = JobSpec {
        shape: Shape::Gang,
        tasks: 3,
        together: true,
        ..large
    };
    let waited = begins_among_small_ones(&mut sim, &small, gang);
    assert!(waited < 240, "{waited} s for a gang");
    // A service at its share of one zone waits for the other, where small tasks of its own size come and go.
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let spread = JobSpec {
        tasks: 4,
        spread: true,
        priority: Priority::Low,
        class: "other".into(),
        ..critical_service("j-9999")
    };
    let waited = begins_among_small_ones(&mut sim, &small, spread);
    assert!(waited < 120, "{waited} s for its share");
}

// Guards against an image that a large fleet has on few machines only, and against small fleets being scattered.
#[test]
fn a_slow_fetch_is_spread_over_machines_where_there_are_many() {
    let used = |machines: usize| {
        let mut sim = Simulation::new(0.0);
        for i in 0..machines {
            sim.add_worker(&format!("m-{i:04}"), "a", false);
        }
        sim.submit(JobSpec {
            tasks: 4,
            image_gb: 6.0,
            ..critical_service("j-1")
        });
        sim.run_cycle_and_commit();
        let reserved = sim
            .scheduler
            .machines
            .values()
            .filter(|m| !m.reserved.is_empty());
        reserved.count()
    };
    assert_eq!(used(10), 2);
    assert_eq!(used(200), 4);
}

#[test]
fn what_cannot_be_in_time_gives_way_but_not_for_ever() {
    let mut sim = Simulation::new(0.0);
    let due = |id: &str, due_s: f64| JobSpec {
        due_s: Some(due_s),
        ..spec(id, 1)
    };
    // Each takes a minute: the first can't make it, the second can, the third has much time.
    let late = sim.submit(due("j-1", 50.0));
    let fair = sim.submit(due("j-2", 90.0));
    let ample = sim.submit(due("j-3", 1_000.0));
    let order = |sim: &mut Simulation, at_s: u64| {
        sim.scheduler.unix_time = Micros::secs(at_s).0;
        let mut jobs: Vec<&Job> = sim.scheduler.jobs.values().collect();
        sim.scheduler.sort_by_queue_position(&mut jobs);
        let ids = jobs.iter().map(|j| j.spec.id.clone());
        ids.collect::<Vec<_>>()
    };
    assert_eq!(
        order(&mut sim, 0),
        [late.clone(), fair.clone(), ample.clone()]
    );
    assert_eq!(
        order(&mut sim, 25),
        [fair.clone(), late.clone(), ample.clone()]
    );
    // Even what is long overdue stays before what is due later than three times its time.
    assert_eq!(order(&mut sim, 200), [late, fair, ample]);
}

fn spare_time(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        cores: 4.0,
        accelerators: 0.0,
        ram_gb: 20.0,
        expected_run_s: 300.0,
        ..spec(id, tasks)
    }
}

// Guards against spare-time work in thousands of tasks that goes before all that has a deadline, because it came first.
#[test]
fn what_has_no_deadline_goes_behind_what_has_one() {
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), "a", true);
    }
    sim.submit(spare_time("j-1", 100));
    let dated = JobSpec {
        due_s: Some(200.0),
        ..spec("j-2", 8)
    };
    sim.submit(dated);
    sim.heartbeat_all();
    let on = |sim: &Simulation, job: &str| {
        let tasks = sim.workers.values().flat_map(|w| w.tasks.keys());
        tasks.filter(|(take, _)| take.starts_with(job)).count()
    };
    assert_eq!(on(&sim, "j-2/"), 8);
    assert_eq!(on(&sim, "j-1/"), 4, "and it takes what is left beside");
}

// Guards against processors used up beside free accelerators, which are paid for and of no use then.
#[test]
fn work_without_accelerators_leaves_what_the_free_ones_need() {
    let mut sim = Simulation::new(0.0);
    for i in 0..3 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(critical_service("j-1"));
    sim.heartbeat_all();
    sim.submit(spare_time("j-2", 100));
    sim.advance(1);
    sim.heartbeat_all();
    assert_eq!(
        sim.workers["m-0"].running(),
        2,
        "one beside 6 processors in use and 6 kept"
    );
    assert_eq!(
        sim.workers["m-1"].running(),
        4,
        "nothing is kept where no accelerator is used"
    );
    sim.submit(critical_service("j-3"));
    sim.advance(1);
    sim.heartbeat_all();
    assert_eq!(
        sim.workers["m-0"].running(),
        3,
        "so the next has its place at once"
    );
}
