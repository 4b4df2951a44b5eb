//! Handling of heartbeats: the machine is there, it acknowledges our answers, and its tasks are in these states.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::machine::MachineState;
use super::messages::{Heartbeat, TaskStatusIndex};
use crate::ids::MachineId;
use crate::units::Micros;

/// What a heartbeat brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeartbeatOutcome {
    /// Whether it is the newest of its machine; an older one changes nothing and gets no commands.
    pub fresh: bool,
    /// Whether something is to be written or offered on account of it.
    pub changed: bool,
}

impl Scheduler {
    /// Takes in a heartbeat that the controller `via` passed on, or that came to this one.
    pub fn on_heartbeat(&mut self, r: &Heartbeat, via: &str, now: Micros) -> HeartbeatOutcome {
        self.last_event_at = now;
        // Late heartbeats of terminated machines must not bring them back.
        if self.terminated.contains(&r.machine) {
            return HeartbeatOutcome::default();
        }
        if !self.machines.contains_key(&r.machine) {
            self.events.push(SchedulerEvent::MachineUnexpected {
                machine: r.machine.clone(),
            });
        }
        self.observe_machine(&r.machine, &r.machine_type, &r.zone, r.spot, now);
        let newest = self.machines.get(&r.machine).and_then(|m| m.newest);
        if newest.is_some_and(|newest| r.position() <= newest) {
            return HeartbeatOutcome::default();
        }
        let index = TaskStatusIndex::new(r);
        self.count_unacknowledged(r, &index, via, now);
        self.record_contact(r, via, now);
        self.mark_ready(r, now);
        let is_noticed = self.record_notice(r, now);
        let mut changed = self.reconcile_placements(r, &index, now);
        changed |= self.reconcile_unplaced(r, now);
        if is_noticed {
            self.events.push(SchedulerEvent::PreemptionNotice {
                machine: r.machine.clone(),
            });
            self.drain_for_notice(&r.machine);
        }
        self.update_idle(&r.machine, now);
        HeartbeatOutcome {
            fresh: true,
            changed,
        }
    }

    /// Records when and how a machine's newest heartbeat came.
    fn record_contact(&mut self, r: &Heartbeat, via: &str, now: Micros) {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        m.newest = Some(r.position());
        m.reported_at = now;
        m.is_reachable = true;
        m.expected_effects.clear();
        if m.via != via {
            m.via = via.to_owned();
        }
        // Guards against copies of old heartbeats, and against those of a machine that hears nobody: only what shows
        // that our answers arrive is a sign of life for long.
        if !m.is_inbound_unreachable() {
            m.last_contact = now;
        }
    }

    /// Makes a machine ready whose heartbeat proves that it came up.
    fn mark_ready(&mut self, r: &Heartbeat, now: Micros) {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        // Guards against a late copy bringing back a machine that an earlier leader terminated: until a heartbeat shows
        // this leader's token, only a machine provisioned by this leader is taken to be there.
        let is_proven = r.token == self.token || m.is_provisioned_by_this_term;
        if m.state != MachineState::Provisioning || !is_proven {
            return;
        }
        m.state = MachineState::Ready;
        m.idle_since = Some(now);
        let images = self.known_images.remove(&r.machine);
        m.images.extend(images.unwrap_or_default());
        m.written_images = m.image_names();
        self.provisioning_times
            .observe(m, &self.machine_types, true, now);
        self.events.push(SchedulerEvent::MachineReady {
            machine: r.machine.clone(),
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            after: now.since(m.since),
        });
    }

    /// Records a preemption notice. Returns whether it is the first of its machine.
    fn record_notice(&mut self, r: &Heartbeat, now: Micros) -> bool {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return false;
        };
        let is_first = r.notice_s.is_some() && m.notice.is_none();
        m.notice = r.notice_s.map(|s| now + Micros::from_secs_f64(s));
        is_first
    }

    fn update_idle(&mut self, machine: &MachineId, now: Micros) {
        if let Some(m) = self.machines.get_mut(machine) {
            if !m.is_empty() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Counts the heartbeats in a row that show no sign of the answers before them: a token that stays behind, commands
    /// without any effect, an agent epoch that ended although we answered.
    ///
    /// Guards against a machine whose heartbeats arrive while answers do not reach it: it never times out, and in id
    /// order the same task would be sent there again and again.
    fn count_unacknowledged(
        &mut self,
        r: &Heartbeat,
        index: &TaskStatusIndex<'_>,
        via: &str,
        now: Micros,
    ) {
        let lease = self.config.agent_lease;
        let window = lease + self.config.heartbeat_interval.scaled(2, 1);
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let Some(newest) = m.newest else {
            return;
        };
        let behind = r.token < self.token;
        let ended =
            r.agent_epoch > newest.agent_epoch && now.since(m.last_contact) < lease.scaled(1, 2);
        let acknowledged = m.acknowledges(index);
        // A worker that misses an answer turns to the next controller: one that stays was answered, if not by us.
        let stays = self.config.controllers > 1 && m.via == via;
        if behind || !stays && (ended || acknowledged == Some(false)) {
            m.unacknowledged_heartbeats += 1;
            m.unacknowledged_at = now;
            if m.is_inbound_unreachable() {
                self.events.push(SchedulerEvent::HeartbeatUnacknowledged {
                    machine: r.machine.clone(),
                    count: m.unacknowledged_heartbeats,
                });
            }
        } else if stays || acknowledged == Some(true) || now.since(m.unacknowledged_at) > window {
            // Its lease would have run out by now if none of our answers had arrived.
            m.unacknowledged_heartbeats = 0;
        }
    }

    /// Another controller is in contact with these machines, though their heartbeats can't get here: they are alive.
    pub fn on_contact(&mut self, node: &str, machines: &[MachineId], now: Micros) {
        self.failure_detector.observe_contacts(node, now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.last_contact = now;
            }
        }
    }
}
