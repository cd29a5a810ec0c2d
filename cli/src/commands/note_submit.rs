//! The command `note submit`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use jujubewall_types::admin::NOTES_PATH;
use jujubewall_types::admin::NoteAnswer;
use jujubewall_types::admin::STATUS_PATH;
use jujubewall_types::admin::StatusAnswer;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::Revision;
use jujubewall_types::note::ReleaseNote;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::client::Client;
use crate::commands::note_file::read_note;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;
use crate::render::note::SubmitReport;
use crate::render::note::failure_kind;

/// The interval between two status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Submits a release note; the same note may be submitted again safely.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct NoteSubmitCommand {
    /// the file of the note
    #[argh(positional)]
    file: PathBuf,
    /// wait until the note is in force everywhere
    #[argh(switch)]
    wait: bool,
    /// the longest time to wait, in milliseconds
    #[argh(option, default = "30_000")]
    wait_timeout_ms: u64,
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

impl NoteSubmitCommand {
    pub async fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let unreported = |failure| CommandFailure::new(failure, format);
        let report = self.submit().await.map_err(unreported)?;
        print(&report, format).map_err(unreported)?;
        if let Some(kind) = failure_kind(&report.answer) {
            return Err(CommandFailure::Reported(kind));
        }
        if self.wait && !report.is_in_force() {
            return Err(CommandFailure::Reported(ErrorKind::RequestTimeout));
        }
        Ok(())
    }

    async fn submit(&self) -> Result<SubmitReport, Failure> {
        let note = read_note(&self.file)?;
        let client = Client::new(self.entry, self.key_file.as_deref())?;
        let deadline = Instant::now() + Duration::from_millis(self.wait_timeout_ms);
        if !self.wait {
            let answer = post(&client, &note).await?;
            return Ok(SubmitReport::new(answer));
        }
        let answer = post_until_known(&client, &note, deadline).await?;
        let report = SubmitReport::new(answer);
        match report.answer {
            NoteAnswer::Accepted { revision } => {
                let status = wait_in_force(&client, revision, deadline).await?;
                Ok(report.with_status(status))
            }
            _ => Ok(report),
        }
    }
}

async fn post(client: &Client, note: &ReleaseNote) -> Result<NoteAnswer, Failure> {
    client.post(NOTES_PATH, note, ErrorKind::NoteUnknown).await
}

/// Resubmits the note while its result is unknown; the note's identifier makes this idempotent.
async fn post_until_known(
    client: &Client,
    note: &ReleaseNote,
    deadline: Instant,
) -> Result<NoteAnswer, Failure> {
    loop {
        let result = post(client, note).await;
        let is_known = match &result {
            Ok(answer) => !matches!(answer, NoteAnswer::Unknown { .. }),
            Err(failure) => failure.kind != ErrorKind::NoteUnknown,
        };
        if is_known || Instant::now() >= deadline {
            return result;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls the status until `revision` is in force everywhere or the timeout expires.
async fn wait_in_force(
    client: &Client,
    revision: Revision,
    deadline: Instant,
) -> Result<StatusAnswer, Failure> {
    loop {
        let status: StatusAnswer = client.get(STATUS_PATH).await?;
        let is_done = status.is_in_force && status.head >= revision;
        if is_done || Instant::now() >= deadline {
            return Ok(status);
        }
        sleep(POLL_INTERVAL).await;
    }
}
