//! The command `status`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::STATUS_PATH;
use jujubewall_types::admin::StatusAnswer;

use crate::commands::show::show;
use crate::exit::CommandFailure;

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
    pub async fn run(self) -> Result<(), CommandFailure> {
        show::<StatusAnswer>(STATUS_PATH, self.entry, self.key_file.as_deref(), self.json).await
    }
}
