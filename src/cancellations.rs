//! Cancellations that users are told of: which controllers know of them, and where their tasks may be left.
//!
//! A user may hear "aborted" from any controller, and a worker may report to any controller, also to one that the state
//! service refuses. So whoever says it tells all the others first; and what none of them can tell a worker is ended by
//! returning its machine.

use crate::clock::sleep;
use crate::cloud::MAX_RETURN;
use crate::controller::Node;
use crate::http::{side_by_side, within};
use crate::peer::Request;
use crate::scheduler::{Final, JobId, MachineId, Report, TaskId, TaskState};
use crate::units::Micros;
use bitcode::{Decode, Encode};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A start that was sent just before a cancellation can still arrive for so long: a worker waits four seconds for it.
const STARTS_ARRIVE_FOR: Micros = Micros::secs(5);
/// Most names of machines told in one message.
const MOST_NAMES: usize = 4_000;
/// How long a user waits for the other controllers to be told.
const TELL_WITHIN: Micros = Micros::millis(500);
/// How long the cloud may take to show that it answers.
const CLOUD_WITHIN: Micros = Micros::millis(900);
/// An answer of the cloud counts for so long.
const CLOUD_ANSWERED_FOR: Micros = Micros::secs(3);
/// How often it is looked whether machines with cancelled tasks are left to return.
const LOOK_EVERY: Micros = Micros::secs(1);

/// A cancelled job, as controllers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancellation {
    /// The job.
    pub job: JobId,
    /// When it was committed, by the time of day in microseconds.
    pub at: u64,
    /// The machines on which its tasks were placed by then.
    pub machines: Vec<MachineId>,
}

/// What is known of a machine on which cancelled tasks may be left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Left {
    /// Nothing that shows them gone.
    Maybe,
    /// One report without them, of this session and number.
    Doubtful((u64, u64)),
    /// They are gone.
    Gone,
}

#[derive(Debug)]
struct Known {
    at: u64,
    machines: BTreeMap<MachineId, Left>,
    /// Whether users may be told: all controllers know, or what they can't stop will be returned.
    confirmed: bool,
}

/// What another controller was told.
#[derive(Debug, Default)]
struct Told {
    incarnation: u64,
    jobs: BTreeSet<JobId>,
}

/// The cancellations that one controller knows of besides what its view shows.
#[derive(Debug, Default)]
pub struct Cancellations {
    known: BTreeMap<JobId, Known>,
    told: BTreeMap<String, Told>,
    /// Machines that were found without cancelled tasks, and when.
    gone: VecDeque<(u64, JobId, MachineId)>,
}

impl Cancellations {
    /// Takes in a cancellation.
    pub fn note(&mut self, c: &Cancellation) {
        let known = self.known.entry(c.job.clone()).or_insert_with(|| Known {
            at: c.at,
            machines: BTreeMap::new(),
            confirmed: false,
        });
        for machine in &c.machines {
            known.machines.entry(machine.clone()).or_insert(Left::Maybe);
        }
    }

    /// Whether the job is known to be cancelled.
    pub fn knows(&self, job: &JobId) -> bool {
        self.known.contains_key(job)
    }

    /// Whether users may be told.
    pub fn is_confirmed(&self, job: &JobId) -> bool {
        self.known.get(job).is_some_and(|k| k.confirmed)
    }

    /// Whether nothing of a cancelled job is left anywhere.
    fn is_over(&self, job: &JobId) -> bool {
        let known = self.known.get(job);
        known.is_some_and(|k| k.machines.values().all(|left| *left == Left::Gone))
    }

    fn confirm(&mut self, job: &JobId) {
        if let Some(known) = self.known.get_mut(job) {
            known.confirmed = true;
        }
    }

    /// What another controller was not told yet, as many as one message holds.
    pub fn untold(&self, peer: &str) -> Vec<Cancellation> {
        let told = self.told.get(peer);
        let mut names = 0;
        let untold = self
            .known
            .iter()
            .filter(|(job, _)| told.is_none_or(|t| !t.jobs.contains(*job)));
        untold
            .map(|(job, k)| Cancellation {
                job: job.clone(),
                at: k.at,
                machines: k.machines.keys().cloned().collect(),
            })
            .take_while(|c| {
                names += 1 + c.machines.len();
                names <= MOST_NAMES || names == 1 + c.machines.len()
            })
            .collect()
    }

    /// A life of another controller was told of these.
    ///
    /// Guards against a controller that was told, ended, and is back without a memory of it: what its former self was
    /// told it is told again.
    pub fn was_told(&mut self, peer: &str, incarnation: u64, jobs: &[Cancellation]) {
        let told = self.told.entry(peer.to_owned()).or_default();
        if told.incarnation != incarnation {
            *told = Told {
                incarnation,
                jobs: BTreeSet::new(),
            };
        }
        told.jobs.extend(jobs.iter().map(|c| c.job.clone()));
    }

    /// A report shows whether cancelled tasks are left on its machine: they are gone once two reports in a row, from after
    /// the time in which a start could still arrive, show none.
    pub fn on_report(&mut self, r: &Report, unix_time: u64) {
        let at = (r.session, r.seq);
        let mut gone = Vec::new();
        for (job, known) in &mut self.known {
            if unix_time < known.at.saturating_add(STARTS_ARRIVE_FOR.0) {
                continue;
            }
            let Some(left) = known.machines.get_mut(&r.machine) else {
                continue;
            };
            let holds = r.tasks.iter().any(|t| {
                t.state != TaskState::Exited
                    && TaskId::parse(&t.task).is_some_and(|task| task.job == *job)
            });
            *left = match *left {
                Left::Gone => Left::Gone,
                _ if holds => Left::Maybe,
                Left::Maybe => Left::Doubtful(at),
                Left::Doubtful(before) if at > before => {
                    gone.push((unix_time, job.clone(), r.machine.clone()));
                    Left::Gone
                }
                Left::Doubtful(before) => Left::Doubtful(before),
            };
        }
        self.gone.extend(gone);
    }

    /// Tasks of these jobs are gone from these machines.
    pub fn note_gone(&mut self, gone: &[(JobId, MachineId)], unix_time: u64) {
        for (job, machine) in gone {
            let left = self
                .known
                .get_mut(job)
                .and_then(|k| k.machines.get_mut(machine));
            if let Some(left) = left.filter(|l| **l != Left::Gone) {
                *left = Left::Gone;
                self.gone
                    .push_back((unix_time, job.clone(), machine.clone()));
            }
        }
    }

    /// What was found gone since then.
    pub fn gone_since(&self, from: u64) -> Vec<(JobId, MachineId)> {
        let since = self.gone.iter().filter(|(at, _, _)| *at >= from);
        let named = since.map(|(_, job, machine)| (job.clone(), machine.clone()));
        named.take(MOST_NAMES).collect()
    }

    /// Machines on which tasks of jobs that were cancelled longer ago than this may be left.
    pub fn overdue(&self, unix_time: u64, patience: Micros) -> Vec<(JobId, MachineId)> {
        let old = self
            .known
            .iter()
            .filter(|(_, k)| unix_time > k.at.saturating_add(patience.0));
        let left = old.flat_map(|(job, k)| {
            let left = k.machines.iter().filter(|(_, l)| **l != Left::Gone);
            left.map(|(machine, _)| (job.clone(), machine.clone()))
        });
        left.collect()
    }

    /// Forgets what is older than this.
    pub fn forget(&mut self, unix_time: u64, kept: Micros) {
        let old = |at: u64| unix_time > at.saturating_add(kept.0);
        self.known.retain(|_, k| !old(k.at));
        for told in self.told.values_mut() {
            told.jobs.retain(|job| self.known.contains_key(job));
        }
        self.gone.retain(|(at, _, _)| !old(*at));
    }
}

/// Whether a user may be told that a job, which the view shows as cancelled, is; false where that can't be kept.
///
/// Guards against a cancelled task that outlives its time: a worker may report to any controller, and one that the state
/// service refuses learns of the cancellation from us alone. All of them are told before the user is. For one that does
/// not answer, which may be down or cut off with its workers, the machines are returned in time by whoever leads, or by
/// any controller that knows; so then the cloud must answer, and another controller must know, as this one may end and the
/// state service not tell it again. Nothing of this is needed where no task was placed, as none can be any more.
pub async fn confirm(node: &Node, job: &JobId) -> bool {
    let cancellation = {
        let view = node.store.view.borrow();
        match view.ends.get(job) {
            Some(end) if end.how == Final::Aborted => Cancellation {
                job: job.clone(),
                at: end.at,
                machines: view.machines_of(job),
            },
            _ => return false,
        }
    };
    if cancellation.machines.is_empty() || node.cancellations.borrow().is_confirmed(job) {
        return true;
    }
    let told = [cancellation];
    node.note_cancelled(&told);
    let mut acknowledged = 0;
    let tell = node.peers.iter().map(|peer| {
        let ping = Request::Ping {
            cancelled: told.to_vec(),
            gone: Vec::new(),
        };
        async move { peer.call(node.known(), ping, TELL_WITHIN).await }
    });
    for (peer, answer) in node.peers.iter().zip(side_by_side(tell.collect()).await) {
        match answer {
            Ok(frame) => {
                acknowledged += 1;
                node.learn(&frame.known);
                let mut cancellations = node.cancellations.borrow_mut();
                cancellations.was_told(&peer.node, frame.known.incarnation, &told);
            }
            Err(e) => debug!(
                "event=cancellation_not_told peer={} error={:?}",
                peer.node,
                e.to_string()
            ),
        }
    }
    // What this process alone knows would be lost with it.
    let good = acknowledged == node.peers.len()
        || node.cancellations.borrow().is_over(job)
        || acknowledged > 0 && cloud_answers(node).await;
    if good {
        node.cancellations.borrow_mut().confirm(job);
    } else {
        info!("event=cancellation_not_confirmed job={job}");
    }
    good
}

/// Whether machines can be returned: the cloud answers, or did just now.
async fn cloud_answers(node: &Node) -> bool {
    let now = node.clock.now();
    if now.since(node.cloud_answered.get()) < CLOUD_ANSWERED_FOR {
        return true;
    }
    let answered = matches!(
        within(CLOUD_WITHIN, node.cloud.machine_types()).await,
        Some(Ok(_))
    );
    if answered {
        node.cloud_answered.set(node.clock.now());
    }
    answered
}

/// The duty that returns machines on which cancelled tasks may be left, where nobody who leads can be asked to.
///
/// Guards against cancellations whose leader ended, or is cut off from all others, while the state service lets nobody
/// follow it.
pub async fn clear_up(node: &Node) {
    let cancel = Micros::from_secs_f64(node.platform.facts.workers.cancel_s);
    loop {
        sleep(LOOK_EVERY).await;
        let unix_time = node.clock.unix_time();
        node.cancellations
            .borrow_mut()
            .forget(unix_time, cancel.scaled(2, 1));
        // A leader without a lease that reaches nobody does not act as one: another may lead by now.
        if node.leader_answers() && !node.is_alone() {
            continue;
        }
        let overdue = node
            .cancellations
            .borrow()
            .overdue(unix_time, cancel.scaled(7, 10));
        let left: Vec<(JobId, MachineId)> = {
            let view = node.store.view.borrow();
            let shown = |(job, machine): &(JobId, MachineId)| {
                !view.loaded || view.machines_of(job).contains(machine)
            };
            overdue.into_iter().filter(shown).collect()
        };
        let machines: BTreeSet<MachineId> = left.iter().map(|(_, m)| m.clone()).collect();
        let machines: Vec<MachineId> = machines.into_iter().collect();
        for part in machines.chunks(MAX_RETURN) {
            match node.cloud.give_back(part).await {
                Ok(()) => {
                    info!(
                        "event=machines_returned count={} why=cancelled_tasks_left_without_leader",
                        part.len()
                    );
                    let gone: Vec<(JobId, MachineId)> = left
                        .iter()
                        .filter(|(_, m)| part.contains(m))
                        .cloned()
                        .collect();
                    node.cancellations.borrow_mut().note_gone(&gone, unix_time);
                }
                Err(e) => debug!("event=return_failed error={:?}", e.to_string()),
            }
        }
    }
}
