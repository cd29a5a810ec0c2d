//! Checks of the files that the settings name.

use std::fs;
use std::path::Path;

use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::sign::CertifiedKey;

use super::fault::FaultList;
use super::fault::SettingsProblem;

/// The files of the TLS settings, each if its path could be read.
pub(super) struct TlsPaths<'a> {
    /// The certificate chain.
    pub(super) certificate: Option<&'a Path>,
    /// The private key.
    pub(super) key: Option<&'a Path>,
    /// The accepted authorities.
    pub(super) authority: Option<&'a Path>,
}

/// Checks that every key file can be read and that key and certificate match.
pub(super) fn check_tls(paths: &TlsPaths<'_>, faults: &FaultList) {
    let certificates = |field, path| read_certificates(field, path, faults);
    let chain = paths
        .certificate
        .and_then(|path| certificates("tls.certificate_path", path));
    let key = paths
        .key
        .and_then(|path| read_key("tls.key_path", path, faults));
    if let Some(path) = paths.authority {
        certificates("tls.authority_path", path);
    }
    let (Some(chain), Some(key)) = (chain, key) else {
        return;
    };
    if CertifiedKey::from_der(chain, key, &ring::default_provider()).is_err() {
        faults.add("tls.key_path", SettingsProblem::KeyMismatch);
    }
}

fn read_certificates(
    field: &str,
    path: &Path,
    faults: &FaultList,
) -> Option<Vec<CertificateDer<'static>>> {
    let content = read_file(field, path, faults)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&content).collect();
    match certificates {
        Ok(certificates) if !certificates.is_empty() => Some(certificates),
        _ => {
            add_content_fault(field, path, "certificate in PEM form", faults);
            None
        }
    }
}

fn read_key(field: &str, path: &Path, faults: &FaultList) -> Option<PrivateKeyDer<'static>> {
    let content = read_file(field, path, faults)?;
    let key = PrivateKeyDer::from_pem_slice(&content).ok();
    if key.is_none() {
        add_content_fault(field, path, "private key in PEM form", faults);
    }
    key
}

fn read_file(field: &str, path: &Path, faults: &FaultList) -> Option<Vec<u8>> {
    match fs::read(path) {
        Ok(content) => Some(content),
        Err(error) => {
            let problem = SettingsProblem::FileUnreadable {
                path: path.to_owned(),
                reason: error.to_string(),
            };
            faults.add(field, problem);
            None
        }
    }
}

fn add_content_fault(field: &str, path: &Path, expected: &'static str, faults: &FaultList) {
    let problem = SettingsProblem::FileContent {
        path: path.to_owned(),
        expected,
    };
    faults.add(field, problem);
}
