//! The commands `keys …`.

use argh::FromArgs;

use crate::commands::keys_generate::KeysGenerateCommand;
use crate::exit::CommandFailure;

/// Handles keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Generate(KeysGenerateCommand),
}

impl KeysCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        match self.command {
            Subcommand::Generate(command) => command.run(),
        }
    }
}
