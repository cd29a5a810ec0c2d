//! Key files.

use std::fs;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;

/// The permissions of key files: only the owner may read and write.
const KEY_MODE: u32 = 0o600;

/// The permissions of certificate files.
const CERTIFICATE_MODE: u32 = 0o644;

/// The content of a file, which determines its permissions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// A certificate, which anyone may read.
    Certificate,
    /// A key, which only the owner may read.
    Key,
}

/// Creates a file that does not exist yet.
pub fn create(path: &Path, content: Content, text: &str) -> Result<(), Failure> {
    let mode = match content {
        Content::Certificate => CERTIFICATE_MODE,
        Content::Key => KEY_MODE,
    };
    let write = || {
        let mut options = OpenOptions::new();
        options.write(true).create_new(true).mode(mode);
        options.open(path)?.write_all(text.as_bytes())
    };
    write().map_err(|error| file_failure(path, &error))
}

/// Reads a file.
pub fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| file_failure(path, &error))
}

/// Returns the path of a file in `directory`, which is created if it does not exist.
pub fn place(directory: &Path, stem: &str, extension: &str) -> Result<PathBuf, Failure> {
    if stem.contains('/') || stem.starts_with('.') {
        let message = format!("{stem}: a name with '/' or a leading '.' cannot name a key file");
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    fs::create_dir_all(directory).map_err(|error| file_failure(directory, &error))?;
    Ok(directory.join(format!("{stem}.{extension}")))
}

fn file_failure(path: &Path, error: &io::Error) -> Failure {
    Failure::new(
        ErrorKind::BadRequest,
        format!("{}: {error}", path.display()),
    )
}
