//! Growth of the scheduler's work with the size of the fleet. Most of these tests compare a small fleet with one that
//! has eight times as many machines and jobs, by the number of loop iterations over machines, jobs and tasks.

use super::{Simulation, critical_service, spec};
use crate::scheduler::{ExitCause, JobId, JobSpec, MachineId, Pool};
use crate::units::Micros;

const SMALL_FLEET: usize = 500;
const LARGE_FLEET: usize = 4_000;
/// Maximum growth of work that is proportional to the size of the fleet: a factor of 8, and a little more for searches
/// in an index. Work that is proportional to the square of the size would grow by a factor of 64.
const LINEAR: f64 = 8.0 * 1.5;

/// Returns the number of steps that `work` takes, at least 1.
fn steps(sim: &mut Simulation, work: impl FnOnce(&mut Simulation)) -> f64 {
    let steps_before = sim.scheduler.steps();
    work(sim);
    (sim.scheduler.steps() - steps_before).max(1) as f64
}

/// Asserts that the work with eight times as many machines is at most `max_growth` times as large.
fn assert_growth(max_growth: f64, measure: impl Fn(usize) -> f64) {
    let (small, large) = (measure(SMALL_FLEET), measure(LARGE_FLEET));
    let growth = large / small;
    assert!(
        growth <= max_growth,
        "{small} and {large} steps: {growth:.1} times"
    );
}

/// Creates a fleet of ready machines without tasks.
fn empty_fleet(machines: usize) -> Simulation {
    let mut sim = Simulation::new(0.0);
    for i in 0..machines {
        sim.add_worker(&format!("m-{i:06}"), ["a", "b"][i % 2], i % 3 > 0);
    }
    sim.advance(1);
    sim
}

/// Creates a fleet of machines without free resources, and half as many waiting jobs.
fn full_fleet(machines: usize) -> Simulation {
    let mut sim = empty_fleet(machines);
    sim.submit(JobSpec {
        expected_run_s: 5_000.0,
        ..spec("j-0", 2 * machines as u32)
    });
    while sim
        .scheduler
        .machines
        .values()
        .any(|m| m.reserved.len() < 2)
    {
        sim.advance(1);
        sim.run_cycle_and_commit();
    }
    sim.heartbeat_in_one_cycle(0);
    sim.heartbeat_in_one_cycle(0);
    assert_eq!(sim.running(), 2 * machines);
    submit_backlog(&mut sim, machines / 2);
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim
}

/// Submits jobs of three tasks each, with eight different images.
fn submit_backlog(sim: &mut Simulation, jobs: usize) {
    for i in 0..jobs {
        let image = format!("image-{}", i % 8);
        sim.submit(JobSpec {
            image,
            ..spec(&format!("j-w{i:06}"), 3)
        });
    }
}

#[test]
fn work_of_a_cycle_that_fills_an_empty_fleet_is_proportional_to_the_fleet() {
    assert_growth(LINEAR, |machines| {
        let mut sim = empty_fleet(machines);
        sim.scheduler.config.max_offers_per_cycle = 10_000_000;
        submit_backlog(&mut sim, machines / 2);
        let steps = steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now));
        let placed: usize = sim
            .scheduler
            .machines
            .values()
            .map(|m| m.reserved.len())
            .sum();
        assert_eq!(placed, machines / 2 * 3, "every task is placed");
        steps
    });
}

#[test]
fn work_of_a_cycle_with_a_full_fleet_and_a_backlog_is_proportional_to_the_fleet() {
    assert_growth(LINEAR, |machines| {
        let mut sim = full_fleet(machines);
        sim.advance(30);
        steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now))
    });
}

#[test]
fn cycle_without_due_jobs_takes_almost_no_work() {
    let mut sim = full_fleet(LARGE_FLEET);
    assert!(steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now)) < 10.0);
}

#[test]
fn work_of_a_heartbeat_is_independent_of_the_fleet() {
    assert_growth(1.5, |machines| {
        let mut sim = full_fleet(machines);
        let heartbeat = sim
            .workers
            .get_mut("m-000007")
            .expect("a worker")
            .next_heartbeat("m-000007");
        steps(&mut sim, |sim| {
            sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
            sim.scheduler
                .commands_for(&heartbeat.machine, heartbeat.position(), sim.now);
            sim.scheduler.has_unwritten_placements(&heartbeat.machine);
        })
    });
}

// Prevents the work of the first scheduling cycle of a new leader, and of its fleet plans, from growing with the square
// of the fleet.
#[test]
fn work_of_a_fleet_plan_is_proportional_to_the_fleet() {
    for full in [true, false] {
        assert_growth(LINEAR, |machines| {
            let mut sim = if full {
                full_fleet(machines)
            } else {
                let mut sim = Simulation::new(0.0);
                let pool = Pool {
                    machine_type: "rig".into(),
                    zone: "a".into(),
                    spot: true,
                };
                let names = (0..machines).map(|i| MachineId(format!("m-{i:06}")));
                let names: Vec<MachineId> = names.collect();
                sim.scheduler
                    .inherit_provisioned(&pool, &names, Micros::ZERO, sim.now);
                sim.advance(10);
                submit_backlog(&mut sim, machines / 2);
                sim
            };
            sim.scheduler.config.max_scale_out_per_cycle = 40;
            steps(&mut sim, |sim| {
                sim.scheduler.plan_fleet(sim.now, 1_000_000_000);
            })
        });
    }
}

// A fleet plan that considered at most 10,000 tasks provisioned only 400 machines for a job of small tasks, and no more
// until these were ready.
#[test]
fn machines_for_tens_of_thousands_of_small_tasks_are_provisioned_before_the_first_is_ready() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.max_scale_out_per_cycle = 500;
    sim.submit(JobSpec {
        cores: 0.5,
        accelerators: 0.0,
        ram_gb: 1.0,
        ..spec("j-1", 100_000)
    });
    sim.advance(60);
    let mut provisioned = 0;
    for _ in 0..20 {
        let plan = sim.scheduler.plan_fleet(sim.now, 1_000_000_000);
        for request in plan.provision {
            let names = (0..request.count).map(|i| MachineId(format!("m-{:06}", provisioned + i)));
            let names: Vec<MachineId> = names.collect();
            provisioned += names.len();
            sim.scheduler.on_scale_out_started(&request);
            sim.scheduler
                .on_scale_out_completed(&request, &names, sim.now);
        }
        sim.now = sim.now + Micros::millis(500);
    }
    // 32 tasks fit on a machine with 16 processors.
    assert!(
        (3_125..3_300).contains(&provisioned),
        "{provisioned} machines"
    );
}

// With a limit of 512 tasks per job and scheduling cycle, short tasks would never fill a large fleet.
#[test]
fn one_job_may_place_a_task_per_machine_in_a_cycle() {
    let mut sim = empty_fleet(LARGE_FLEET);
    sim.submit(spec("j-1", 3 * LARGE_FLEET as u32));
    sim.run_cycle_and_commit();
    let placed = sim.scheduler.jobs[&JobId("j-1".into())].live as usize;
    assert!(
        (LARGE_FLEET..=2 * LARGE_FLEET).contains(&placed),
        "{placed} tasks"
    );
}

// Prevents a backlog of thousands of jobs from being offered in full every 400 ms.
#[test]
fn all_jobs_of_a_backlog_are_offered_but_less_often_the_longer_it_is() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.max_offers_per_cycle = 1_600;
    sim.add_worker("m-1", "a", true);
    submit_backlog(&mut sim, 1_000);
    sim.submit(critical_service("j-live"));
    sim.run_cycle_and_commit();
    let time_until_next_offer = |sim: &Simulation, id: &str| {
        sim.scheduler.jobs[&JobId(id.into())]
            .next_offer_at
            .since(sim.now)
    };
    let retry_delay = time_until_next_offer(&sim, "j-w000999");
    // 100 jobs are offered per retry interval of 0.4 s, and 1,001 jobs wait.
    assert!(
        (4_400..=4_500).contains(&retry_delay.as_millis()),
        "{retry_delay}"
    );
    assert!(
        time_until_next_offer(&sim, "j-live").as_millis() <= 500,
        "critical jobs do not wait longer"
    );
}

// Prevents chunks whose writes are deferred from being examined again for each batch.
#[test]
fn chunks_with_deferred_completions_are_not_examined_for_each_batch() {
    let mut sim = empty_fleet(SMALL_FLEET);
    sim.submit(spec("j-1", 2 * SMALL_FLEET as u32));
    sim.run_cycle_and_commit();
    sim.heartbeat_in_one_cycle(0);
    let mut heartbeats = Vec::new();
    for (name, worker) in sim.workers.iter_mut().step_by(2) {
        worker.exit_all(ExitCause::Done);
        heartbeats.push(worker.next_heartbeat(name));
    }
    for heartbeat in heartbeats {
        sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    }
    assert_eq!(
        sim.scheduler.next_batch(20, 36_000, true),
        vec![],
        "completions are deferred"
    );
    let repeated_steps = steps(&mut sim, |sim| {
        for _ in 0..10 {
            assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
        }
    });
    assert!(repeated_steps < 10.0, "{repeated_steps} steps");
    // After the maximum delay of 10 s, they are written.
    sim.advance(11);
    sim.scheduler.run_cycle(sim.now);
    assert_ne!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
}
