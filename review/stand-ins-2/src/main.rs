//! Stand-ins and cases of the second review. `review-2 CASE RECORD FOLDER` runs one case against three controllers and
//! exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod deploy;
mod http;
mod json;
mod platform;
mod proxy;
mod record;
mod state;

use deploy::{
    Deployment, Job, chasqui_live, kava_swarm, nan_quito, quillca_batch, sere_render,
    sigatoka_trails, tapa_chapters, vakaloloma_suva, vuli_live, wait,
};
use record::now;
use std::process::exit;
use std::thread::sleep;
use std::time::Duration;

/// How a case ended.
enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

use Outcome::{Broken, CouldNotRun, Held};

/// After this time a run is given up.
const RUN_LIMIT_S: f64 = 117.0;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD FOLDER");
        exit(2);
    };
    record::open(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    rec!("case {case}, trouble {trouble}");
    let outcome = match case.as_str() {
        "start-after-cancel" => start_after_cancel(folder, trouble),
        "hang-and-cloud" => hang_and_cloud(folder, trouble),
        "failed-once" => failed_once(folder, trouble),
        "many-images" => many_images(folder, trouble),
        "quarantine" => quarantine(folder, trouble),
        "spot-lost" => spot_lost(folder, trouble),
        _ => CouldNotRun("no such case".into()),
    };
    let (status, word, why) = match outcome {
        Held(why) => (0, "held", why),
        Broken(why) => (1, "BROKEN", why),
        CouldNotRun(why) => (2, "could not run", why),
    };
    rec!("RESULT {word}: {why}");
    println!("{word}: {why}");
    exit(status);
}

fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// The controller that leads, once every controller is ready.
fn ready(d: &Deployment) -> Result<usize, Outcome> {
    if !d.wait_ready(20.0) {
        return Err(CouldNotRun("the controllers did not get ready".into()));
    }
    d.leader().ok_or(CouldNotRun("no leader".into()))
}

/// Submits a job and waits until its task runs.
fn run_job(d: &Deployment, node: usize, job: &Job) -> Result<(), Outcome> {
    if !d.submit(node, job) {
        return Err(CouldNotRun(format!("{} was not accepted", job.id)));
    }
    let runs = || d.platform.runs(&job.id) || d.platform.is_finished(&job.id);
    if !wait(25.0, runs) {
        return Err(CouldNotRun(format!("{} did not start", job.id)));
    }
    Ok(())
}

macro_rules! attempt {
    ($e:expr) => {
        match $e {
            Ok(value) => value,
            Err(outcome) => return outcome,
        }
    };
}

/// A leader is cut off from the state service and the other controllers while workers and users still reach it, and a
/// job is cancelled through another controller.
fn start_after_cancel(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(nan_quito(), &[("azuay", true, 1)], folder);
    let p = &d.platform;
    let leader = attempt!(ready(&d));
    p.set_first_node(leader);
    // One machine gets ready and fetches the image.
    attempt!(run_job(&d, 0, &quillca_batch("j-000001", 1.0)));
    if !wait(10.0, || p.is_finished("j-000001"))
        || !wait(10.0, || p.tasks_of("j-000001").is_empty())
    {
        return CouldNotRun("the first job did not end".into());
    }
    let Some(machine) = p.up(true).first().cloned() else {
        return CouldNotRun("no machine".into());
    };
    // Its worker has nothing to tell, so it reports about every two seconds.
    pause(3.0);
    let Some(leader) = d.leader() else {
        return CouldNotRun("no leader".into());
    };
    let other = (leader + 1) % 3;
    let (answered, _) = p.last_report(&machine);
    wait(4.0, || p.last_report(&machine).0 > answered);
    let (_, reported_at) = p.last_report(&machine);
    // The next report comes after 1.52 s: two seconds, less up to a quarter.
    p.report_at(&machine, reported_at + 1.52);
    pause(0.1);
    let job = quillca_batch("j-000002", 30.0);
    if !d.submit(other, &job) {
        return CouldNotRun("the job was not accepted".into());
    }
    let is_placed = || {
        let chunk = d.state.get("r/run/j-000002/00000");
        chunk.is_some_and(|c| !c.get("l").items().is_empty())
    };
    if !wait(0.4, is_placed) || now() > reported_at + 0.7 {
        return CouldNotRun("the task was not placed between two reports".into());
    }
    rec!(
        "the leader anchor-{leader} has placed j-000002/0 on {machine}, whose worker has not reported since"
    );
    if trouble {
        d.cut_from_state_and_peers(leader, true);
    }
    let mut confirmed_at = None;
    while confirmed_at.is_none() && now() < reported_at + 15.0 {
        let answer = d.user(other, "POST", "/work/j-000002/withdraw", None, 5.0);
        match answer {
            Some((200, body)) if body.get("status").text() == Some("aborted") => {
                confirmed_at = Some(now())
            }
            _ => pause(1.0),
        }
    }
    let Some(confirmed_at) = confirmed_at else {
        return CouldNotRun("the cancellation was not confirmed".into());
    };
    pause(12.0);
    let late = p
        .started()
        .into_iter()
        .find(|s| s.task == "j-000002/0" && s.report_sent_at > confirmed_at);
    match late {
        Some(s) => Broken(format!(
            "the user was told at {confirmed_at:.3} that j-000002 is aborted; {} sent a report at {:.3}, was told to \
             run {} in the answer, and started it at {:.3}",
            s.machine, s.report_sent_at, s.task, s.at
        )),
        None => Held(format!(
            "told at {confirmed_at:.3}; no start was ordered in answer to a later report"
        )),
    }
}

/// Machines hang just when a job on them is cancelled, and 13 s later the cloud's interface is down for 30 s.
fn hang_and_cloud(folder: &str, trouble: bool) -> Outcome {
    const CANCEL_S: f64 = 41.0;
    let d = Deployment::start(sigatoka_trails(), &[("sigatoka", false, 5)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    let running = |job: &str| {
        let tasks = p.tasks_of(job);
        tasks
            .iter()
            .filter(|(_, s)| matches!(s, platform::TaskState::Running { .. }))
            .count()
    };
    // Two tasks fit on a machine: three machines for the first job, two for the other.
    for (job, takes) in [("j-000001", 6), ("j-000002", 4)] {
        if !d.submit(0, &tapa_chapters(job, takes, 150.0)) || !wait(25.0, || running(job) == takes)
        {
            return CouldNotRun(format!("{job} did not start"));
        }
    }
    pause(3.0);
    let machines: std::collections::BTreeSet<String> =
        p.tasks_of("j-000001").into_iter().map(|(m, _)| m).collect();
    let machines: Vec<String> = machines.into_iter().collect();
    rec!("j-000001 runs on {machines:?}");
    if trouble {
        p.hang(&machines, now() + 60.0);
    }
    let mut confirmed_at = None;
    let until = now() + 20.0;
    while confirmed_at.is_none() && now() < until {
        let answer = d.user(1, "POST", "/work/j-000001/withdraw", None, 5.0);
        match answer {
            Some((200, body)) if body.get("status").text() == Some("aborted") => {
                confirmed_at = Some(now())
            }
            _ => pause(1.0),
        }
    }
    let Some(confirmed_at) = confirmed_at else {
        return Held("the user was not told yet that the job is cancelled".into());
    };
    if trouble {
        wait(60.0, || now() >= confirmed_at + 13.0);
        p.set_cloud_out(true);
        wait(60.0, || now() >= confirmed_at + CANCEL_S + 0.5);
    } else {
        pause(15.0);
    }
    let left = p.tasks_of("j-000001");
    let left: Vec<String> = left
        .into_iter()
        .filter(|(_, s)| !matches!(s, platform::TaskState::Exited { .. }))
        .map(|(m, s)| format!("{m}: {s:?}"))
        .collect();
    let after = now() - confirmed_at;
    if trouble {
        wait(10.0, || now() >= confirmed_at + 42.5);
        p.set_cloud_out(false);
        pause(3.0);
    }
    if left.is_empty() {
        return Held(format!(
            "no task of j-000001 was on a machine {after:.1} s after the confirmation"
        ));
    }
    Broken(format!(
        "the user was told at {confirmed_at:.3} that j-000001 is aborted; {after:.1} s later, with cancel_s = 41, its \
         tasks were on machines: {}",
        left.join(", ")
    ))
}

/// Watches a job after the troubles: it must not wait for 90 s while a machine that fits has room.
fn watch_waiting(d: &Deployment, job: &str) -> Outcome {
    let p = &d.platform;
    let mut since: Option<(f64, String)> = None;
    let mut asked_at = 0.0;
    loop {
        if p.is_placed(job) || p.is_finished(job) {
            let waited = since.map_or(0.0, |(at, _)| now() - at);
            return Held(format!(
                "{job} was started; it had waited {waited:.1} s beside a machine with room"
            ));
        }
        match (p.machine_with_room(job), &since) {
            (Some(m), Some((_, before))) if m == *before => {}
            (Some(m), _) => {
                rec!("{job} waits while {m} is well, fits and has room");
                since = Some((now(), m));
            }
            (None, Some(_)) => {
                rec!("no machine has room for {job} now");
                since = None;
            }
            (None, None) => {}
        }
        if let Some((at, m)) = &since
            && now() - at >= 90.0
        {
            let status = d.status(0, job).unwrap_or_default();
            return Broken(format!(
                "{job} ({status}) waited for {:.1} s while {m} was well, fit and had room, with all troubles over",
                now() - at
            ));
        }
        if now() > RUN_LIMIT_S {
            return CouldNotRun("out of time".into());
        }
        if now() - asked_at > 15.0 {
            asked_at = now();
            d.status(0, job);
        }
        pause(0.1);
    }
}

/// One-task jobs come four a second, each with an image of its own. Afterwards a job must run on the machine, which has
/// room, and the user of the first of them must be told of its end.
fn many_images(folder: &str, trouble: bool) -> Outcome {
    let mut site = vakaloloma_suva();
    // Half of the usual time, so that the jobs wait for the machine together.
    site.times.boot_s = 18.0;
    let d = Deployment::start(site, &[("lomaiviti", false, 1)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    let jobs = if trouble { 75 } else { 1 };
    for number in 0..jobs {
        let next = now() + 0.25;
        let run_s = if number == 0 { 5.0 } else { 300.0 };
        if !d.submit(number % 3, &kava_swarm(number, run_s)) {
            return CouldNotRun("a job was not accepted".into());
        }
        pause(next - now());
    }
    let last = format!("j-{:06}", 100 + jobs - 1);
    if !wait(20.0, || p.runs(&last)) {
        return CouldNotRun("the small jobs did not start".into());
    }
    // Their worker reports that they run.
    pause(1.5);
    if !d.submit(0, &sere_render("j-000001", 4.0)) {
        return CouldNotRun("the last job was not accepted".into());
    }
    let outcome = watch_waiting(&d, "j-000001");
    let status = d.status(1, "j-000100").unwrap_or_default();
    let ended_at = p.finished_at("j-000100").unwrap_or_default();
    rec!("the task of j-000100 completed at {ended_at:.3}; its user is told {status}");
    outcome
}

/// The only machine fails what it starts for five seconds. A job that failed there meanwhile must run afterwards.
fn failed_once(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(vakaloloma_suva(), &[("lomaiviti", false, 1)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    attempt!(run_job(&d, 0, &vuli_live("j-000001")));
    let sick_until = now() + 5.0;
    if trouble {
        p.make_sick(sick_until);
    }
    let job = sere_render("j-000002", 4.0);
    if !d.submit(0, &job) {
        return CouldNotRun("the job was not accepted".into());
    }
    if !trouble {
        wait(20.0, || p.runs("j-000002"));
        return watch_waiting(&d, "j-000002");
    }
    if !wait(4.9, || !p.tasks_of("j-000002").is_empty()) {
        return CouldNotRun("the job was not started while the machine was sick".into());
    }
    wait(10.0, || now() > sick_until + 0.1);
    rec!("the machine is well again");
    // Another job shows that the machine takes and completes work.
    if d.submit(0, &sere_render("j-000003", 2.0)) {
        let done = wait(20.0, || p.is_finished("j-000003"));
        rec!("j-000003, submitted after the trouble, was done on that machine: {done}");
    }
    watch_waiting(&d, "j-000002")
}

/// The only machine fails what it starts for five seconds, so that two jobs fail there. A job that is submitted
/// afterwards must run there.
fn quarantine(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(vakaloloma_suva(), &[("lomaiviti", false, 1)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    attempt!(run_job(&d, 0, &vuli_live("j-000001")));
    let sick_until = now() + 6.0;
    if trouble {
        p.make_sick(sick_until);
    }
    for id in ["j-000002", "j-000003"] {
        if !d.submit(0, &sere_render(id, 2.0)) {
            return CouldNotRun("a job was not accepted".into());
        }
        // The second one comes when the first one has left.
        wait(8.0, || !p.tasks_of(id).is_empty());
        wait(8.0, || !p.is_placed(id));
    }
    wait(10.0, || now() > sick_until + 0.1);
    rec!("the machine is well again");
    if !d.submit(0, &sere_render("j-000004", 2.0)) {
        return CouldNotRun("the last job was not accepted".into());
    }
    watch_waiting(&d, "j-000004")
}

/// The cloud takes a spot machine back. A job that ran there may use spot machines, and must run on one that has room,
/// as no other machine is to be had.
fn spot_lost(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(nan_quito(), &[("azuay", false, 1)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    // The ordinary machine is full of live services.
    attempt!(run_job(&d, 0, &chasqui_live("j-000001")));
    attempt!(run_job(&d, 0, &chasqui_live("j-000002")));
    p.set_room("azuay", true, 2);
    let long = |id: &str| quillca_batch(id, 200.0);
    attempt!(run_job(&d, 0, &long("j-000003")));
    attempt!(run_job(&d, 0, &long("j-000004")));
    attempt!(run_job(&d, 0, &long("j-000005")));
    let Some((machine, _)) = p.tasks_of("j-000003").first().cloned() else {
        return CouldNotRun("j-000003 is nowhere".into());
    };
    // The leader has to hear that it runs.
    pause(3.0);
    p.set_room("azuay", true, 0);
    if trouble {
        p.take_back(&machine);
    }
    let by_machine = p.machine_with_room("j-000003");
    rec!("machine with room for j-000003: {by_machine:?}");
    if !trouble {
        pause(15.0);
    }
    watch_waiting(&d, "j-000003")
}
