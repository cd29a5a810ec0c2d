//! The command `losses`.

use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_diagnosis::losses::LossTally;
use jujubewall_diagnosis::losses::Span;
use jujubewall_diagnosis::source::read_lines;

use crate::commands::trace::unreadable;
use crate::exit::CommandFailure;
use crate::print::Format;
use crate::print::print;

/// Counts requests in gateways' logs by how they ended, cause, second, domain, route and
/// account.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesCommand {
    /// the log files, of one gateway each or merged
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// count requests that ended at this time or later, in seconds by the lines' clock
    #[argh(option)]
    from: Option<f64>,
    /// count requests that ended before this time, in seconds by the lines' clock
    #[argh(option)]
    to: Option<f64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl LossesCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        let mut tally = LossTally::new(Span {
            from_s: self.from.unwrap_or(Span::ALL.from_s),
            to_s: self.to.unwrap_or(Span::ALL.to_s),
        });
        for file in &self.files {
            read_lines(file, |process, line| tally.on_line(process, line))
                .map_err(|error| unreadable(&error, format))?;
        }
        print(&tally.report(), format).map_err(|failure| CommandFailure::new(failure, format))
    }
}
