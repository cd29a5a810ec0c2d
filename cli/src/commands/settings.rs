//! The commands `settings …`.

use argh::FromArgs;

use crate::commands::settings_check::SettingsCheckCommand;
use crate::commands::settings_schema::SettingsSchemaCommand;
use crate::exit::CommandFailure;

/// Handles settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(SettingsCheckCommand),
    Schema(SettingsSchemaCommand),
}

impl SettingsCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        match self.command {
            Subcommand::Check(command) => command.run(),
            Subcommand::Schema(command) => command.run(),
        }
    }
}
