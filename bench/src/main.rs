//! Measurements of jujubewall, one subcommand each.

mod fit;
mod slopes;
mod throughput;

use argh::FromArgs;

/// Measures jujubewall.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

/// The measurements.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Slopes(slopes::SlopesCommand),
    Throughput(throughput::ThroughputCommand),
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Slopes(command) => command.run(),
        Command::Throughput(command) => command.run(),
    }
}
