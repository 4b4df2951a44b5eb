//! An HTML report that plots the results over the number of workers.

use crate::measure::Measurement;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// A metric that is plotted.
struct Metric {
    title: &'static str,
    value: fn(&Measurement) -> f64,
}

const METRICS: [Metric; 5] = [
    Metric {
        title: "Processor, share of one core",
        value: |m| m.processor,
    },
    Metric {
        title: "Heartbeat response time, median in ms",
        value: |m| m.response_ms[0].1,
    },
    Metric {
        title: "Heartbeat response time, 99th percentile in ms",
        value: |m| m.response_ms[2].1,
    },
    Metric {
        title: "Peak memory in MB",
        value: |m| m.memory_mb,
    },
    Metric {
        title: "Requests to the key-value store per second",
        value: |m| m.state_requests_per_s,
    },
];

/// Versions in drawing order, with the color of their lines.
const VERSIONS: [(&str, RGBColor); 2] = [("before", RED), ("now", BLUE)];

/// Writes the report with one plot for each metric, followed by the results as text.
pub fn write(path: &Path, measurements: &[Measurement]) -> io::Result<()> {
    let mut html = String::from(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>ravenhead under load</title></head><body>\n\
         <h1>ravenhead under load</h1>\n<p>One controller on loopback with a simulated key-value store, cloud and \
         workers on the same machine; red: before, blue: now.</p>\n",
    );
    for metric in &METRICS {
        html.push_str(&plot(metric, measurements).map_err(io::Error::other)?);
    }
    html.push_str("<pre>\n");
    for measurement in measurements {
        let _ = writeln!(html, "{measurement}");
    }
    html.push_str("</pre></body></html>\n");
    std::fs::write(path, html)
}

/// Renders the plot of a metric as SVG.
fn plot(metric: &Metric, measurements: &[Measurement]) -> Result<String, String> {
    let mut svg = String::new();
    let max_workers = measurements.iter().map(|m| m.workers).max().unwrap_or(1);
    let max_value = measurements.iter().map(metric.value).fold(0.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut svg, (520, 320)).into_drawing_area();
        let to_message = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
        area.fill(&WHITE).map_err(to_message)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(metric.title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0..max_workers, 0.0..max_value * 1.1)
            .map_err(to_message)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("workers").draw().map_err(to_message)?;
        for (version, color) in VERSIONS {
            let points = measurements.iter().filter(|m| m.version == version);
            let points = points.map(|m| (m.workers, (metric.value)(m)));
            let line = LineSeries::new(points, color.stroke_width(2));
            chart.draw_series(line).map_err(to_message)?;
        }
        area.present().map_err(to_message)?;
    }
    Ok(svg)
}
