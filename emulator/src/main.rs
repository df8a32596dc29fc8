//! Command line of the stand-ins, the load generator and the simulations.

use std::{process::ExitCode, time::Duration};

use emulator::{
    calibration, capacity, demo, matrix, path, platform_matrix,
    serve::{self, ServeSettings},
    sweep,
    workload::Deployment,
};
use gumdrop::Options;

/// Distance from the demo's first port to the first port of its direct entries.
const PLATFORM_PORT_OFFSET: u16 = 900;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the stand-ins")]
    Serve(ServeArguments),
    #[options(help = "run the whole system on this machine under a short load")]
    Demo(DemoArguments),
    #[options(help = "run direct entries on the platform's stand-in under a short load")]
    Platform(PlatformArguments),
    #[options(help = "measure the latency that the path adds to a direct call")]
    Path(PathArguments),
    #[options(help = "replay a seeded shift under a test clock")]
    Shift(ShiftArguments),
    #[options(help = "measure the slopes of docs/CAPACITY.md")]
    Capacity(CapacityArguments),
    #[options(help = "compare estimates with what became of them, by entries' logs")]
    Calibrate(CalibrateArguments),
    #[options(help = "run the fault matrix")]
    Matrix(MatrixArguments),
}

#[derive(Debug, Options)]
struct ServeArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "port of the platform; targets follow on the next ports", default = "17000")]
    port: u16,
    #[options(help = "number of engines, at most 14", default = "6")]
    engines: usize,
    #[options(help = "number of plain services' runners, at most 3", default = "2")]
    services: usize,
    #[options(help = "milliseconds for which the log keeps records", default = "3600000")]
    retention_ms: u64,
    #[options(help = "milliseconds of one call of a plain service", default = "20")]
    call_ms: u64,
}

#[derive(Debug, Options)]
struct DemoArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first port", default = "17000")]
    port: u16,
    #[options(help = "seconds of load for each deployment", default = "12")]
    seconds: u64,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct PathArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first port", default = "18000")]
    port: u16,
    #[options(help = "calls of each kind", default = "300")]
    repeats: u64,
}

#[derive(Debug, Options)]
struct PlatformArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first port of the entries", default = "17900")]
    port: u16,
    #[options(help = "length of the load in seconds", default = "10")]
    seconds: u64,
}

#[derive(Debug, Options)]
struct ShiftArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "highway or honey", default = "highway")]
    deployment: String,
    #[options(
        help = "round-robin, least-in-flight, static-split, eager-roles, sapphirewell or all",
        default = "sapphirewell"
    )]
    policy: String,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds", default = "1")]
    seeds: u64,
    #[options(help = "length of the shift in seconds", default = "600")]
    seconds: u64,
    #[options(help = "load in hundredths of the deployment's own", default = "100")]
    load: u64,
    #[options(help = "file for the reports as CSV")]
    csv: Option<std::path::PathBuf>,
    #[options(help = "file for a plot of goodput by policy and seed, as SVG")]
    plot: Option<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("emulator: {error}");
            return ExitCode::FAILURE;
        }
    };
    match arguments.command {
        Some(Command::Serve(arguments)) => runtime.block_on(serve_stand_ins(arguments)),
        Some(Command::Demo(arguments)) => runtime.block_on(run_demo(arguments)),
        Some(Command::Platform(arguments)) => runtime.block_on(run_platform(arguments)),
        Some(Command::Path(arguments)) => runtime.block_on(measure_path(arguments)),
        Some(Command::Shift(arguments)) => sweep::run(&arguments.into()),
        Some(Command::Capacity(_)) => measure_capacity(),
        Some(Command::Calibrate(arguments)) => calibrate(&arguments),
        Some(Command::Matrix(arguments)) => run_matrix(&arguments),
        None => {
            eprintln!("{}", Arguments::usage());
            ExitCode::from(2)
        }
    }
}

async fn serve_stand_ins(arguments: ServeArguments) -> ExitCode {
    let mut engines = Deployment::Highway.engines();
    engines.truncate(arguments.engines);
    let mut services = Deployment::Highway.services();
    services.truncate(arguments.services);
    let settings = ServeSettings {
        port: arguments.port,
        engines,
        services,
        retention: Duration::from_millis(arguments.retention_ms),
        call_time: Duration::from_millis(arguments.call_ms),
    };
    match serve::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo(arguments: DemoArguments) -> ExitCode {
    let platform_port = arguments.port + PLATFORM_PORT_OFFSET;
    let reports = tokio::try_join!(
        demo::run(arguments.port, arguments.seconds, arguments.seed),
        demo::run_platform(platform_port, arguments.seconds),
    );
    let (system, platform) = match reports {
        Ok(reports) => reports,
        Err(error) => {
            eprintln!("emulator: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut report = serde_json::json!(system);
    report["platform"] = serde_json::json!(platform);
    println!("{report}");
    let clean = system.is_clean() && platform.is_clean();
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run_platform(arguments: PlatformArguments) -> ExitCode {
    match demo::run_platform(arguments.port, arguments.seconds).await {
        Ok(report) => {
            println!("{}", serde_json::json!(report));
            if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure_path(arguments: PathArguments) -> ExitCode {
    match path::measure(arguments.port, arguments.repeats).await {
        Ok(times) => {
            for time in times {
                println!("{}", serde_json::json!(time));
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

#[derive(Debug, Options)]
struct CapacityArguments {
    #[options(help = "print this help")]
    help: bool,
}

fn measure_capacity() -> ExitCode {
    for point in capacity::measure() {
        println!("{:<42} {:>8} {:>12.3} {}", point.name, point.size, point.value, point.unit);
    }
    ExitCode::SUCCESS
}

#[derive(Debug, Options)]
struct CalibrateArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "file for a plot of the errors, as SVG")]
    plot: Option<std::path::PathBuf>,
    #[options(free, help = "files with the output of entries")]
    files: Vec<std::path::PathBuf>,
}

fn calibrate(arguments: &CalibrateArguments) -> ExitCode {
    if arguments.files.is_empty() {
        eprintln!("emulator: calibrate needs files with the output of entries");
        return ExitCode::from(2);
    }
    let table = match calibration::read(&arguments.files) {
        Ok(table) => table,
        Err(error) => {
            eprintln!("emulator: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{table}");
    let written = arguments.plot.as_ref().map(|file| std::fs::write(file, table.plot()));
    if let Some(Err(error)) = written {
        eprintln!("emulator: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

#[derive(Debug, Options)]
struct MatrixArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seeds as A..B, without B", default = "1..3")]
    seeds: String,
    #[options(help = "run all pairs of faults, too")]
    pairs: bool,
    #[options(help = "run the platform's matrix instead of the product's own")]
    platform: bool,
    #[options(help = "of the platform's cells, run those whose description contains this text")]
    only: Option<String>,
}

fn run_matrix(arguments: &MatrixArguments) -> ExitCode {
    let bounds = arguments
        .seeds
        .split_once("..")
        .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    let Some((first, end)) = bounds else {
        eprintln!("emulator: invalid --seeds {:?}: expected A..B", arguments.seeds);
        return ExitCode::from(2);
    };
    let seeds: std::ops::Range<u64> = first..end;
    if arguments.platform {
        return run_platform_matrix(seeds, arguments);
    }
    let mut cells = matrix::single_cells(seeds.clone());
    if arguments.pairs {
        cells.extend(matrix::pair_cells(seeds));
    }
    let summary = matrix::run_cells(cells);
    println!("{summary}");
    if summary.failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_platform_matrix(seeds: std::ops::Range<u64>, arguments: &MatrixArguments) -> ExitCode {
    let mut cells = platform_matrix::single_cells(seeds.clone());
    if arguments.pairs {
        cells.extend(platform_matrix::pair_cells(seeds));
    }
    if let Some(text) = &arguments.only {
        cells.retain(|cell| cell.to_string().contains(text));
    }
    let summary = platform_matrix::run_cells(&cells);
    println!("{summary}");
    if summary.failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl From<ShiftArguments> for sweep::SweepSettings {
    fn from(arguments: ShiftArguments) -> sweep::SweepSettings {
        sweep::SweepSettings {
            deployment: arguments.deployment,
            policy: arguments.policy,
            seeds: arguments.seed..arguments.seed + arguments.seeds,
            duration: Duration::from_secs(arguments.seconds),
            load: arguments.load as f64 / 100.0,
            csv: arguments.csv,
            plot: arguments.plot,
        }
    }
}
