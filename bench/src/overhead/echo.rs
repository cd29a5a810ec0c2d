//! A raw QUIC echo of messages as long as a step.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use jujubewall_protocol::hello::SHARED_SERVER_NAME;
use jujubewall_testutils::certificates::TestCertificates;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject as _;

use crate::overhead::histogram;
use crate::overhead::record;

/// The length of a message, about that of a step of one position.
const MESSAGE_BYTES: usize = 64;

/// The number of echoes before the first one that counts.
const WARM_UP: usize = 200;

/// Measures the round trip of `count` echoes over one stream.
pub async fn measure_echo(count: usize) -> eyre::Result<Histogram<u64>> {
    let certificates = TestCertificates::new();
    let issued = certificates.issue("echo");
    let chain = vec![CertificateDer::from_pem_slice(
        issued.certificate_pem.as_bytes(),
    )?];
    let key = PrivateKeyDer::from_pem_slice(issued.private_key_pem.as_bytes())?;
    let server = rustls::ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    let server = QuicServerConfig::try_from(server)?;
    let server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let server = Endpoint::server(server, (Ipv4Addr::LOCALHOST, 0).into())?;
    let address = server.local_addr()?;
    let echo = tokio::spawn(echo(server));

    let mut roots = RootCertStore::empty();
    let authority = certificates.authority_pem();
    roots.add(CertificateDer::from_pem_slice(authority.as_bytes())?)?;
    let client = rustls::ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    let mut endpoint = Endpoint::client((Ipv4Addr::LOCALHOST, 0).into())?;
    endpoint.set_default_client_config(client);
    let connection = endpoint.connect(address, SHARED_SERVER_NAME)?.await?;
    let (mut send, mut receive) = connection.open_bi().await?;

    let mut times = histogram()?;
    let message = [7; MESSAGE_BYTES];
    let mut answer = [0; MESSAGE_BYTES];
    for index in 0..WARM_UP + count {
        let started = Instant::now();
        send.write_all(&message).await?;
        receive.read_exact(&mut answer).await?;
        if index >= WARM_UP {
            record(&mut times, started);
        }
    }
    connection.close(0_u32.into(), b"done");
    echo.abort();
    Ok(times)
}

async fn echo(server: Endpoint) -> eyre::Result<()> {
    let Some(incoming) = server.accept().await else {
        return Ok(());
    };
    let connection = incoming.await?;
    let (mut send, mut receive) = connection.accept_bi().await?;
    let mut message = [0; MESSAGE_BYTES];
    loop {
        receive.read_exact(&mut message).await?;
        send.write_all(&message).await?;
    }
}
