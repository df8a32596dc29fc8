//! Compares the entries' estimates of times with what became of them, by their logs.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
};

use serde::Deserialize;
use strum::{Display, EnumString};

/// Log message of an entry about a request that has ended.
const REQUEST_ENDED: &str = "request ended";
/// Quantiles of the errors that are printed.
const QUANTILES: [f64; 4] = [0.1, 0.5, 0.9, 0.99];
/// Width of the plot and its largest error on either side, in milliseconds.
const PLOT_WIDTH: f64 = 640.0;
const PLOT_RANGE_MS: f64 = 800.0;
const PLOT_LABELS: f64 = 200.0;
const ROW_HEIGHT: usize = 22;

/// Part of a request for which an entry estimates a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum EstimatedLeg {
    /// From arrival to the first output.
    Request,
    /// Prefill at an engine of its own.
    Prefill,
    /// From the call of an engine that takes a KV cache to the first output.
    Decode,
    /// From the call of a target that does all to the first output.
    Run,
}

/// One estimate with what became of it, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EstimateSample {
    estimate: f64,
    actual: f64,
    /// Time within which the response is in time.
    objective: f64,
}

/// Estimates of all requests, by route and leg.
#[derive(Debug, Clone, Default)]
pub struct CalibrationTable {
    samples: BTreeMap<(String, EstimatedLeg), Vec<EstimateSample>>,
}

#[derive(Deserialize)]
struct LogLine {
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, String>,
}

/// Reads the log lines of ended requests; other lines are passed over.
///
/// A line may begin with other text, as of a collector that merges logs.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn read(files: &[PathBuf]) -> io::Result<CalibrationTable> {
    let mut table = CalibrationTable::default();
    for file in files {
        for line in BufReader::new(File::open(file)?).lines() {
            table.add_line(&line?);
        }
    }
    Ok(table)
}

impl CalibrationTable {
    /// Adds one line of a log.
    pub fn add_line(&mut self, line: &str) {
        let Some(start) = line.find('{') else { return };
        let Ok(line) = serde_json::from_str::<LogLine>(&line[start..]) else { return };
        if line.message == REQUEST_ENDED {
            self.add_request(&line.kvs);
        }
    }

    fn add_request(&mut self, fields: &BTreeMap<String, String>) {
        let number = |name: &str| fields.get(name).and_then(|text| text.parse::<f64>().ok());
        let (Some(route), Some(objective)) = (fields.get("route"), number("objective_ms")) else {
            return;
        };
        let (Some(estimate), Some(actual)) = (number("estimate_ms"), number("first_ms")) else {
            return;
        };
        let mut add = |leg, estimate, actual| {
            let sample = EstimateSample { estimate, actual, objective };
            self.samples.entry((route.clone(), leg)).or_default().push(sample);
        };
        add(EstimatedLeg::Request, estimate, actual);
        let calls = fields.get("calls").map_or("", String::as_str);
        for (leg, estimate, actual) in calls.split("; ").filter_map(parse_call) {
            add(leg, estimate, actual);
        }
    }

    /// Returns the quantiles of the errors of each route and leg as a plot.
    pub fn plot(&self) -> String {
        let height = ROW_HEIGHT * (self.samples.len() + 2);
        let mut text = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {PLOT_WIDTH} {height}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n"
        );
        let x = |error: f64| {
            let share = (error / PLOT_RANGE_MS).clamp(-1.0, 1.0);
            PLOT_LABELS + (PLOT_WIDTH - PLOT_LABELS) * (0.5 + share / 2.0)
        };
        let mut add = |line: fmt::Arguments<'_>| {
            // Writing to a string cannot fail.
            let _ = text.write_fmt(line);
        };
        for tick in [-PLOT_RANGE_MS, -PLOT_RANGE_MS / 2.0, 0.0, PLOT_RANGE_MS / 2.0] {
            let at = x(tick);
            add(format_args!(
                "<line x1=\"{at}\" x2=\"{at}\" y1=\"14\" y2=\"{height}\" stroke=\"#ccc\"/>\
                 <text x=\"{at}\" y=\"10\">{tick} ms</text>\n"
            ));
        }
        for (row, ((route, leg), samples)) in self.samples.iter().enumerate() {
            let [low, median, high, highest] = error_quantiles(samples);
            let y = ROW_HEIGHT * (row + 1) + ROW_HEIGHT / 2;
            add(format_args!(
                "<text x=\"2\" y=\"{y}\">{route} {leg}</text>\
                 <line x1=\"{}\" x2=\"{}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#9bd\"/>\
                 <line x1=\"{}\" x2=\"{}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#248\" stroke-width=\"6\"/>\
                 <circle cx=\"{}\" cy=\"{y}\" r=\"4\" fill=\"#d40\"/>\n",
                x(low),
                x(highest),
                x(low),
                x(high),
                x(median)
            ));
        }
        text.push_str("</svg>\n");
        text
    }
}

/// Returns the leg of a logged call with the expected and the actual time to its first output,
/// or to its end for a prefill.
fn parse_call(call: &str) -> Option<(EstimatedLeg, f64, f64)> {
    let words: Vec<&str> = call.split(' ').collect();
    let [_, _, leg, ending, took, _, "estimated", estimate, rest @ ..] = &words[..] else {
        return None;
    };
    let millis = |text: &str| text.strip_suffix("ms").and_then(|number| number.parse().ok());
    let leg: EstimatedLeg = leg.parse().ok()?;
    let actual = match (leg, rest) {
        (EstimatedLeg::Prefill, _) if *ending == "prefilled" => millis(took)?,
        (EstimatedLeg::Decode | EstimatedLeg::Run, ["first", first, ..]) => millis(first)?,
        _ => return None,
    };
    Some((leg, millis(estimate)?, actual))
}

/// Returns the quantiles of what actual times exceed their estimates by, in milliseconds.
fn error_quantiles(samples: &[EstimateSample]) -> [f64; QUANTILES.len()] {
    let mut errors: Vec<f64> = samples.iter().map(|s| s.actual - s.estimate).collect();
    errors.sort_by(f64::total_cmp);
    QUANTILES.map(|share| {
        let at = (share * errors.len() as f64) as usize;
        errors.get(at.min(errors.len().saturating_sub(1))).copied().unwrap_or(0.0)
    })
}

impl fmt::Display for CalibrationTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "errors in ms; of those expected in time, the share that was; late in all")?;
        writeln!(
            f,
            "{:<24} {:<8} {:>7} {:>6} {:>6} {:>6} {:>6} {:>8} {:>6}",
            "route", "leg", "number", "p10", "p50", "p90", "p99", "in time", "late"
        )?;
        for ((route, leg), samples) in &self.samples {
            let [low, median, high, highest] = error_quantiles(samples);
            write!(
                f,
                "{route:<24} {:<8} {:>7} {low:>6} {median:>6} {high:>6} {highest:>6}",
                leg.to_string(),
                samples.len()
            )?;
            if *leg == EstimatedLeg::Request {
                let expected = samples.iter().filter(|s| s.estimate <= s.objective);
                let (expected, kept) = expected.fold((0, 0), |(expected, kept), sample| {
                    (expected + 1, kept + usize::from(sample.actual <= sample.objective))
                });
                let late = samples.iter().filter(|s| s.actual > s.objective).count();
                let share = kept as f64 / f64::from(expected.max(1));
                write!(f, " {share:>8.3} {late:>6}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
