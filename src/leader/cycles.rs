//! The scheduling loop: a cycle of offers whenever there is something new, and the commit of what it decided.

use super::commit::BatchWriter;
use crate::clock::{Clock, sleep};
use crate::kv::{KvClient, MAX_BATCH_BYTES};
use crate::scheduler::EventLevel;
use crate::store::StateCache;
use crate::term::{LeaderTerm, TermEnd};
use crate::units::Micros;
use futures_lite::FutureExt;
use log::{debug, info};

/// Most time between two scheduling cycles.
const MAX_CYCLE_INTERVAL: Micros = Micros::millis(200);
/// How long a scheduling cycle waits for more heartbeats to come in.
const COALESCE_WINDOW: Micros = Micros::millis(15);
/// Batches written in one scheduling cycle.
const MAX_BATCHES_PER_CYCLE: usize = 4;

/// Runs the scheduling cycles of a term.
pub(super) struct SchedulingLoop<'a> {
    pub(super) clock: Clock,
    /// Puts and deletes in one transaction.
    pub(super) max_batch_ops: usize,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) term: &'a LeaderTerm,
    pub(super) writer: BatchWriter<'a>,
}

impl SchedulingLoop<'_> {
    /// Asks for a cycle as soon as the view changes.
    pub(super) async fn request_on_view_changes(&self) -> TermEnd {
        loop {
            self.store.change_notifications.listen().await;
            self.term.request_cycle();
        }
    }

    /// Runs cycles until a commit ends the term; returns why.
    pub(super) async fn run(&self) -> TermEnd {
        loop {
            let interval = async {
                sleep(MAX_CYCLE_INTERVAL).await;
            };
            self.term.cycle_requested().or(interval).await;
            sleep(COALESCE_WINDOW).await;
            self.term.start_cycle();
            self.decide();
            if let Err(end) = self.commit().await {
                return end;
            }
            self.log_events();
            self.term.complete_cycle();
        }
    }

    /// Offers what is due, with all that the view shows by now.
    fn decide(&self) {
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

    /// Writes what is to be written, as far as one cycle may.
    async fn commit(&self) -> Result<(), TermEnd> {
        for _ in 0..MAX_BATCHES_PER_CYCLE {
            let writes_are_short = self.kv.is_write_budget_below_half();
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
