//! The command `settings check`.

use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_daemon::settings::Settings;
use jujubewall_types::error::ErrorKind;

use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;
use crate::render::settings::SettingsReport;

/// Checks a settings file as the daemon does before it starts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheckCommand {
    /// the settings file
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl SettingsCheckCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let report = SettingsReport::new(Settings::read(&self.file).map(|_| ()));
        print(&report, format).map_err(|failure| CommandFailure::new(failure, format))?;
        if !report.is_valid {
            return Err(CommandFailure::Reported(ErrorKind::BadRequest));
        }
        Ok(())
    }
}
