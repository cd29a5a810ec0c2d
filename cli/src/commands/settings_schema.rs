//! The command `settings schema`.

use argh::FromArgs;
use jujubewall_daemon::settings::Settings;

use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;
use crate::render::settings::SchemaReport;

/// Prints the JSON schema of settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct SettingsSchemaCommand {}

impl SettingsSchemaCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        let Self {} = self;
        print(&SchemaReport(Settings::schema()), Format::Json)
            .map_err(|failure| CommandFailure::new(failure, Format::Json))
    }
}
