//! The command `upstreams`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::UPSTREAMS_PATH;
use jujubewall_types::admin::UpstreamsAnswer;
use jujubewall_types::error::Failure;

use crate::client::Client;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;

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
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        self.fetch()
            .await
            .and_then(|answer| print(&answer, format))
            .map_err(|failure| CommandFailure::new(failure, format))
    }

    async fn fetch(&self) -> Result<UpstreamsAnswer, Failure> {
        let client = Client::new(self.entry, self.key_file.as_deref())?;
        client.get(UPSTREAMS_PATH).await
    }
}
