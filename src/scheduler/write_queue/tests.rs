use super::{QueuedChunk, WriteQueue};
use crate::ids::JobId;
use crate::scheduler::Priority;

fn chunk(priority: Priority, job: &str) -> QueuedChunk {
    QueuedChunk::new(priority, &JobId(job.into()), 0)
}

fn drain(queue: &mut WriteQueue) -> Vec<String> {
    let popped = std::iter::from_fn(|| queue.pop_first());
    popped.map(|queued| queued.job.to_string()).collect()
}

#[test]
fn chunks_of_ended_jobs_come_before_those_of_a_higher_priority() {
    let mut queue = WriteQueue::default();
    queue.insert(chunk(Priority::Critical, "j-a"), false);
    queue.insert(chunk(Priority::Low, "j-z"), true);
    queue.insert(chunk(Priority::Normal, "j-b"), false);
    assert_eq!(drain(&mut queue), ["j-z", "j-a", "j-b"]);
}

#[test]
fn chunk_queued_before_its_job_ended_is_moved_and_stays_ahead() {
    let mut queue = WriteQueue::default();
    let queued = chunk(Priority::Low, "j-z");
    queue.insert(queued.clone(), false);
    queue.insert(chunk(Priority::Critical, "j-a"), false);
    queue.insert(queued.clone(), true);
    queue.insert(queued, false);
    assert_eq!(drain(&mut queue), ["j-z", "j-a"]);
}

#[test]
fn removed_job_has_no_chunks_left() {
    let mut queue = WriteQueue::default();
    for has_ended in [false, true] {
        queue.insert(chunk(Priority::Low, "j-z"), has_ended);
        queue.insert(chunk(Priority::Low, "j-y"), has_ended);
        queue.remove_job(&JobId("j-z".into()), Priority::Low);
        assert_eq!(drain(&mut queue), ["j-y"]);
    }
}
