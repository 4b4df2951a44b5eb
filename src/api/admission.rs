//! Admission control: which submissions are taken.

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

/// When to come back to a service that has as many jobs as it takes, in seconds.
const RETRY_AFTER_OVERLOAD_S: u64 = 15;
/// The least time between two log lines that say that submissions are refused.
const LIMIT_LOG_INTERVAL: Micros = Micros::secs(10);

/// Why a new job is not taken.
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

/// Decides which submissions are taken: those that can run at all, while there are not too many jobs.
///
/// The cap is soft: controllers count by their own views.
pub struct AdmissionControl {
    clock: Clock,
    teams: BTreeMap<String, TeamQuota>,
    /// Most jobs that are accepted and not ended.
    cap: usize,
    limit_logged_at: Cell<Micros>,
}

impl AdmissionControl {
    /// Admission by these settings.
    pub fn new(platform: &Platform, settings: &Settings) -> AdmissionControl {
        AdmissionControl {
            clock: Clock,
            teams: platform.teams(),
            cap: settings.admission_cap(platform),
            limit_logged_at: Cell::new(Micros::ZERO),
        }
    }

    /// Decides whether a new job is taken, as of the view.
    ///
    /// # Errors
    ///
    /// Returns why it is not taken.
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
            self.log_limit(view.active_jobs());
            return Err(Rejection::Overloaded);
        }
        Ok(())
    }

    /// Logs that submissions are refused, as there are as many jobs as this controller takes; not for each of them.
    fn log_limit(&self, active: usize) {
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

/// Checks that the job can run at all.
fn check_feasible(
    spec: &JobSpec,
    machine_types: &[MachineType],
    teams: &BTreeMap<String, TeamQuota>,
) -> Result<(), Rejection> {
    let team = teams.get(&spec.team).ok_or(Rejection::UnknownTeam)?;
    let need = spec.need();
    let is_allowed = |t: &MachineType| t.zones.iter().any(|z| spec.allows(&t.name, z, false));
    let fits = |t: &MachineType| t.resources().can_fit(&need) && is_allowed(t);
    if !machine_types.iter().any(fits) {
        return Err(Rejection::FitsNoMachineType);
    }
    let at_once = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks as usize,
    };
    let total: Resources = need.times(at_once);
    if !team.allows(&total) {
        return Err(Rejection::ExceedsTeamLimit);
    }
    Ok(())
}
