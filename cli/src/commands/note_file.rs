//! Reading of release notes from files.

use std::fs;
use std::path::Path;

use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::note::ReleaseNote;

/// Reads a release note from a JSON file.
pub fn read_note(path: &Path) -> Result<ReleaseNote, Failure> {
    let text = fs::read(path).map_err(|error| bad_note(path, &error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| bad_note(path, &error.to_string()))
}

fn bad_note(path: &Path, reason: &str) -> Failure {
    Failure::new(
        ErrorKind::BadRequest,
        format!("{}: {reason}", path.display()),
    )
}
