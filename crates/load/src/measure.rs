//! Results of a run, and the comparison of two versions.

use crate::controller::Usage;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// Records response times and requests during a measurement.
pub struct Recorder {
    /// Microseconds from sending a heartbeat to receiving its response.
    response_times: Histogram<u64>,
    /// Number of requests to the key-value store.
    pub state_requests: u64,
    /// Number of puts and deletes in transactions sent to the key-value store.
    pub state_changes: u64,
}

impl Recorder {
    /// Creates an empty recorder for response times of up to one minute, with a precision of three significant digits.
    pub fn new() -> Recorder {
        let response_times = Histogram::new_with_bounds(1, 60_000_000, 3);
        Recorder {
            response_times: response_times.expect("histogram bounds are valid"),
            state_requests: 0,
            state_changes: 0,
        }
    }

    /// Records the time that the response to a heartbeat took.
    pub fn record_response(&mut self, elapsed: Duration) {
        self.response_times
            .saturating_record(elapsed.as_micros() as u64);
    }
}

/// The results of one run.
pub struct Measurement {
    /// Measured version: `now` or, with `--before`, `before`.
    pub version: String,
    /// Number of workers.
    pub workers: usize,
    /// Heartbeats answered per second.
    pub reports_per_s: f64,
    /// Percentiles of the heartbeat response time, as pairs of percentile and milliseconds.
    pub response_ms: [(f64, f64); 4],
    /// Processor time per second of measurement; 1.0 is one fully used core.
    pub processor: f64,
    /// Peak resident memory in MiB since the start of the process.
    pub memory_mb: f64,
    /// Requests to the key-value store per second.
    pub state_requests_per_s: f64,
    /// Puts and deletes per second.
    pub state_changes_per_s: f64,
}

const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 100.0];

impl Measurement {
    /// Computes the results of a measurement of `seconds` from its records and the resource usage before and after it.
    pub fn new(
        version: &str,
        workers: usize,
        seconds: u64,
        recorder: &Recorder,
        usage_before: &Usage,
        usage_after: &Usage,
    ) -> Measurement {
        let seconds = seconds as f64;
        let percentile_ms = |p: f64| {
            (
                p,
                recorder.response_times.value_at_percentile(p) as f64 / 1e3,
            )
        };
        Measurement {
            version: version.to_owned(),
            workers,
            reports_per_s: recorder.response_times.len() as f64 / seconds,
            response_ms: PERCENTILES.map(percentile_ms),
            processor: (usage_after.processor_s - usage_before.processor_s) / seconds,
            memory_mb: usage_after.memory_mb,
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
        for (percentile, ms) in self.response_ms {
            write!(f, " p{percentile:.0}_ms={ms:.1}")?;
        }
        write!(
            f,
            " processor={:.3} memory_mb={:.1} state_requests_per_s={:.1} state_changes_per_s={:.1}",
            self.processor, self.memory_mb, self.state_requests_per_s, self.state_changes_per_s
        )
    }
}

/// Prints the ratios of version `now` to version `before` for each number of workers at which both were measured.
pub fn print_ratios(measurements: &[Measurement]) {
    for now in measurements.iter().filter(|m| m.version == "now") {
        let is_counterpart = |m: &&Measurement| m.version == "before" && m.workers == now.workers;
        let Some(before) = measurements.iter().find(is_counterpart) else {
            continue;
        };
        println!(
            "now/before workers={} processor={:.2} p50={:.2} p99={:.2} memory={:.2} state_requests={:.2}",
            now.workers,
            now.processor / before.processor,
            now.response_ms[0].1 / before.response_ms[0].1,
            now.response_ms[2].1 / before.response_ms[2].1,
            now.memory_mb / before.memory_mb,
            now.state_requests_per_s / before.state_requests_per_s,
        );
    }
}
