//! The command `status`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::STATUS_PATH;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::error::Failure;

use crate::client::Client;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;

/// Shows the members and whether the newest note is in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
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

impl StatusCommand {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        self.fetch()
            .await
            .and_then(|answer| print(&answer, format))
            .map_err(|failure| CommandFailure::new(failure, format))
    }

    async fn fetch(&self) -> Result<StatusAnswer, Failure> {
        let client = Client::new(self.entry, self.key_file.as_deref())?;
        client.get(STATUS_PATH).await
    }
}
