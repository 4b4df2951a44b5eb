//! Admission control: decides which job submissions are accepted.

use super::RETRY_AFTER_TRANSIENT_S;
use crate::clock::Clock;
use crate::config::{Platform, Settings};
use crate::http::HttpResponse;
use crate::scheduler::{JobSpec, MachineType, Shape, TeamQuota};
use crate::store::View;
use crate::units::{Micros, Resources};
use log::warn;
use std::cell::Cell;
use std::collections::BTreeMap;
use thiserror::Error;

/// `Retry-After` value, in seconds, when the number of active jobs has reached the admission cap.
const RETRY_AFTER_OVERLOAD_S: u64 = 15;
/// Minimum time between two log lines about submissions refused at the admission cap.
const LIMIT_LOG_INTERVAL: Micros = Micros::secs(10);

/// Reason why a new job is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Rejection {
    #[error("state service out of reach")]
    StateServiceUnreachable,
    #[error("machine types not known yet")]
    MachineTypesUnknown,
    #[error("too many jobs")]
    Overloaded,
    #[error("unknown team")]
    UnknownTeam,
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
}

impl Rejection {
    pub(super) fn into_response(self) -> HttpResponse {
        let reason = self.to_string();
        match self {
            Rejection::StateServiceUnreachable | Rejection::MachineTypesUnknown => {
                HttpResponse::retry_later(503, &reason, RETRY_AFTER_TRANSIENT_S)
            }
            Rejection::Overloaded => {
                HttpResponse::retry_later(429, &reason, RETRY_AFTER_OVERLOAD_S)
            }
            Rejection::UnknownTeam | Rejection::FitsNoMachineType | Rejection::ExceedsTeamLimit => {
                HttpResponse::error(422, &reason)
            }
        }
    }
}

/// Accepts the submissions that can run at all, as long as the number of active jobs is below a cap.
///
/// The cap is soft: each controller counts the jobs in its own view, which may lag behind the key-value store.
pub struct AdmissionControl {
    clock: Clock,
    teams: BTreeMap<String, TeamQuota>,
    /// Maximum number of jobs that are accepted and have not ended.
    cap: usize,
    limit_logged_at: Cell<Micros>,
}

impl AdmissionControl {
    /// Creates the admission control with the teams of `platform` and the cap that `settings` gives for it.
    pub fn new(platform: &Platform, settings: &Settings) -> AdmissionControl {
        AdmissionControl {
            clock: Clock,
            teams: platform.teams(),
            cap: settings.admission_cap(platform),
            limit_logged_at: Cell::new(Micros::ZERO),
        }
    }

    /// Checks whether a new job is accepted, judged by the view.
    ///
    /// # Errors
    ///
    /// Returns the reason for a rejection.
    pub(super) fn check(
        &self,
        spec: &JobSpec,
        view: &View,
        is_state_service_reachable: bool,
    ) -> Result<(), Rejection> {
        if !is_state_service_reachable {
            return Err(Rejection::StateServiceUnreachable);
        }
        let machine_types = view
            .machine_types
            .as_ref()
            .ok_or(Rejection::MachineTypesUnknown)?;
        check_feasible(spec, &machine_types.value, &self.teams)?;
        if view.jobs.len() >= self.cap && view.active_jobs() >= self.cap {
            self.log_limit_reached(view.active_jobs());
            return Err(Rejection::Overloaded);
        }
        Ok(())
    }

    /// Logs that submissions are refused at the admission cap, at most once per [`LIMIT_LOG_INTERVAL`].
    fn log_limit_reached(&self, active: usize) {
        let now = self.clock.now();
        if now.since(self.limit_logged_at.get()) >= LIMIT_LOG_INTERVAL {
            self.limit_logged_at.set(now);
            warn!(
                "event=admission_limit_reached active={active} cap={}",
                self.cap
            );
        }
    }
}

/// Checks that the team exists, that one task fits an allowed machine type, and that the tasks that have to run at the
/// same time fit the team's limit.
fn check_feasible(
    spec: &JobSpec,
    machine_types: &[MachineType],
    teams: &BTreeMap<String, TeamQuota>,
) -> Result<(), Rejection> {
    let team = teams.get(&spec.team).ok_or(Rejection::UnknownTeam)?;
    let need = spec.need();
    let is_allowed = |t: &MachineType| t.zones.iter().any(|z| spec.allows(&t.name, z, false));
    let fits = |t: &MachineType| t.resources().holds(&need) && is_allowed(t);
    if !machine_types.iter().any(fits) {
        return Err(Rejection::FitsNoMachineType);
    }
    let concurrent_tasks = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks as usize,
    };
    let concurrent_need: Resources = need.times(concurrent_tasks);
    if !team.allows(&concurrent_need) {
        return Err(Rejection::ExceedsTeamLimit);
    }
    Ok(())
}
