//! The operators' tool.

mod client;
mod commands;
mod exit;
mod keys;
mod print;
mod render;

use std::env;
use std::process::ExitCode;

use argh::EarlyExit;
use argh::FromArgs;
use commands::Jujubewall;
use exit::USAGE_EXIT_CODE;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Jujubewall::from_args(&["jujubewall"], arguments.get(1..).unwrap_or_default()) {
        Ok(command) => run(command).await,
        Err(early) => exit_early(&early),
    }
}

async fn run(command: Jujubewall) -> ExitCode {
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

fn exit_early(early: &EarlyExit) -> ExitCode {
    if early.status.is_ok() {
        println!("{}", early.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", early.output);
    ExitCode::from(USAGE_EXIT_CODE)
}
