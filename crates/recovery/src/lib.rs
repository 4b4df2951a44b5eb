//! Reconciliation after a change of leader, or after every controller failed, and rebuilding after a loss of stored state.
//!
//! Pure logic: what the state service holds and what workers report go in, a verdict for each task comes out. It has no
//! I/O and no clock. The leader's scheduler calls it for every heartbeat, so that there is one reconciliation, in recovery and
//! in ordinary service alike. `docs/recovery.md` has the choices behind it.

#![warn(missing_docs)]

mod loss;
mod progress;
mod rebuild;
mod reconcile;

pub use loss::{Evidence, Expected, Finding, KeyVersion, RevisionWatch, audit};
pub use progress::{Counts, Progress, Resolution, Summary};
pub use rebuild::{Candidate, Restore, Stored, missing, rank, token_base};
pub use reconcile::{
    HeartbeatContext, HeartbeatPosition, JobState, Origin, RecordedTask, RecordedVerdict,
    ReportedState, UnrecordedTask, UnrecordedVerdict, reconcile_recorded, reconcile_unrecorded,
};
