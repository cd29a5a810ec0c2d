//! The command `trace`.

use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_diagnosis::source::SourceError;
use jujubewall_diagnosis::source::read_lines;
use jujubewall_diagnosis::trace::RequestScan;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;

use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;

/// Shows the decisions in gateways' logs that led to the end of one request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// the identifier of the request
    #[argh(positional)]
    id: String,
    /// the log files, of one gateway each or merged
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl TraceCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let mut requests = RequestScan::new(&self.id);
        for file in &self.files {
            read_lines(file, |process, line| requests.on_line(process, line))
                .map_err(|error| unreadable(&error, format))?;
        }
        let Some(mut causes) = requests.into_cause_scan() else {
            let message = format!("no line names the request {}", self.id);
            let failure = Failure::new(ErrorKind::NotFound, message);
            return Err(CommandFailure::new(failure, format));
        };
        for file in &self.files {
            read_lines(file, |process, line| causes.on_line(process, line))
                .map_err(|error| unreadable(&error, format))?;
        }
        print(&causes.into_report(), format).map_err(|failure| CommandFailure::new(failure, format))
    }
}

/// Returns the failure of a command whose log file cannot be read.
pub fn unreadable(error: &SourceError, format: Format) -> CommandFailure {
    CommandFailure::new(
        Failure::new(ErrorKind::BadRequest, error.to_string()),
        format,
    )
}
