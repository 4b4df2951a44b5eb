//! Who is out of touch, and since when: which silent machines are dead, and which are only out of reach.

use super::ids::{MachineId, TaskId};
use super::machine::{Machine, MachineState};
use super::{ControllerStatus, Scheduler};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Fewer machines than this may all have died by themselves.
const DARK_FROM: usize = 8;
/// A zone that is dark is taken to be so for this, though nothing is left there that could be heard.
const DARK_FOR: Micros = Micros::secs(30);
/// Machines lost together that are named in one line of the log.
const MACHINES_A_LINE: usize = 25;
/// How long the doubt that a silent controller, or a stopped way, casts outlasts its silence.
const CUT_LINGERS: Micros = Micros::secs(10);
/// A way on which no heartbeat came for this, and for so many of its usual gaps, is stopped.
const STOPPED_AFTER: Micros = Micros::secs(1);
const STOPPED_GAPS: u64 = 8;
/// How long a worker waits for an answer, and then before it tries the next controller.
const WORKER_MOVES_ON: Micros = Micros::secs(5);
/// Until it is seen that a controller does not answer; sooner a silent machine can't be told from a broken way.
const NOTICED_WITHIN: Micros = Micros::secs(2);
/// How long another controller may need to tell that it hears a machine.
const TOLD_WITHIN: Micros = Micros::secs(2);
/// How long a machine given up for its silence counts as silent, so that a cut is not eaten up bit by bit.
const GIVEN_UP_COUNTS: Micros = Micros::secs(30);
/// How long a machine behind a cut is waited for; the machine list tells sooner if it died.
const CUT_LASTS: Micros = Micros::secs(180);
/// A machine whose heartbeat is late by this is out of touch.
const OUT_OF_TOUCH: Micros = Micros::secs(1);
/// All must have been well for so long before workers are sent to other controllers.
const SHED_AFTER: Micros = Micros::secs(20);
/// Of so many workers too many, one is sent away in one plan.
const SHED_OF: usize = 10;

/// How many machines are silent, those given up lately included; ordinary and spot ones.
#[derive(Debug, Default)]
struct Silence {
    all: usize,
    quiet: [usize; 2],
}

impl Silence {
    fn add(&mut self, spot: bool, quiet: bool) {
        self.all += 1;
        self.quiet[usize::from(spot)] += usize::from(quiet);
    }

    /// Whether so few of the kind are silent that each may have died by itself.
    fn is_few(&self, spot: bool) -> bool {
        self.quiet[usize::from(spot)] <= (self.all / 4).max(2)
    }
}

/// What the scheduler knows of the ways on which reports come.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    /// Since when all controllers have been well.
    pub(super) steady_since: Option<Micros>,
    doubtful_zones: BTreeMap<String, Micros>,
    two_silent_at: Option<Micros>,
    /// Controllers that do not answer now or did not lately, and when that was last so.
    silent_nodes: BTreeMap<String, Micros>,
    /// Zones of which no controller answers now.
    closed_zones: BTreeSet<String>,
    /// When each controller last told by the state service which machines it hears.
    pub(super) told: BTreeMap<String, Micros>,
    /// Ways that are stopped or were lately, by the controller and then the zone of the machines, and when that was last
    /// so.
    stopped: BTreeMap<String, BTreeMap<String, Micros>>,
    /// Zones of which nothing is heard, or was not lately, and when that was last so.
    dark: BTreeMap<String, Micros>,
    /// Machines given up for their silence lately: when, zone and whether spot.
    given_up: VecDeque<(Micros, String, bool)>,
    /// How many workers this controller may still send to another until the next plan of the fleet.
    pub(super) shed: usize,
}

impl Scheduler {
    /// Tells which of the other controllers answer this one now. While all answer, workers have no reason to look for
    /// another.
    pub fn set_controllers(&mut self, controllers: &[ControllerStatus], now: Micros) {
        let silent: Vec<&ControllerStatus> =
            controllers.iter().filter(|c| !c.is_reachable).collect();
        let steady = silent.is_empty();
        self.failure_detector.steady_since =
            steady.then(|| self.failure_detector.steady_since.unwrap_or(now));
        self.failure_detector.closed_zones = silent.iter().map(|c| c.zone.clone()).collect();
        for other in controllers.iter().filter(|c| c.is_reachable) {
            self.failure_detector.closed_zones.remove(&other.zone);
        }
        for c in &silent {
            self.failure_detector
                .doubtful_zones
                .insert(c.zone.clone(), now);
            self.failure_detector
                .silent_nodes
                .insert(c.node.clone(), now);
        }
        if silent.len() >= 2 {
            self.failure_detector.two_silent_at = Some(now);
        }
        // After a cut workers still need a while to come back.
        self.failure_detector
            .doubtful_zones
            .retain(|_, at| now.since(*at) < CUT_LINGERS);
        self.failure_detector
            .silent_nodes
            .retain(|_, at| now.since(*at) < CUT_LINGERS);
        self.failure_detector.two_silent_at = self
            .failure_detector
            .two_silent_at
            .filter(|at| now.since(*at) < CUT_LINGERS);
    }

    /// Another controller misses one that answers here: workers beyond that cut look for another as well.
    pub fn end_calm(&mut self) {
        self.failure_detector.steady_since = None;
    }

    /// How many of the workers that heartbeat to this controller itself should go to another, once all is well again.
    ///
    /// Guards against a leader that keeps every worker of a large fleet after a filter between controllers: it would
    /// carry all the work, and all would have to find another controller at once when it fails.
    pub(super) fn redirects_wanted(&self, now: Micros) -> usize {
        let calm = self
            .failure_detector
            .steady_since
            .is_some_and(|t| now.since(t) > SHED_AFTER);
        if !calm || self.config.controllers < 2 {
            return 0;
        }
        let own = self
            .machines
            .values()
            .filter(|m| m.is_reachable && m.via.is_empty());
        let fair = self.machines.len() * 2 / self.config.controllers;
        own.count().saturating_sub(fair).div_ceil(SHED_OF)
    }

    /// Whether a worker that just reported here should report elsewhere.
    pub fn takes_redirect(&mut self) -> bool {
        let sheds = self.failure_detector.shed > 0;
        self.failure_detector.shed -= usize::from(sheds);
        sheds
    }

    /// Machines whose reports do not get here take no offers, and what was not sent to them yet goes elsewhere.
    ///
    /// Guards against tasks that wait behind a cut, on machines that only another controller hears, while others have
    /// room.
    pub(super) fn mark_unreachable(&mut self, now: Micros) {
        let limit = self.config.report.scaled(5, 4) + OUT_OF_TOUCH;
        let mut waiting = Vec::new();
        for m in self.machines.values_mut() {
            if m.is_reachable && now.since(m.reported_at) > limit {
                m.is_reachable = false;
                waiting.extend(m.held.keys().cloned());
            }
        }
        for task in waiting {
            let job = self.jobs.get(&task.job);
            let p = job.and_then(|j| j.placement(task.index));
            if p.is_some_and(|p| !p.inherited && p.sent.is_none()) {
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
        }
    }

    /// Machines that are lost, silent or stuck are terminated, as only then their tasks may run elsewhere.
    pub(super) fn terminate_lost(&mut self, now: Micros) {
        self.count_steps(self.machines.len());
        self.update_provisioning_times(now);
        let mut give_up: Vec<(MachineId, &str)> = Vec::new();
        for (id, m) in &self.machines {
            if m.state == MachineState::Terminating {
                continue;
            }
            if m.lost {
                give_up.push((id.clone(), "lost"));
            } else if self.is_provisioning_timed_out(m, now) {
                give_up.push((id.clone(), "stuck"));
            }
        }
        self.failure_detector
            .given_up
            .retain(|(at, _, _)| now.since(*at) < GIVEN_UP_COUNTS);
        self.suppress_suspicion_of_partitioned(now);
        self.note_stopped_ways(now);
        self.note_dark_zones(now);
        give_up.extend(self.silent(now).into_iter().map(|id| (id, "silent")));
        let mut lost: BTreeMap<(&str, String, bool), Vec<MachineId>> = BTreeMap::new();
        for (id, mut why) in give_up {
            if why == "stuck" {
                self.observe_provisioning(&id, false, now);
            }
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            m.state = MachineState::Terminating;
            if why == "silent" {
                if m.is_inbound_unreachable() {
                    why = "deaf";
                }
                let given_up = (now, m.zone.clone(), m.spot);
                self.failure_detector.given_up.push_back(given_up);
            }
            let kind = (why, m.zone.clone(), m.spot);
            lost.entry(kind).or_default().push(id);
        }
        for ((why, zone, spot), machines) in lost {
            for some in machines.chunks(MACHINES_A_LINE) {
                self.tell_vanished(why, &zone, spot, some, now);
            }
        }
    }

    /// Says in plain word what was lost: a few machines in a line each, many together in lines that still name all.
    fn tell_vanished(
        &mut self,
        why: &str,
        zone: &str,
        spot: bool,
        machines: &[MachineId],
        now: Micros,
    ) {
        let known = || machines.iter().filter_map(|id| self.machines.get(id));
        let names: Vec<&str> = machines.iter().map(|id| id.0.as_str()).collect();
        let tasks: Vec<String> = known()
            .flat_map(|m| m.held.keys().map(TaskId::to_string))
            .collect();
        let quiet = known().map(|m| now.since(m.last_contact)).max();
        self.notes.push(format!(
            "event=machine_lost machine={} count={} why={why} zone={zone} spot={spot} quiet={} tasks=[{}]",
            names.join(","),
            names.len(),
            quiet.unwrap_or_default(),
            tasks.join(",")
        ));
    }

    /// Notes the ways on which no heartbeat comes any more, though many used to.
    ///
    /// Guards against what gave up 235 live machines within two seconds: a leader that held most of a large fleet's
    /// workers lost them all at once, and a quarter of them was past its time before the quarter stood out.
    pub(super) fn note_stopped_ways(&mut self, now: Micros) {
        let mut ways: BTreeMap<(&str, &str), (u64, Micros)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_counted()) {
            let (workers, last) = ways.entry((&m.via, &m.zone)).or_default();
            *workers += 1;
            *last = m.reported_at.max(*last);
        }
        let stopped = ways.into_iter().filter(|(_, (workers, last))| {
            let gaps = self.config.report.scaled(STOPPED_GAPS, *workers);
            now.since(*last) > STOPPED_AFTER + gaps
        });
        for ((via, zone), _) in stopped {
            let zones = self
                .failure_detector
                .stopped
                .entry(via.to_owned())
                .or_default();
            zones.insert(zone.to_owned(), now);
        }
        self.failure_detector.stopped.retain(|_, zones| {
            zones.retain(|_, at| now.since(*at) < CUT_LINGERS);
            !zones.is_empty()
        });
    }

    /// Notes the zones of which no machine is heard any more.
    ///
    /// Guards against machines provisioned behind a cut, of all zones, as those there were given up and it has the fewest now.
    pub(super) fn note_dark_zones(&mut self, now: Micros) {
        let mut heard: BTreeMap<&str, Micros> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_counted()) {
            let last = heard.entry(&m.zone).or_default();
            *last = m.reported_at.max(*last);
        }
        let limit = self.config.report.scaled(5, 4) + OUT_OF_TOUCH;
        for (zone, last) in heard {
            if now.since(last) > limit {
                self.failure_detector.dark.insert(zone.to_owned(), now);
            } else {
                self.failure_detector.dark.remove(zone);
            }
        }
        self.failure_detector
            .dark
            .retain(|_, at| now.since(*at) < DARK_FOR);
    }

    /// Whether nothing is heard of a zone, so that a machine provisioned there could not be told anything either.
    pub(super) fn is_dark(&self, zone: &str) -> bool {
        self.failure_detector.dark.contains_key(zone)
            || self.failure_detector.closed_zones.contains(zone)
    }

    /// The leader itself was paused: silence from before that is its own.
    ///
    /// Guards against a leader that slept through much of its workers' leases and still leads, as it may after an outage
    /// of the state service: it would give up the whole fleet for a silence in which it heard nothing.
    ///
    /// A short pause only moves what was heard along, so that a leader that is slow all the time still finds the dead.
    pub fn on_process_pause(&mut self, gap: Micros, now: Micros) {
        let long = gap >= self.config.report;
        for m in self.machines.values_mut() {
            if long {
                m.suspicion_suppressed_at = now;
                m.reported_at = now;
            } else {
                m.last_contact = now.min(m.last_contact + gap);
                m.reported_at = now.min(m.reported_at + gap);
            }
        }
    }

    /// Machines silent for so long that they count as dead.
    ///
    /// Guards against taking a cut, or a controller's own trouble, for deaths: when much of a zone, or of all, falls
    /// silent together, it is given up only once the workers' leases have ended; a wave of taken spot machines excepted.
    fn silent(&self, now: Micros) -> Vec<MachineId> {
        let step = self.config.report.scaled(5, 4) + Micros::secs(1);
        let two_moves = step + WORKER_MOVES_ON.scaled(2, 1);
        let steady = self
            .failure_detector
            .steady_since
            .is_some_and(|t| now.since(t) > two_moves);
        let lease = self.config.lease + step;
        // Guards against what gave up 157 live machines: a new leader does not know through whom it would hear those that
        // it never heard, and a controller that lost all but its workers needs most of their lease to hand them on.
        let way_unknown =
            |m: &Machine| m.newest.is_none() && !self.failure_detector.silent_nodes.is_empty();
        // A worker whose controller is out of reach needs a while to find another one; where the way to
        // its zone, or to two controllers, is broken it may have to try two in vain.
        let patience = |m: &Machine| {
            let far = self.failure_detector.two_silent_at.is_some()
                || self.failure_detector.doubtful_zones.contains_key(&m.zone)
                || self.failure_detector.silent_nodes.contains_key(&m.via);
            if way_unknown(m) {
                lease.max(two_moves)
            } else if self.is_way_stopped(m) || (far && !steady) {
                two_moves + TOLD_WITHIN
            } else if steady {
                step + NOTICED_WITHIN
            } else {
                step + WORKER_MOVES_ON + TOLD_WITHIN
            }
        };
        // Once a cut has ended, workers need as long as ever to be heard.
        let quiet = |m: &Machine| now.since(m.last_contact.max(m.suspicion_suppressed_at));
        let is_late = |m: &Machine| quiet(m) > patience(m);
        // Many of one controller's workers late together: the way through it is troubled, though it answers pings.
        let mut ways: BTreeMap<&str, Silence> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_counted()) {
            ways.entry(&m.via).or_default().add(false, is_late(m));
        }
        let is_quiet = |m: &Machine| {
            let troubled = ways.get(m.via.as_str()).is_some_and(|w| !w.is_few(false));
            is_late(m) && (!troubled || quiet(m) > two_moves + TOLD_WITHIN)
        };
        let mut zones: BTreeMap<&str, Silence> = BTreeMap::new();
        let mut all = Silence::default();
        for m in self.machines.values().filter(|m| m.is_counted()) {
            zones.entry(&m.zone).or_default().add(m.spot, is_quiet(m));
            all.add(m.spot, is_quiet(m));
        }
        for (_, zone, spot) in &self.failure_detector.given_up {
            zones.entry(zone).or_default().add(*spot, true);
            all.add(*spot, true);
        }
        let mut silent = Vec::new();
        for (id, m) in &self.machines {
            if m.state == MachineState::Terminating || !m.is_counted() || !is_quiet(m) {
                continue;
            }
            let zone = &zones[m.zone.as_str()];
            // Of a zone from which nothing comes the first quarter to be late is no handful of deaths.
            let dark =
                zone.all >= DARK_FROM && self.failure_detector.dark.get(&m.zone) == Some(&now);
            let few = zone.is_few(m.spot) && all.is_few(m.spot) && !dark;
            let wave = m.spot && zone.quiet[0] == 0 && all.is_few(false);
            let noticed = m.notice.is_some_and(|t| t < now);
            if few || wave || noticed || quiet(m) > lease.max(two_moves) {
                silent.push(id.clone());
            }
        }
        silent
    }

    fn is_way_stopped(&self, m: &Machine) -> bool {
        let zones = self.failure_detector.stopped.get(&m.via);
        zones.is_some_and(|zones| zones.contains_key(&m.zone))
    }

    /// Notes which machines need not be heard now.
    fn suppress_suspicion_of_partitioned(&mut self, now: Micros) {
        let cut_off =
            |m: &Machine| self.is_cut_off(m, now) && now.since(m.last_contact) < CUT_LASTS;
        let excused: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| cut_off(m))
            .map(|(id, _)| id.clone())
            .collect();
        for id in excused {
            if let Some(m) = self.machines.get_mut(&id) {
                m.suspicion_suppressed_at = now;
            }
        }
    }

    /// Whether a machine is silent because the controller that it reports to is: that one keeps its lease alive, and
    /// the machine list tells if it dies all the same.
    ///
    /// Guards against giving up what runs well behind a cut, or with a controller that lost everything but its workers.
    fn is_cut_off(&self, m: &Machine, now: Micros) -> bool {
        let tells = |node: &str| {
            let told = self.failure_detector.told.get(node);
            told.is_some_and(|at| now.since(*at) < self.config.report.scaled(2, 1) + TOLD_WITHIN)
        };
        let silent_now = |node: &str| {
            let silent = self.failure_detector.silent_nodes.get(node);
            silent.is_some_and(|at| now.since(*at) < TOLD_WITHIN)
        };
        (silent_now(&m.via) && !tells(&m.via))
            || self.failure_detector.closed_zones.contains(&m.zone)
    }
}
