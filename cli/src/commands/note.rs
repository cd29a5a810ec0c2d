//! The commands `note …`.

use argh::FromArgs;

use crate::commands::note_check::NoteCheckCommand;
use crate::commands::note_diff::NoteDiffCommand;
use crate::commands::note_status::NoteStatusCommand;
use crate::commands::note_submit::NoteSubmitCommand;
use crate::exit::CommandFailure;

/// Handles release notes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "note")]
pub struct NoteCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(NoteCheckCommand),
    Diff(NoteDiffCommand),
    Status(NoteStatusCommand),
    Submit(NoteSubmitCommand),
}

impl NoteCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        match self.command {
            Subcommand::Check(command) => command.run().await,
            Subcommand::Diff(command) => command.run().await,
            Subcommand::Status(command) => command.run().await,
            Subcommand::Submit(command) => command.run().await,
        }
    }
}
