//! Mutual TLS between the system's own processes.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject as _;
use rustls::server::WebPkiClientVerifier;

use crate::network::error::NetworkError;

/// The application protocol that both sides of a connection ask for.
const APPLICATION_PROTOCOL: &[u8] = b"jujubewall/1";

/// A process's certificate, its key and the authority that peers are checked against.
#[derive(Debug)]
pub struct Identity {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
}

impl Identity {
    /// Reads the identity from three PEM texts.
    pub fn from_pem(
        certificate: &[u8],
        key: &[u8],
        authority: &[u8],
    ) -> Result<Self, NetworkError> {
        let certificates = read_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(identity_error)?;
        let mut authorities = RootCertStore::empty();
        for certificate in read_certificates(authority)? {
            authorities.add(certificate).map_err(identity_error)?;
        }
        Ok(Self {
            certificates,
            key,
            authorities: Arc::new(authorities),
        })
    }

    /// Returns the configuration for accepting peers.
    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, NetworkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.authorities),
            Arc::clone(&provider),
        )
        .build()
        .map_err(identity_error)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(identity_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(identity_error)?;
        tls.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
        let crypto = QuicServerConfig::try_from(tls).map_err(identity_error)?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
    }

    /// Returns the configuration for dialling peers.
    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, NetworkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(identity_error)?
            .with_root_certificates(Arc::clone(&self.authorities))
            .with_client_auth_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(identity_error)?;
        tls.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
        let crypto = QuicClientConfig::try_from(tls).map_err(identity_error)?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}

/// Returns whether a peer's certificate holds `member` as one of its names.
pub(crate) fn certificate_names(connection: &quinn::Connection, member: &str) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(certificates) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(leaf) = certificates.first() else {
        return false;
    };
    let Ok(name) = ServerName::try_from(member) else {
        return false;
    };
    webpki::EndEntityCert::try_from(leaf)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}

fn read_certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, NetworkError> {
    let certificates: Vec<_> = CertificateDer::pem_slice_iter(pem)
        .collect::<Result<_, _>>()
        .map_err(identity_error)?;
    if certificates.is_empty() {
        return Err(NetworkError::Identity("no certificate found".to_owned()));
    }
    Ok(certificates)
}

fn identity_error(error: impl std::fmt::Display) -> NetworkError {
    NetworkError::Identity(error.to_string())
}
