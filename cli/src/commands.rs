//! The commands, one module each.

mod audit;
mod explain;
mod keys;
mod keys_generate;
mod losses;
mod note;
mod note_check;
mod note_diff;
mod note_file;
mod note_status;
mod note_submit;
mod settings;
mod settings_check;
mod settings_schema;
mod show;
mod status;
mod trace;
mod upstreams;

use argh::FromArgs;

use crate::exit::CommandFailure;

/// Checks and submits release notes, shows what the fleet does, and reads its logs.
#[derive(Debug, FromArgs)]
pub struct Jujubewall {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Audit(audit::AuditCommand),
    Explain(explain::ExplainCommand),
    Keys(keys::KeysCommand),
    Losses(losses::LossesCommand),
    Note(note::NoteCommand),
    Settings(settings::SettingsCommand),
    Status(status::StatusCommand),
    Trace(trace::TraceCommand),
    Upstreams(upstreams::UpstreamsCommand),
}

impl Jujubewall {
    pub async fn run(self) -> Result<(), CommandFailure> {
        match self.command {
            Command::Audit(command) => command.run().await,
            Command::Explain(command) => command.run().await,
            Command::Keys(command) => command.run(),
            Command::Losses(command) => command.run(),
            Command::Note(command) => command.run().await,
            Command::Settings(command) => command.run(),
            Command::Status(command) => command.run().await,
            Command::Trace(command) => command.run(),
            Command::Upstreams(command) => command.run().await,
        }
    }
}
