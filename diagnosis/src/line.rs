//! The format of a gateway's log lines.
//!
//! A process writes `time=UNIX level=LEVEL event=NAME key=value …`. Programs that merge the
//! output of several processes put the name of the process before that, and a time of their
//! own before the name.

use std::str::FromStr;

use thiserror::Error;

/// The start of the text that a process has written.
const TIME_FIELD: &str = "time=";

/// The reason why a line cannot be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LineFault {
    /// The line has no time.
    #[error("no time")]
    NoTime,
    /// The line has no event.
    #[error("no event")]
    NoEvent,
}

/// A log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// The time in seconds: that of the program that merged the lines if it gives one, and
    /// Unix time otherwise.
    pub time_s: f64,
    /// The name of the process, if the lines of several processes are merged.
    pub process: Option<&'a str>,
    /// The name of the event.
    pub event: &'a str,
    /// The text that the process has written.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// Returns what the line lacks.
    pub fn parse(line: &'a str) -> Result<Self, LineFault> {
        let start = line.find(TIME_FIELD).ok_or(LineFault::NoTime)?;
        let (prefix, text) = line.split_at(start);
        let mut prefix = prefix.split_whitespace().rev();
        let process = prefix.next();
        let merged_s = prefix.next().and_then(|time| time.parse().ok());
        let written_s = field(text, "time").and_then(|time| time.parse().ok());
        let time_s = merged_s.or(written_s).ok_or(LineFault::NoTime)?;
        let event = field(text, "event").ok_or(LineFault::NoEvent)?;
        Ok(Self {
            time_s,
            process,
            event,
            text: text.trim_end(),
        })
    }

    /// Returns the value of a field, without its quotation marks.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        field(self.text, key)
    }

    /// Returns the value of a field as a number.
    pub fn number<T: FromStr>(&self, key: &str) -> Option<T> {
        self.get(key)?.parse().ok()
    }
}

/// Returns the value of the first field named `key`.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = text;
    loop {
        rest = rest.trim_start();
        let (name, after) = rest.split_once('=')?;
        // A value that has spaces and no quotation marks ends with words of no field.
        let name = name.rsplit(' ').next().unwrap_or(name);
        let (value, next) = split_value(after);
        if name == key {
            return Some(value);
        }
        rest = next;
    }
}

/// Splits a text that begins with a value into the value and what follows it.
fn split_value(text: &str) -> (&str, &str) {
    if let Some(quoted) = text.strip_prefix('"') {
        let end = quoted.find("\" ").unwrap_or_else(|| {
            let trimmed = quoted.trim_end();
            trimmed.len() - usize::from(trimmed.ends_with('"'))
        });
        return (&quoted[..end], quoted.get(end + 1..).unwrap_or_default());
    }
    text.split_once(' ').unwrap_or((text.trim_end(), ""))
}
