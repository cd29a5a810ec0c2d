//! Log files, read line by line.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use smol_str::SmolStr;
use thiserror::Error;

use crate::line::LineFault;
use crate::line::LogLine;

/// The largest length of a line that is read, in bytes; the rest of a longer one is skipped.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// A log file that cannot be read.
#[derive(Debug, Error)]
#[error("cannot read {path}: {source}", path = path.display())]
pub struct SourceError {
    path: PathBuf,
    source: io::Error,
}

/// Calls `visit` for each line of a file with the name of its process, which for a file of
/// one process is the file's name without its extension.
///
/// Lines that cannot be parsed are passed as their fault.
///
/// # Errors
///
/// Returns an error if the file cannot be opened or read.
pub fn read_lines(
    path: &Path,
    mut visit: impl FnMut(&SmolStr, Result<LogLine<'_>, LineFault>),
) -> Result<(), SourceError> {
    let fail = |source| SourceError {
        path: path.to_owned(),
        source,
    };
    let file_name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut process = SmolStr::new(&file_name);
    let mut reader = BufReader::new(File::open(path).map_err(fail)?);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let count = read_line(&mut reader, &mut bytes).map_err(fail)?;
        if count == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&bytes);
        let text = text.trim_end();
        if text.is_empty() {
            continue;
        }
        let line = LogLine::parse(text);
        if let Ok(line) = &line {
            let name = line.process.unwrap_or(&file_name);
            if process != name {
                process = SmolStr::new(name);
            }
        }
        visit(&process, line);
    }
}

/// Reads a line of at most [`MAX_LINE_BYTES`], skips the rest of a longer one, and returns
/// the number of bytes that were kept.
fn read_line(reader: &mut impl BufRead, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let count = io::Read::take(&mut *reader, MAX_LINE_BYTES).read_until(b'\n', bytes)?;
    if bytes.last() != Some(&b'\n') && count as u64 == MAX_LINE_BYTES {
        reader.skip_until(b'\n')?;
    }
    Ok(count)
}
