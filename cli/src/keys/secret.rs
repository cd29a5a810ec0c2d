//! Keys of operators and client accounts.

use std::fmt::Write;
use std::path::Path;

use jujubewall_types::digest::Digest;
use jujubewall_types::error::Failure;

use crate::keys::file::Content;
use crate::keys::file::create;
use crate::keys::file::place;
use crate::render::keys::SecretReport;

/// The length of a key in bytes, before hexadecimal encoding.
const SECRET_BYTES: usize = 32;

/// Generates a key, writes it to a file and returns its digest.
pub fn generate_secret(directory: &Path, stem: &str) -> Result<SecretReport, Failure> {
    let secret = random_text();
    let key_path = place(directory, stem, "key")?;
    create(&key_path, Content::Key, &secret)?;
    Ok(SecretReport {
        key_path,
        digest: Digest::of(secret.as_bytes()),
    })
}

fn random_text() -> String {
    let bytes: [u8; SECRET_BYTES] = rand::random();
    let mut text = String::with_capacity(2 * SECRET_BYTES);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
