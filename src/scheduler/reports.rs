//! What a report tells of its machine: that it is there, that it hears us, and what became of its tasks.

use super::Scheduler;
use super::ids::MachineId;
use super::machine::Life;
use super::messages::{Report, ReportIndex};
use crate::units::Micros;

/// What a report brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportOutcome {
    /// Whether it is the newest of its machine; an older one changes nothing and gets no orders.
    pub fresh: bool,
    /// Whether something is to be written or offered on account of it.
    pub changed: bool,
}

impl Scheduler {
    /// Takes in a report that the controller `via` passed on, or that came to this one.
    pub fn on_report(&mut self, r: &Report, via: &str, now: Micros) -> ReportOutcome {
        self.latest = now;
        // Late reports of machines that are gone must not bring them back.
        if self.gone.contains(&r.machine) {
            return ReportOutcome::default();
        }
        if !self.machines.contains_key(&r.machine) {
            self.notes
                .push(format!("event=machine_unexpected machine={}", r.machine));
        }
        self.learn_machine(&r.machine, &r.machine_type, &r.zone, r.spot, now);
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return ReportOutcome::default();
        };
        let at = r.position();
        if m.newest.is_some_and(|newest| at <= newest) {
            return ReportOutcome::default();
        }
        let echoes = r.token == self.token;
        let index = ReportIndex::new(r);
        self.count_unheeded(r, &index, via, now);
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return ReportOutcome::default();
        };
        m.newest = Some(at);
        m.reported_at = now;
        m.in_touch = true;
        m.asked.clear();
        if m.via != via {
            m.via = via.to_owned();
        }
        // Guards against copies of old reports, and against reports of a machine that hears nobody: only what shows
        // that our answers arrive is a sign of life for long.
        if !m.is_deaf() {
            m.last_contact = now;
        }
        // Guards against a late copy bringing back a machine that an earlier leader returned: until a report shows
        // this leader's token, only a machine rented by this leader is taken to be there.
        let comes_up = m.life == Life::Booting && (echoes || m.rented_now);
        if comes_up {
            m.life = Life::Up;
            m.idle_since = Some(now);
            m.images
                .extend(self.known_images.remove(&r.machine).unwrap_or_default());
            m.written_images = m.image_names();
            let took = now.since(m.since);
            self.notes.push(format!(
                "event=machine_up machine={} machine_type={} zone={} spot={} after={took}",
                r.machine, r.machine_type, r.zone, r.spot
            ));
        }
        let noticed = r.notice_s.is_some() && m.notice.is_none();
        m.notice = r.notice_s.map(|s| now + Micros::from_secs_f64(s));
        if comes_up {
            self.note_boot(&r.machine, true, now);
        }
        let mut changed = self.reconcile_placements(r, &index, now);
        changed |= self.reconcile_unplaced(r, now);
        if noticed {
            self.notes
                .push(format!("event=machine_notice machine={}", r.machine));
            self.drain_for_notice(&r.machine);
        }
        if let Some(m) = self.machines.get_mut(&r.machine) {
            if !m.is_empty() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
        ReportOutcome {
            fresh: true,
            changed,
        }
    }

    /// Counts the reports in a row that show no sign of the answers before them: a token that stays behind, orders
    /// without any effect, a session that ended although we answered.
    ///
    /// Guards against a machine whose reports arrive while answers do not reach it: silence never shows, and in id
    /// order the same task would be sent there again and again.
    fn count_unheeded(&mut self, r: &Report, index: &ReportIndex<'_>, via: &str, now: Micros) {
        let lease = self.config.lease;
        let window = lease + self.config.report.scaled(2, 1);
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let Some(newest) = m.newest else {
            return;
        };
        let behind = r.token < self.token;
        let ended = r.session > newest.session && now.since(m.last_contact) < lease.scaled(1, 2);
        let heeds = m.heeds(index);
        // A worker that misses an answer turns to the next controller: one that stays was answered, if not by us.
        let stays = self.config.controllers > 1 && m.via == via;
        if behind || !stays && (ended || heeds == Some(false)) {
            m.unheeded += 1;
            m.unheeded_at = now;
            if m.is_deaf() {
                self.details.push(format!(
                    "event=unheeded machine={} count={}",
                    r.machine, m.unheeded
                ));
            }
        } else if stays || heeds == Some(true) || now.since(m.unheeded_at) > window {
            // Its lease would have run out by now if none of our answers had arrived.
            m.unheeded = 0;
        }
    }

    /// Another controller hears these machines though their reports can't get here: they are alive.
    pub fn on_contact(&mut self, node: &str, machines: &[MachineId], now: Micros) {
        self.liveness.told.insert(node.to_owned(), now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.last_contact = now;
            }
        }
    }
}
