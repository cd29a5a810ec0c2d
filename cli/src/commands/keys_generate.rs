//! The command `keys generate`.

use std::path::PathBuf;

use argh::FromArgs;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::NameError;
use jujubewall_types::id::PartnerName;

use crate::exit::CommandFailure;
use crate::keys::authority::Authority;
use crate::keys::secret::generate_secret;
use crate::print::Format;
use crate::print::print;
use crate::render::keys::KeysReport;

/// Generates the keys of members, operators and client accounts.
///
/// The authority is made on first use and used again later. No file is
/// overwritten, and no key is printed: only the digests of secrets are.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct KeysGenerateCommand {
    /// the directory of the key files
    #[argh(option)]
    directory: PathBuf,
    /// a member that gets a certificate and key; may be repeated
    #[argh(option)]
    member: Vec<String>,
    /// a partner whose operators get a key; may be repeated
    #[argh(option)]
    operator: Vec<String>,
    /// a client account that gets a key; may be repeated
    #[argh(option)]
    account: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl KeysGenerateCommand {
    pub fn run(self) -> Result<(), CommandFailure> {
        let format = Format::from_switch(self.json);
        self.generate()
            .and_then(|report| print(&report, format))
            .map_err(|failure| CommandFailure::new(failure, format))
    }

    fn generate(&self) -> Result<KeysReport, Failure> {
        let members = names(&self.member, MemberName::new)?;
        let operators = names(&self.operator, PartnerName::new)?;
        let accounts = names(&self.account, AccountName::new)?;
        let mut report = KeysReport::default();
        if !members.is_empty() {
            let authority = Authority::open(&self.directory)?;
            report.authority_path = Some(authority.certificate_path().to_owned());
            for member in &members {
                report.members.push(authority.certify(member)?);
            }
        }
        for operator in operators {
            let stem = format!("operator-{operator}");
            report
                .operators
                .push(generate_secret(&self.directory, &stem)?);
        }
        for account in accounts {
            let stem = format!("account-{account}");
            report
                .accounts
                .push(generate_secret(&self.directory, &stem)?);
        }
        Ok(report)
    }
}

fn names<'a, T>(
    texts: &'a [String],
    parse: impl Fn(&'a str) -> Result<T, NameError>,
) -> Result<Vec<T>, Failure> {
    let read = |text: &'a String| {
        parse(text).map_err(|error| Failure::new(ErrorKind::BadRequest, format!("{text}: {error}")))
    };
    texts.iter().map(read).collect()
}
