//! Starts background tasks.

use async_executor::{LocalExecutor, Task};
use std::rc::{Rc, Weak};

/// Starts tasks on an executor that it does not keep alive.
///
/// Tasks hold what they use. If that kept the executor alive in turn, neither would ever be dropped, and the controllers'
/// processes would outlive the run.
#[derive(Clone)]
pub(super) struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    pub(super) fn new(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(executor))
    }

    /// Starts a task, which is cancelled when the returned value is dropped.
    pub(super) fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        let executor = self
            .0
            .upgrade()
            .expect("only its own tasks use the executor");
        executor.spawn(work)
    }
}
