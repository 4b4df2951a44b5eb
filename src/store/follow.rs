//! Fills the view with a listing and updates it with watches.
//!
//! The first watch starts at the revision of the listing's first page. Later pages may contain newer writes. The watch
//! reports these again in order of revision, so that the view ends with the newest value of each key.

use super::StateCache;
use super::keys::PREFIX;
use super::view::{View, ViewChange};
use crate::clock::sleep;
use crate::futures::timeout;
use crate::kv::{Event as KeyEvent, Item, KvError};
use crate::revision::Revision;
use crate::units::Micros;
use futures_lite::FutureExt;
use log::{debug, info, warn};

/// How long a watch waits for changes; short, so that a watch whose packets are delayed in the network is soon
/// replaced.
const WATCH_TIMEOUT: Micros = Micros::secs(3);
/// Pause before a failed listing is retried.
const LIST_RETRY_PAUSE: Micros = Micros::millis(300);
/// Pause before a failed watch is retried.
const WATCH_RETRY_PAUSE: Micros = Micros::millis(250);

impl StateCache {
    /// Fills the view and applies every change to it. After a loss of stored state, keeps the view as a snapshot and
    /// starts again with an empty one. Runs forever.
    pub async fn follow(&self) {
        loop {
            if let Err(e) = self.load().await {
                self.stats.failed_listings.increment();
                debug!("event=view_load_failed error={e:?}");
                sleep(LIST_RETRY_PAUSE).await;
                continue;
            }
            let evidence_of_loss = self.kv.wait_for_evidence();
            self.follow_changes().or(evidence_of_loss).await;
            if let Some(evidence) = self.kv.take_evidence() {
                self.begin_rebuild(&evidence);
            }
        }
    }

    /// Lists all keys into a new view, which then replaces the old one.
    async fn load(&self) -> Result<(), KvError> {
        let mut view = View::default();
        let mut changes = Vec::new();
        let mut from = String::new();
        loop {
            let page = self.kv.list(PREFIX, &from).await?;
            if view.revision == Revision::NONE {
                view.revision = page.revision;
            }
            for item in page.items {
                from.clone_from(&item.key);
                changes.extend(put(&mut view, item));
            }
            if !page.has_more {
                break;
            }
        }
        view.loaded = true;
        info!(
            "event=view_loaded revision={} jobs={} ended={}",
            view.revision,
            view.jobs.len(),
            view.ends.len()
        );
        self.mark_reachable();
        self.stats.listings.increment();
        self.stats.last_update_at.set(self.clock.now());
        self.view.replace(view);
        self.publish(changes);
        Ok(())
    }

    /// Applies the changes that watches report. Returns when the keys must be listed again, because the store no longer
    /// keeps the changes after the view's revision.
    async fn follow_changes(&self) {
        loop {
            let from = self.view.borrow().revision;
            match self.kv.watch(PREFIX, from, WATCH_TIMEOUT).await {
                Ok(response) => {
                    self.mark_reachable();
                    self.stats.watches.increment();
                    self.stats.last_update_at.set(self.clock.now());
                    let has_changes = !response.events.is_empty();
                    self.apply(response.revision, response.events);
                    if has_changes {
                        self.pause_watch().await;
                    }
                }
                Err(KvError::Compacted) => {
                    self.stats.compacted_watches.increment();
                    return;
                }
                Err(e) => {
                    self.stats.failed_watches.increment();
                    debug!("event=watch_failed error={e:?}");
                    sleep(WATCH_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Pauses before the next watch so that it returns a batch of changes; a task that waits for a revision ends the
    /// pause.
    async fn pause_watch(&self) {
        let requested = self.watch_requested.listen();
        let pause = async {
            sleep(self.coalesce_window).await;
        };
        pause.or(requested).await;
    }

    fn apply(&self, revision: Revision, events: Vec<KeyEvent>) {
        let mut changes = Vec::new();
        let mut view = self.view.borrow_mut();
        for event in events {
            match event {
                KeyEvent::Put {
                    key,
                    value,
                    version,
                } => {
                    let item = Item {
                        key,
                        value,
                        version,
                    };
                    changes.extend(put(&mut view, item));
                }
                KeyEvent::Delete { key, version } => view.delete(&key, version),
            }
        }
        view.revision = view.revision.max(revision);
        drop(view);
        self.publish(changes);
    }

    /// Records changes for the leader, and wakes all tasks that wait for an update of the view.
    fn publish(&self, changes: Vec<ViewChange>) {
        if self.change_log.extend(changes) {
            self.change_notifications.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits until the view contains every change up to a revision, and returns whether it does within `max_wait`.
    ///
    /// Ends the pause before the next watch, so that the wait takes no longer than the watch's response.
    pub async fn wait_for_revision(&self, revision: Revision, max_wait: Micros) -> bool {
        let wait = async {
            loop {
                let changed = self.changed.listen();
                {
                    let view = self.view.borrow();
                    if view.loaded && view.revision >= revision {
                        return;
                    }
                }
                self.watch_requested.notify(usize::MAX);
                changed.await;
            }
        };
        timeout(max_wait, wait).await.is_some()
    }
}

/// Applies the write of a key to the view; a key or value that can't be parsed is logged and ignored.
fn put(view: &mut View, item: Item) -> Option<ViewChange> {
    match view.put(&item.key, item.value, item.version) {
        Ok(change) => change,
        Err(e) => {
            warn!(
                "event=invalid_record key={} error={:?}",
                item.key,
                e.to_string()
            );
            None
        }
    }
}
