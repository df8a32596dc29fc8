//! Command line of the stand-ins and the load tool.

use std::{process::ExitCode, time::Duration};

use emulator::{
    demo, path,
    serve::{self, ServeSettings},
    workload::Deployment,
};
use gumdrop::Options;

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
    #[options(help = "measure the latency that the path adds to a direct call")]
    Path(PathArguments),
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
        Some(Command::Path(arguments)) => runtime.block_on(measure_path(arguments)),
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
    let report = match demo::run(arguments.port, arguments.seconds, arguments.seed).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("emulator: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", serde_json::json!(report));
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
