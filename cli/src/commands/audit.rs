//! The command `audit`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::admin::AUDIT_PATH;
use jujubewall_types::admin::AuditAnswer;

use crate::commands::show::show;
use crate::exit::CommandFailure;

/// Shows who changed the configuration, when and how.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditCommand {
    /// the number of the first record
    #[argh(option, default = "0")]
    from: u64,
    /// the largest number of records
    #[argh(option, default = "100")]
    limit: u32,
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

impl AuditCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        let path = format!("{AUDIT_PATH}?from={}&limit={}", self.from, self.limit);
        show::<AuditAnswer>(&path, self.entry, self.key_file.as_deref(), self.json).await
    }
}
