//! Writes a self-contained HTML report of runs, without references to other files.

use crate::record::{Record, Run};
use plotters::prelude::*;
use std::fmt::Write;

const SIZE: (u32, u32) = (960, 260);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Lines = Vec<(String, Vec<(f64, f64)>)>;

/// Plots lines over time, with a vertical mark for each event.
fn plot(lines: &Lines, marks: &[(u64, String)], max: f64, unit: &str) -> Result<String, String> {
    let mut svg = String::new();
    let plot_error = |e: &dyn std::fmt::Display| format!("cannot plot: {e}");
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let end = lines.iter().filter_map(|(_, points)| points.last()).map(|(x, _)| *x).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..max.max(1e-9))
            .map_err(|e| plot_error(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds")
            .y_desc(unit)
            .draw()
            .map_err(|e| plot_error(&e))?;
        for (time, label) in marks {
            let x = *time as f64 / 1000.0;
            let line = [(x, 0.0), (x, max)];
            chart
                .draw_series(LineSeries::new(line, RED.mix(if label.contains("drain") { 0.25 } else { 0.5 })))
                .map_err(|e| plot_error(&e))?;
        }
        let has_labels = lines.len() <= 8;
        for (n, (name, points)) in lines.iter().enumerate() {
            let colour = if has_labels { Palette99::pick(n).to_rgba() } else { Palette99::pick(n).mix(0.4) };
            let series = chart
                .draw_series(LineSeries::new(points.iter().copied(), &colour))
                .map_err(|e| plot_error(&e))?;
            if has_labels {
                series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
            }
        }
        if has_labels {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .draw()
                .map_err(|e| plot_error(&e))?;
        }
        area.present().map_err(|e| plot_error(&e))?;
    }
    Ok(svg)
}

fn lines_by_class(run: &Run, metric: impl Fn(&crate::record::ClassSecond) -> f64) -> Lines {
    let line = |(class, times): (usize, &crate::record::ClassTimes)| {
        let of_class = run.class_seconds.iter().filter(|second| second.class == class);
        (times.name.clone(), of_class.map(|second| (second.second as f64, metric(second))).collect())
    };
    run.classes.iter().enumerate().map(line).collect()
}

fn max_value(lines: &Lines) -> f64 {
    lines.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(0.0, f64::max) * 1.05
}

fn section(run: &Run) -> Result<String, String> {
    let mut html = String::new();
    let service = &run.result.service;
    let _ = write!(
        html,
        "<h2>{}, {} by {}, seed {}</h2><p class=\"{}\">{}{}</p>",
        escape(&run.scenario),
        format!("{:?}", run.mode).to_lowercase(),
        run.policy.name(),
        run.seed,
        if run.result.held() { "held" } else { "broken" },
        escape(&run.result.summary()),
        if run.complete { "" } else { " (interrupted: incomplete)" }
    );
    let rows = [
        ("agents, servers", format!("{}, {}", run.agents, run.servers)),
        (
            "service: whole, worst 10 s, worst class, worst tenant",
            format!(
                "{:.3}, {:.3}, {:.3}, {:.3}",
                service.overall, service.worst_window, service.worst_class, service.worst_tenant
            ),
        ),
        (
            "calls, client attempts, sends to servers",
            format!("{}, {}, {}", run.calls, run.client_attempts, run.sends),
        ),
        (
            "connections opened, maximum open at one server, health probes",
            format!("{}, {}, {}", run.connections_opened, run.max_open_connections, run.probes),
        ),
        ("endpoint list entries written by the registry", run.list_entries.to_string()),
        (
            "largest load on a cold server as a multiple of its capacity (it crashes at 3)",
            format!("{:.2}", run.worst_cold_load),
        ),
        (
            "Retry-After waits that were kept",
            run.result.waits_kept.map_or("none tested".into(), |kept| format!("{kept:.3}")),
        ),
        ("peak memory of any agent", run.memory_mb.map_or("not measured".into(), |mb| format!("{mb:.1} MB"))),
    ];
    html += "<table>";
    for (name, value) in rows {
        let _ = write!(html, "<tr><th>{name}</th><td>{}</td></tr>", escape(&value));
    }
    html += "</table><table><tr><th>class</th><th>calls</th><th>served</th><th>p50 ms</th><th>p90</th><th>p99</th><th>p99.9</th></tr>";
    for class in &run.classes {
        let _ = write!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td></tr>",
            escape(&class.name),
            class.calls,
            class.served,
            class.p50,
            class.p90,
            class.p99,
            class.p999
        );
    }
    html += "</table>";
    let goodput = lines_by_class(run, |second| second.service_weight);
    let p50 = lines_by_class(run, |second| second.p50);
    let p99 = lines_by_class(run, |second| second.p99);
    let servers = run.load.first().map_or(0, |(_, load)| load.len());
    let load: Lines = (0..servers)
        .map(|server| {
            let points = run.load.iter().map(|(time, load)| (*time as f64 / 1000.0, f64::from(load[server])));
            (format!("server {server}"), points.collect())
        })
        .collect();
    for (title, lines, unit) in [
        ("Goodput by class: sum of the service weights of the calls due in each second", goodput, "a second"),
        ("Latency by class, p50, by the second in which a call was due", p50, "ms"),
        ("Latency by class, p99", p99, "ms"),
        ("Requests in flight at each server", load, "requests"),
    ] {
        let _ = write!(html, "<h3>{title}</h3>{}", plot(&lines, &run.marks, max_value(&lines), unit)?);
    }
    html += "<h3>Events</h3><ol>";
    for (time, label) in &run.marks {
        let _ = write!(html, "<li>{:.1} s: {}</li>", *time as f64 / 1000.0, escape(label));
    }
    html += "</ol>";
    Ok(html)
}

/// The maximum number of runs with a section of their own.
const MAX_SECTIONS: usize = 12;

/// Returns the complete HTML page.
pub fn html(record: &Record) -> Result<String, String> {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>heronhoist-lab</title><style>\
         body{font:14px sans-serif;max-width:1000px;margin:2em auto}table{border-collapse:collapse;margin:1em 0}\
         td,th{border:1px solid #ccc;padding:3px 8px;text-align:left}.held{color:#060}.broken{color:#b00;font-weight:bold}\
         </style><h1>heronhoist-lab</h1>",
    );
    if !record.complete {
        html += "<p class=\"broken\">Not all requested runs are complete.</p>";
    }
    html += "<table><tr><th>scenario</th><th>mode</th><th>policy</th><th>seed</th><th>whole</th><th>worst 10 s</th><th>worst class</th><th>verdict</th></tr>";
    for run in &record.runs {
        let service = &run.result.service;
        let _ = write!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{}</td></tr>",
            escape(&run.scenario),
            format!("{:?}", run.mode).to_lowercase(),
            run.policy.name(),
            run.seed,
            service.overall,
            service.worst_window,
            service.worst_class,
            escape(&run.result.summary())
        );
    }
    html += "</table><p>Red lines are events of servers, agents and the registry; faint ones are drains.</p>";
    for run in record.runs.iter().take(MAX_SECTIONS) {
        html += &section(run)?;
    }
    if record.runs.len() > MAX_SECTIONS {
        let _ = write!(html, "<p>{} more runs are in the table only.</p>", record.runs.len() - MAX_SECTIONS);
    }
    html += "</html>\n";
    Ok(html)
}
