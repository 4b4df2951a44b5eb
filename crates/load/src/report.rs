//! An HTML report with plots of the figures over the number of workers.

use crate::measure::Measurement;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// A figure to be plotted.
struct Figure {
    title: &'static str,
    value: fn(&Measurement) -> f64,
}

const FIGURES: [Figure; 5] = [
    Figure {
        title: "Processor, share of one core",
        value: |m| m.processor,
    },
    Figure {
        title: "Answer to a report, median in ms",
        value: |m| m.answer_ms[0].1,
    },
    Figure {
        title: "Answer to a report, 99th percentile in ms",
        value: |m| m.answer_ms[2].1,
    },
    Figure {
        title: "Memory in MB",
        value: |m| m.memory_mb,
    },
    Figure {
        title: "Requests to the state service a second",
        value: |m| m.state_requests_per_s,
    },
];

/// Versions in the order in which they are drawn, with their colours.
const VERSIONS: [(&str, RGBColor); 2] = [("before", RED), ("now", BLUE)];

/// Writes the report.
pub fn write(path: &Path, all: &[Measurement]) -> io::Result<()> {
    let mut html = String::from(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>ravenhead under load</title></head><body>\n\
         <h1>ravenhead under load</h1>\n<p>One controller on loopback against our own stand-ins on one machine; \
         red: before, blue: now.</p>\n",
    );
    for figure in &FIGURES {
        html.push_str(&plot(figure, all).map_err(io::Error::other)?);
    }
    html.push_str("<pre>\n");
    for measurement in all {
        let _ = writeln!(html, "{measurement}");
    }
    html.push_str("</pre></body></html>\n");
    std::fs::write(path, html)
}

/// One plot as SVG.
fn plot(figure: &Figure, all: &[Measurement]) -> Result<String, String> {
    let mut svg = String::new();
    let most_workers = all.iter().map(|m| m.workers).max().unwrap_or(1);
    let highest = all.iter().map(figure.value).fold(0.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut svg, (520, 320)).into_drawing_area();
        let fail = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
        area.fill(&WHITE).map_err(fail)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(figure.title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0..most_workers, 0.0..highest * 1.1)
            .map_err(fail)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("workers").draw().map_err(fail)?;
        for (version, colour) in VERSIONS {
            let points = all.iter().filter(|m| m.version == version);
            let points = points.map(|m| (m.workers, (figure.value)(m)));
            let line = LineSeries::new(points, colour.stroke_width(2));
            chart.draw_series(line).map_err(fail)?;
        }
        area.present().map_err(fail)?;
    }
    Ok(svg)
}
