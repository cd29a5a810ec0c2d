//! Results of the commands under `keys`.

use std::path::PathBuf;

use jujubewall_types::digest::Digest;
use jujubewall_types::id::MemberName;
use serde::Serialize;

use crate::print::Render;

/// The key and certificate files of a member.
#[derive(Serialize)]
pub struct MemberReport {
    pub member: MemberName,
    pub certificate_path: PathBuf,
    pub key_path: PathBuf,
}

/// The file and digest of an operator's or client account's key.
#[derive(Serialize)]
pub struct SecretReport {
    pub key_path: PathBuf,
    /// The digest that settings and release notes hold.
    pub digest: Digest,
}

/// The files that were written; the keys themselves are never printed.
#[derive(Default, Serialize)]
pub struct KeysReport {
    /// The certificate of the authority, if members were certified.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub authority_path: Option<PathBuf>,
    pub members: Vec<MemberReport>,
    pub operators: Vec<SecretReport>,
    pub accounts: Vec<SecretReport>,
}

impl Render for KeysReport {
    fn render(&self) -> String {
        let authority = self
            .authority_path
            .iter()
            .map(|path| format!("authority {}\n", path.display()));
        let members = self.members.iter().map(|member| {
            let certificate = member.certificate_path.display();
            format!(
                "certificate {certificate}\nkey {}\n",
                member.key_path.display()
            )
        });
        let secrets = self.operators.iter().chain(&self.accounts);
        let secrets = secrets.map(|secret| {
            format!(
                "key {}\n  digest {}\n",
                secret.key_path.display(),
                secret.digest
            )
        });
        authority.chain(members).chain(secrets).collect()
    }
}
