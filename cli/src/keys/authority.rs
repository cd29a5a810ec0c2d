//! The certificate authority of the members.

use std::path::Path;
use std::path::PathBuf;

use jujubewall_protocol::hello::SHARED_SERVER_NAME;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::MemberName;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::keys::file::Content;
use crate::keys::file::create;
use crate::keys::file::place;
use crate::keys::file::read;
use crate::render::keys::MemberReport;

/// The file name of the authority's key and certificate, without extension.
const AUTHORITY_STEM: &str = "authority";

/// The certificate authority with its key.
pub struct Authority {
    directory: PathBuf,
    certificate_path: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Opens the authority in `directory`, and creates it on first use.
    pub fn open(directory: &Path) -> Result<Self, Failure> {
        let certificate_path = place(directory, AUTHORITY_STEM, "crt")?;
        let key_path = place(directory, AUTHORITY_STEM, "key")?;
        if !key_path.exists() {
            create_authority(&certificate_path, &key_path)?;
        }
        let key = KeyPair::from_pem(&read(&key_path)?).map_err(|error| unusable(&error))?;
        let certificate = read(&certificate_path)?;
        let issuer =
            Issuer::from_ca_cert_pem(&certificate, key).map_err(|error| unusable(&error))?;
        Ok(Self {
            directory: directory.to_owned(),
            certificate_path,
            issuer,
        })
    }

    /// Returns the path of the authority's certificate.
    pub fn certificate_path(&self) -> &Path {
        &self.certificate_path
    }

    /// Generates a key and certificate for a member.
    pub fn certify(&self, member: &MemberName) -> Result<MemberReport, Failure> {
        let certificate_path = place(&self.directory, member.as_str(), "crt")?;
        let key_path = place(&self.directory, member.as_str(), "key")?;
        let key = KeyPair::generate().map_err(|error| unusable(&error))?;
        let certificate = member_params(member)
            .and_then(|params| params.signed_by(&key, &self.issuer))
            .map_err(|error| unusable(&error))?;
        create(&key_path, Content::Key, &key.serialize_pem())?;
        create(&certificate_path, Content::Certificate, &certificate.pem())?;
        Ok(MemberReport {
            member: member.clone(),
            certificate_path,
            key_path,
        })
    }
}

fn create_authority(certificate_path: &Path, key_path: &Path) -> Result<(), Failure> {
    let key = KeyPair::generate().map_err(|error| unusable(&error))?;
    let certificate = authority_params()
        .and_then(|params| params.self_signed(&key))
        .map_err(|error| unusable(&error))?;
    create(key_path, Content::Key, &key.serialize_pem())?;
    create(certificate_path, Content::Certificate, &certificate.pem())
}

fn authority_params() -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    let name = "jujubewall member authority";
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Returns the parameters of a certificate for both ends of a connection.
///
/// It holds the member's name, which receivers compare with the handshake, and
/// the name that all members share, which is asked for while a peer's own name
/// is not known.
fn member_params(member: &MemberName) -> Result<CertificateParams, rcgen::Error> {
    let names = vec![SHARED_SERVER_NAME.to_owned(), member.to_string()];
    let mut params = CertificateParams::new(names)?;
    params
        .distinguished_name
        .push(DnType::CommonName, member.to_string());
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    Ok(params)
}

fn unusable(error: &rcgen::Error) -> Failure {
    Failure::new(ErrorKind::BadRequest, error.to_string())
}
