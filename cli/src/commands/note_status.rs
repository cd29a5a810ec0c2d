//! The command `note status`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::NOTES_PATH;
use jujubewall_types::admin::NoteAnswer;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::NoteId;

use crate::client::Client;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;
use crate::render::note::failure_kind;

/// Shows what became of a release note.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct NoteStatusCommand {
    /// the identifier of the note
    #[argh(positional)]
    id: String,
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

impl NoteStatusCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let unreported = |failure| CommandFailure::new(failure, format);
        let answer = self.fetch().await.map_err(unreported)?;
        print(&answer, format).map_err(unreported)?;
        failure_kind(&answer).map_or(Ok(()), |kind| Err(CommandFailure::Reported(kind)))
    }

    async fn fetch(&self) -> Result<NoteAnswer, Failure> {
        let id = NoteId::new(self.id.as_str())
            .map_err(|error| Failure::new(ErrorKind::BadRequest, error.to_string()))?;
        let client = Client::new(self.entry, self.key_file.as_deref())?;
        client.get(&format!("{NOTES_PATH}/{id}")).await
    }
}
