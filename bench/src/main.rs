//! Measurements of jujubewall, one subcommand each.

mod membership;
mod orders;
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
    Orders(orders::OrdersCommand),
    Throughput(throughput::ThroughputCommand),
    Membership(membership::MembershipCommand),
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Orders(command) => command.run(),
        Command::Throughput(command) => command.run(),
        Command::Membership(command) => command.run(),
    }
}
