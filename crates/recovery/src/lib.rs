//! Reconciliation of recorded and reported tasks, recovery of a new leader, and rebuilding after a loss of stored
//! state.
//!
//! Pure logic without I/O or a clock: it takes what the key-value store has recorded and what workers report, and
//! returns a verdict for each task. The leader's scheduler calls it for every heartbeat, so that the same
//! reconciliation runs in normal operation, after a change of leader and after a failure of all controllers.
//! `docs/recovery.md` explains the design.

#![warn(missing_docs)]

mod loss;
mod progress;
mod rebuild;
mod reconcile;

pub use loss::{Evidence, ExpectedRevision, Finding, KeyVersion, RevisionTracker, audit};
pub use progress::{Counts, Progress, Resolution, Summary};
pub use rebuild::{Candidate, Restore, VersionedValue, rank, records_to_restore, token_base};
pub use reconcile::{
    HeartbeatContext, HeartbeatPosition, JobState, Origin, RecordedTask, RecordedVerdict,
    ReportedState, UnrecordedTask, UnrecordedVerdict, reconcile_recorded, reconcile_unrecorded,
};
