//! Handling of heartbeats: contact with the machine, acknowledgement of earlier responses, and the states of its tasks.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::machine::MachineState;
use super::messages::{Heartbeat, TaskStatusIndex};
use crate::ids::MachineId;
use crate::units::Micros;

/// Result of handling a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeartbeatOutcome {
    /// Whether it is the newest heartbeat of its machine. An older one changes nothing and its response contains no
    /// commands.
    pub is_newest: bool,
    /// Whether the heartbeat led to something to be written or offered.
    pub changed: bool,
}

impl Scheduler {
    /// Handles a heartbeat that came through the controller `via`, which is this one or one that forwarded it.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: &str,
        now: Micros,
    ) -> HeartbeatOutcome {
        self.last_event_at = now;
        // Delayed heartbeats of terminated machines must not add them again.
        if self.terminated.contains(&heartbeat.machine) {
            return HeartbeatOutcome::default();
        }
        if !self.machines.contains_key(&heartbeat.machine) {
            self.events.push(SchedulerEvent::MachineUnexpected {
                machine: heartbeat.machine.clone(),
            });
        }
        self.observe_machine(
            &heartbeat.machine,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now,
        );
        let newest = self
            .machines
            .get(&heartbeat.machine)
            .and_then(|m| m.newest_heartbeat);
        if newest.is_some_and(|newest| heartbeat.position() <= newest) {
            return HeartbeatOutcome::default();
        }
        let index = TaskStatusIndex::new(heartbeat);
        self.count_unacknowledged(heartbeat, &index, via, now);
        self.record_contact(heartbeat, via, now);
        self.mark_ready(heartbeat, now);
        let is_first_notice = self.record_preemption_notice(heartbeat, now);
        let mut changed = self.reconcile_placements(heartbeat, &index, now);
        changed |= self.reconcile_unplaced(heartbeat, now);
        if is_first_notice {
            self.events.push(SchedulerEvent::PreemptionNotice {
                machine: heartbeat.machine.clone(),
            });
            self.drain_before_preemption(&heartbeat.machine);
        }
        self.update_idle(&heartbeat.machine, now);
        HeartbeatOutcome {
            is_newest: true,
            changed,
        }
    }

    /// Records when the newest heartbeat of a machine came, and through which controller.
    fn record_contact(&mut self, heartbeat: &Heartbeat, via: &str, now: Micros) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        m.newest_heartbeat = Some(heartbeat.position());
        m.last_heartbeat_at = now;
        m.is_reachable = true;
        m.expected_effects.clear();
        if m.via != via {
            m.via = via.to_owned();
        }
        // Delayed duplicates of heartbeats, and heartbeats of a machine that receives no responses, must not make the
        // machine count as alive. Once several heartbeats in a row show no effect of the responses, further ones do not
        // count as contact.
        if !m.is_inbound_unreachable() {
            m.last_contact = now;
        }
    }

    /// Marks a machine as ready once a heartbeat proves that it is up.
    fn mark_ready(&mut self, heartbeat: &Heartbeat, now: Micros) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        // Prevents a delayed duplicate from adding a machine that an earlier leader terminated: until a heartbeat shows
        // this leader's token, only a machine that this leader provisioned counts as existing.
        let is_proven = heartbeat.token == self.token || m.is_provisioned_by_this_term;
        if m.state != MachineState::Provisioning || !is_proven {
            return;
        }
        m.state = MachineState::Ready;
        m.idle_since = Some(now);
        let images = self.known_images.remove(&heartbeat.machine);
        m.images.extend(images.unwrap_or_default());
        m.written_images = m.image_names();
        self.provisioning_times
            .observe(m, &self.machine_types, true, now);
        self.events.push(SchedulerEvent::MachineReady {
            machine: heartbeat.machine.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            after: now.since(m.provisioned_at),
        });
    }

    /// Records a preemption notice. Returns whether it is the first one of its machine.
    fn record_preemption_notice(&mut self, heartbeat: &Heartbeat, now: Micros) -> bool {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return false;
        };
        let is_first = heartbeat.notice_s.is_some() && m.preemption_at.is_none();
        m.preemption_at = heartbeat.notice_s.map(|s| now + Micros::from_secs_f64(s));
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

    /// Counts consecutive heartbeats that show no effect of the responses to earlier ones: the token stays behind,
    /// commands have no effect, or the agent epoch ended although responses were sent.
    ///
    /// Without this count, a machine whose heartbeats arrive but which receives no responses would never time out, and
    /// stable id order would send the same task there again and again.
    fn count_unacknowledged(
        &mut self,
        heartbeat: &Heartbeat,
        index: &TaskStatusIndex<'_>,
        via: &str,
        now: Micros,
    ) {
        let lease = self.config.worker_lease;
        let window = lease + self.config.heartbeat_interval.scaled(2, 1);
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let Some(newest) = m.newest_heartbeat else {
            return;
        };
        let token_behind = heartbeat.token < self.token;
        let epoch_ended = heartbeat.agent_epoch > newest.agent_epoch
            && now.since(m.last_contact) < lease.scaled(1, 2);
        let acknowledged = m.acknowledges(index);
        // A worker that gets no response switches to the next controller. One that stays with a controller got a
        // response, though possibly not from this leader.
        let same_controller = self.config.controllers > 1 && m.via == via;
        if token_behind || !same_controller && (epoch_ended || acknowledged == Some(false)) {
            m.unacknowledged_heartbeats += 1;
            m.last_unacknowledged_at = now;
            if m.is_inbound_unreachable() {
                self.events.push(SchedulerEvent::HeartbeatUnacknowledged {
                    machine: heartbeat.machine.clone(),
                    count: m.unacknowledged_heartbeats,
                });
            }
        } else if same_controller
            || acknowledged == Some(true)
            || now.since(m.last_unacknowledged_at) > window
        {
            // If no response had arrived, the worker's lease would have expired by now.
            m.unacknowledged_heartbeats = 0;
        }
    }

    /// Records that the controller `node` is in contact with these machines although their heartbeats cannot reach this
    /// leader. The machines count as alive.
    pub fn on_contact(&mut self, node: &str, machines: &[MachineId], now: Micros) {
        self.failure_detector.observe_contacts(node, now);
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.last_contact = now;
            }
        }
    }
}
