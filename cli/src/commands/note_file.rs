//! Reading of release notes from files, and asking an entry about them.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use jujubewall_types::admin::NOTE_CHECK_PATH;
use jujubewall_types::admin::NoteCheckAnswer;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::note::ReleaseNote;

use crate::client::Client;

/// Reads a release note from a JSON file.
pub fn read_note(path: &Path) -> Result<ReleaseNote, Failure> {
    let text = fs::read(path).map_err(|error| bad_note(path, &error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| bad_note(path, &error.to_string()))
}

/// Asks an entry what the note in a file would do now.
pub async fn check_note(
    path: &Path,
    entry: Option<SocketAddr>,
    key_file: Option<&Path>,
) -> Result<NoteCheckAnswer, Failure> {
    let note = read_note(path)?;
    let client = Client::new(entry, key_file)?;
    client
        .post(NOTE_CHECK_PATH, &note, ErrorKind::NoUpstream)
        .await
}

fn bad_note(path: &Path, reason: &str) -> Failure {
    Failure::new(
        ErrorKind::BadRequest,
        format!("{}: {reason}", path.display()),
    )
}
