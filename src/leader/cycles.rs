//! The scheduling loop: runs a scheduling cycle whenever there is new input, and commits its decisions.

use super::commit::BatchWriter;
use crate::clock::{Clock, sleep};
use crate::kv::{KvClient, MAX_BATCH_BYTES};
use crate::scheduler::EventLevel;
use crate::store::StateCache;
use crate::term::{LeaderTerm, TermEnd};
use crate::units::Micros;
use futures_lite::FutureExt;
use log::{debug, info};

/// Time after the end of a scheduling cycle at which the next one begins even if none is requested.
const MAX_CYCLE_INTERVAL: Micros = Micros::millis(200);
/// How long a requested scheduling cycle is delayed, so that it includes heartbeats that arrive together.
const COALESCE_WINDOW: Micros = Micros::millis(15);
/// Maximum number of batches written in one scheduling cycle.
const MAX_BATCHES_PER_CYCLE: usize = 4;

/// Runs the scheduling cycles of a leader term.
pub(super) struct SchedulingLoop<'a> {
    pub(super) clock: Clock,
    /// Maximum number of puts and deletes in one transaction.
    pub(super) max_batch_ops: usize,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) term: &'a LeaderTerm,
    pub(super) writer: BatchWriter<'a>,
}

impl SchedulingLoop<'_> {
    /// Requests a scheduling cycle whenever the view changes; never returns.
    pub(super) async fn request_on_view_changes(&self) -> TermEnd {
        loop {
            self.store.change_notifications.listen().await;
            self.term.request_cycle();
        }
    }

    /// Runs scheduling cycles until a commit ends the term; returns the reason.
    pub(super) async fn run(&self) -> TermEnd {
        loop {
            let interval = async {
                sleep(MAX_CYCLE_INTERVAL).await;
            };
            self.term.cycle_requested().or(interval).await;
            sleep(COALESCE_WINDOW).await;
            self.term.start_cycle();
            self.schedule();
            if let Err(end) = self.commit().await {
                return end;
            }
            self.log_events();
            self.term.complete_cycle();
        }
    }

    /// Applies new changes of the view to the scheduler, and runs its cycle if the lease is valid.
    fn schedule(&self) {
        let now = self.clock.now();
        for change in self.store.take_changes() {
            let view = self.store.view.borrow();
            self.term.apply_view_change(&view, change, now);
        }
        let now = self.clock.now();
        if self.term.may_send_commands(now) {
            self.term.scheduler.borrow_mut().run_cycle(now);
        }
    }

    /// Writes the scheduler's pending batches, up to the limit of one cycle.
    async fn commit(&self) -> Result<(), TermEnd> {
        for _ in 0..MAX_BATCHES_PER_CYCLE {
            let writes_are_short = self.kv.writes_are_short();
            let batch = self.term.scheduler.borrow_mut().next_batch(
                self.max_batch_ops,
                MAX_BATCH_BYTES,
                writes_are_short,
            );
            if batch.is_empty() {
                break;
            }
            self.writer.write(&batch).await?;
        }
        Ok(())
    }

    fn log_events(&self) {
        let events = self.term.scheduler.borrow_mut().take_events();
        for event in events {
            match event.level() {
                EventLevel::Info => info!("{event}"),
                EventLevel::Debug => debug!("{event}"),
            }
        }
    }
}
