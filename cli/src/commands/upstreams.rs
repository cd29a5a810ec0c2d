//! The command `upstreams`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::UPSTREAMS_PATH;
use jujubewall_types::admin::UpstreamsAnswer;

use crate::commands::show::show;
use crate::exit::CommandFailure;

/// Shows the upstreams in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstreams")]
pub struct UpstreamsCommand {
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

impl UpstreamsCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        show::<UpstreamsAnswer>(
            UPSTREAMS_PATH,
            self.entry,
            self.key_file.as_deref(),
            self.json,
        )
        .await
    }
}
