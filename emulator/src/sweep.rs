//! Runs shifts for several seeds and policies, and reports them as JSON lines, CSV and a plot.

use std::{io, ops::Range, path::PathBuf, process::ExitCode, time::Duration};

use strum::IntoEnumIterator;

use crate::{
    shift::{self, ShiftPolicy, ShiftReport, ShiftSettings},
    workload::Deployment,
};

/// Settings of a sweep over seeds and policies.
#[derive(Debug, Clone)]
pub struct SweepSettings {
    /// Name of the deployment: `highway` or `honey`.
    pub deployment: String,
    /// Name of a policy, or `all`.
    pub policy: String,
    /// Seeds; each policy runs once for each.
    pub seeds: Range<u64>,
    /// Duration of each shift.
    pub duration: Duration,
    /// Multiplier of the deployment's own request rate; 1.0 is the normal load.
    pub load: f64,
    /// File for the reports as CSV, if wanted.
    pub csv: Option<PathBuf>,
    /// File for the plot as SVG, if wanted.
    pub plot: Option<PathBuf>,
}

/// Runs a sweep and prints one JSON object for each shift, after a summary if there are several.
///
/// The exit code is 2 for an unknown deployment or policy, and 1 if a file cannot be written.
pub fn run(settings: &SweepSettings) -> ExitCode {
    let Ok(deployment) = settings.deployment.parse::<Deployment>() else {
        eprintln!(
            "emulator: invalid --deployment {:?}: expected highway or honey",
            settings.deployment
        );
        return ExitCode::from(2);
    };
    let policies: Vec<ShiftPolicy> = match settings.policy.as_str() {
        "all" => ShiftPolicy::iter().collect(),
        name => match name.parse() {
            Ok(policy) => vec![policy],
            Err(_) => {
                let names: Vec<String> =
                    ShiftPolicy::iter().map(|policy| policy.to_string()).collect();
                eprintln!(
                    "emulator: invalid --policy {name:?}: expected one of all, {}",
                    names.join(", ")
                );
                return ExitCode::from(2);
            }
        },
    };
    let reports = run_shifts(settings, deployment, &policies);
    if let Err(error) = write_files(settings, &reports) {
        eprintln!("emulator: {error}");
        return ExitCode::FAILURE;
    }
    if reports.len() > 1 {
        print_summary(&policies, &reports);
    }
    for report in &reports {
        println!("{}", serde_json::json!(report));
    }
    ExitCode::SUCCESS
}

/// Runs all shifts in parallel. Each shift is single-threaded and deterministic, so the number
/// of threads does not affect the results.
fn run_shifts(
    settings: &SweepSettings,
    deployment: Deployment,
    policies: &[ShiftPolicy],
) -> Vec<ShiftReport> {
    let mut shifts: Vec<ShiftSettings> = Vec::new();
    for seed in settings.seeds.clone() {
        for policy in policies {
            shifts.push(ShiftSettings {
                deployment,
                policy: *policy,
                seed,
                duration: settings.duration,
                load: settings.load,
            });
        }
    }
    let threads = std::thread::available_parallelism()
        .map_or(1, |count| count.get().saturating_sub(1).max(1));
    let next = std::sync::atomic::AtomicUsize::new(0);
    let finished = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(shifts.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(settings) = shifts.get(index) else { return };
                    let report = shift::run(settings);
                    finished
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .push((index, report));
                }
            });
        }
    });
    let mut finished = finished.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    finished.sort_by_key(|(index, _)| *index);
    finished.into_iter().map(|(_, report)| report).collect()
}

fn print_summary(policies: &[ShiftPolicy], reports: &[ShiftReport]) {
    println!(
        "{:<16} {:>8} {:>8} {:>8} {:>12} {:>8}",
        "policy", "median", "worst", "bound", "role changes", "ttft p95"
    );
    for policy in policies {
        let name = policy.to_string();
        let policy_reports: Vec<&ShiftReport> =
            reports.iter().filter(|report| report.policy == name).collect();
        let mut goodput: Vec<f64> = policy_reports.iter().map(|report| report.goodput).collect();
        let mut bounds: Vec<f64> = policy_reports.iter().map(|report| report.bound).collect();
        let mut changes: Vec<u64> =
            policy_reports.iter().map(|report| report.role_changes).collect();
        let mut first: Vec<u64> =
            policy_reports.iter().map(|report| report.first_output_p95_ms).collect();
        goodput.sort_by(f64::total_cmp);
        bounds.sort_by(f64::total_cmp);
        changes.sort_unstable();
        first.sort_unstable();
        let median_index = policy_reports.len() / 2;
        println!(
            "{name:<16} {:>8.4} {:>8.4} {:>8.4} {:>12} {:>8}",
            goodput[median_index],
            goodput[0],
            bounds[median_index],
            changes[median_index],
            first[median_index]
        );
    }
}

fn write_files(settings: &SweepSettings, reports: &[ShiftReport]) -> io::Result<()> {
    if let Some(file) = &settings.csv {
        std::fs::write(file, csv(reports))?;
    }
    if let Some(file) = &settings.plot {
        std::fs::write(file, plot(reports))?;
    }
    Ok(())
}

fn csv(reports: &[ShiftReport]) -> String {
    let mut text = "deployment,policy,seed,offered,in_time,goodput,bound,late,refused_not_run,failed,role_changes\n".to_owned();
    for report in reports {
        text.push_str(&format!(
            "{},{},{},{},{},{:.4},{:.4},{},{},{},{}\n",
            report.deployment,
            report.policy,
            report.seed,
            report.offered,
            report.in_time,
            report.goodput,
            report.bound,
            report.late,
            report.refused_not_run,
            report.failed,
            report.role_changes
        ));
    }
    text
}

/// Plots goodput by seed as SVG, with one line for each policy.
fn plot(reports: &[ShiftReport]) -> String {
    const COLOURS: [&str; 5] = ["#888888", "#cc8800", "#3366cc", "#cc3333", "#118833"];
    let mut text = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 360\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"640\" height=\"360\" fill=\"white\"/>\n",
    );
    let first = reports.iter().map(|report| report.seed).min().unwrap_or(0);
    let last = reports.iter().map(|report| report.seed).max().unwrap_or(0);
    let x = |seed: u64| 50.0 + 440.0 * (seed - first) as f64 / (last - first).max(1) as f64;
    let y = |goodput: f64| 330.0 - 300.0 * goodput;
    for tenth in 0..=10 {
        let goodput = f64::from(tenth) / 10.0;
        text.push_str(&format!(
            "<text x=\"10\" y=\"{:.0}\">{goodput:.1}</text><path d=\"M50 {:.0}H490\" stroke=\"#dddddd\"/>\n",
            y(goodput) + 4.0,
            y(goodput)
        ));
    }
    for (index, policy) in ShiftPolicy::iter().enumerate() {
        let name = policy.to_string();
        let points: Vec<String> = reports
            .iter()
            .filter(|report| report.policy == name)
            .map(|report| format!("{:.1},{:.1}", x(report.seed), y(report.goodput)))
            .collect();
        let colour = COLOURS[index % COLOURS.len()];
        text.push_str(&format!(
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>\n\
             <text x=\"500\" y=\"{}\" fill=\"{colour}\">{name}</text>\n",
            points.join(" "),
            60 + 20 * index
        ));
    }
    text.push_str("</svg>\n");
    text
}
