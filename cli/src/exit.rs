//! Failures of the tool and their exit codes.

use std::process::ExitCode;

use jujubewall_types::admin::ErrorAnswerBody;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;

use crate::print::Format;

/// The exit code for an invalid command line.
pub const USAGE_EXIT_CODE: u8 = ErrorKind::BadRequest.answer().exit_code;

/// A failed command.
#[derive(Debug)]
pub enum CommandFailure {
    /// The command has printed the failure itself.
    Reported(ErrorKind),
    /// The failure still has to be printed.
    Unreported(Box<Failure>, Format),
}

impl CommandFailure {
    /// Creates a failure that still has to be printed.
    pub fn new(failure: Failure, format: Format) -> Self {
        Self::Unreported(Box::new(failure), format)
    }

    /// Prints the failure unless the command has done so, and returns its exit code.
    pub fn report(self) -> ExitCode {
        let kind = match self {
            Self::Reported(kind) => kind,
            Self::Unreported(failure, format) => {
                let kind = failure.kind;
                print_failure(*failure, format);
                kind
            }
        };
        ExitCode::from(kind.answer().exit_code)
    }
}

fn print_failure(failure: Failure, format: Format) {
    if format == Format::Text {
        eprintln!("{failure}");
        return;
    }
    let error = failure.into();
    let body = ErrorAnswerBody { error };
    match serde_json::to_string_pretty(&body) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}
