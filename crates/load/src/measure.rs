//! What a run measured, and how two versions compare.

use crate::controller::Usage;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// What the stand-ins record.
pub struct Recorder {
    /// Microseconds from a heartbeat to its answer.
    answers: Histogram<u64>,
    /// Requests to the state service.
    pub state_requests: u64,
    /// Puts and deletes.
    pub state_changes: u64,
}

impl Recorder {
    /// An empty one, for answers of up to a minute at three digits.
    pub fn new() -> Recorder {
        let answers = Histogram::new_with_bounds(1, 60_000_000, 3);
        Recorder {
            answers: answers.expect("bounds that a histogram can have"),
            state_requests: 0,
            state_changes: 0,
        }
    }

    /// A heartbeat was answered after this time.
    pub fn report(&mut self, took: Duration) {
        self.answers.saturating_record(took.as_micros() as u64);
    }
}

/// The figures of one run.
pub struct Measurement {
    /// Which version.
    pub version: String,
    /// Number of workers.
    pub workers: usize,
    /// Reports answered a second.
    pub reports_per_s: f64,
    /// Milliseconds to an answer, at these percentiles.
    pub answer_ms: [(f64, f64); 4],
    /// Share of one processor core.
    pub processor: f64,
    /// Largest memory in MB.
    pub memory_mb: f64,
    /// Requests to the state service a second.
    pub state_requests_per_s: f64,
    /// Puts and deletes a second.
    pub state_changes_per_s: f64,
}

const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 100.0];

impl Measurement {
    /// The figures of what was recorded within so many seconds.
    pub fn new(
        version: &str,
        workers: usize,
        seconds: u64,
        recorder: &Recorder,
        began: &Usage,
        ended: &Usage,
    ) -> Measurement {
        let seconds = seconds as f64;
        let at = |p: f64| (p, recorder.answers.value_at_percentile(p) as f64 / 1e3);
        Measurement {
            version: version.to_owned(),
            workers,
            reports_per_s: recorder.answers.len() as f64 / seconds,
            answer_ms: PERCENTILES.map(at),
            processor: (ended.processor_s - began.processor_s) / seconds,
            memory_mb: ended.memory_mb,
            state_requests_per_s: recorder.state_requests as f64 / seconds,
            state_changes_per_s: recorder.state_changes as f64 / seconds,
        }
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version={} workers={} reports_per_s={:.0}",
            self.version, self.workers, self.reports_per_s
        )?;
        for (percentile, ms) in self.answer_ms {
            write!(f, " p{percentile:.0}_ms={ms:.1}")?;
        }
        write!(
            f,
            " processor={:.3} memory_mb={:.1} state_requests_per_s={:.1} state_changes_per_s={:.1}",
            self.processor, self.memory_mb, self.state_requests_per_s, self.state_changes_per_s
        )
    }
}

/// Prints how the later version compares with the earlier one, where both were measured.
pub fn print_ratios(all: &[Measurement]) {
    for now in all.iter().filter(|m| m.version == "now") {
        let same = |m: &&Measurement| m.version == "before" && m.workers == now.workers;
        let Some(before) = all.iter().find(same) else {
            continue;
        };
        println!(
            "now/before workers={} processor={:.2} p50={:.2} p99={:.2} memory={:.2} state_requests={:.2}",
            now.workers,
            now.processor / before.processor,
            now.answer_ms[0].1 / before.answer_ms[0].1,
            now.answer_ms[2].1 / before.answer_ms[2].1,
            now.memory_mb / before.memory_mb,
            now.state_requests_per_s / before.state_requests_per_s,
        );
    }
}
