//! The command `note check`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::error::ErrorKind;

use crate::commands::note_file::check_note;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;
use crate::render::note::CheckReport;

/// Checks whether a release note would be accepted now.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct NoteCheckCommand {
    /// the file of the note
    #[argh(positional)]
    file: PathBuf,
    /// the operator address of an entry; `JUJUBEWALL_ENTRY` by default
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// the file of the operator's key; `JUJUBEWALL_OPERATOR_KEY` holds the key by default
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl NoteCheckCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let unreported = |failure| CommandFailure::new(failure, format);
        let answer = check_note(&self.file, self.entry, self.key_file.as_deref())
            .await
            .map_err(unreported)?;
        let is_refused = !answer.clashes.is_empty();
        print(&CheckReport(answer), format).map_err(unreported)?;
        if is_refused {
            return Err(CommandFailure::Reported(ErrorKind::NoteRefused));
        }
        Ok(())
    }
}
