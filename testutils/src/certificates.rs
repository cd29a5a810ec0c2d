//! Certificates for mutual TLS between the system's own processes.

use jujubewall_protocol::hello::SHARED_SERVER_NAME;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

/// The certificate and key of one process.
#[derive(Clone, Debug)]
pub struct ProcessCertificate {
    /// The certificate.
    pub certificate_pem: String,
    /// The private key.
    pub private_key_pem: String,
}

/// A certificate authority that issues certificates to processes.
pub struct TestCertificates {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Default for TestCertificates {
    fn default() -> Self {
        Self::new()
    }
}

impl TestCertificates {
    /// Creates an authority with a new key.
    ///
    /// # Panics
    ///
    /// Panics if the library cannot create a key.
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "test authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate().expect("keys can be created");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("the authority is valid");
        Self { issuer }
    }

    /// Returns the authority's certificate.
    pub fn authority_pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate for both sides of connections, valid for the name `member`.
    ///
    /// # Panics
    ///
    /// Panics if `member` is not a valid server name.
    pub fn issue(&self, member: &str) -> ProcessCertificate {
        let names = vec![member.to_owned(), SHARED_SERVER_NAME.to_owned()];
        let mut params = CertificateParams::new(names).expect("the name is valid");
        params.distinguished_name.push(DnType::CommonName, member);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().expect("keys can be created");
        let certificate = params.signed_by(&key, &self.issuer).expect("signing works");
        ProcessCertificate {
            certificate_pem: certificate.pem(),
            private_key_pem: key.serialize_pem(),
        }
    }
}
