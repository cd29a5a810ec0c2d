//! Output of results as text or as JSON.

use std::io;
use std::io::Write;

use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use serde::Serialize;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Text.
    Text,
    /// One JSON document.
    Json,
}

impl Format {
    /// Returns the format that the `--json` switch asks for.
    pub fn from_switch(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// A result that can be printed as text.
pub trait Render {
    /// Returns the text; each line ends with a line feed.
    fn render(&self) -> String;
}

/// Prints a result to the standard output.
pub fn print<T: Render + Serialize>(result: &T, format: Format) -> Result<(), Failure> {
    let text = match format {
        Format::Text => result.render(),
        Format::Json => json(result)?,
    };
    io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))
}

fn json<T: Serialize>(result: &T) -> Result<String, Failure> {
    let mut text = serde_json::to_string_pretty(result)
        .map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))?;
    text.push('\n');
    Ok(text)
}
