//! Measurements of jujubewall, one subcommand each.

mod fit;
mod membership;
mod notes;
mod orders;
mod overhead;
mod recovery;
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
    Notes(notes::NotesCommand),
    Recovery(recovery::RecoveryCommand),
    Orders(orders::OrdersCommand),
    Throughput(throughput::ThroughputCommand),
    Membership(membership::MembershipCommand),
    Overhead(overhead::OverheadCommand),
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Slopes(command) => command.run(),
        Command::Notes(command) => command.run(),
        Command::Recovery(command) => command.run(),
        Command::Orders(command) => command.run(),
        Command::Throughput(command) => command.run(),
        Command::Membership(command) => command.run(),
        Command::Overhead(command) => command.run(),
    }
}
