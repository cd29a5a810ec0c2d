//! Failures of the tool and their exit codes.

use std::process::ExitCode;

use jujubewall_types::admin::ErrorAnswerBody;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;

use crate::print::Format;

/// The exit code after a command line that cannot be understood.
pub const USAGE_EXIT_CODE: u8 = ErrorKind::BadRequest.answer().exit_code;

/// A failed command.
#[derive(Debug)]
pub enum CommandFailure {
    /// The command has printed what there is to tell; only the exit code is left.
    Told(ErrorKind),
    /// The failure is still to be told.
    Untold(Box<Failure>, Format),
}

impl CommandFailure {
    /// Creates a failure that is still to be told.
    pub fn new(failure: Failure, format: Format) -> Self {
        Self::Untold(Box::new(failure), format)
    }

    /// Tells the failure unless that is done, and returns its exit code.
    pub fn report(self) -> ExitCode {
        let kind = match self {
            Self::Told(kind) => kind,
            Self::Untold(failure, format) => {
                let kind = failure.kind;
                tell(*failure, format);
                kind
            }
        };
        ExitCode::from(kind.answer().exit_code)
    }
}

fn tell(failure: Failure, format: Format) {
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
