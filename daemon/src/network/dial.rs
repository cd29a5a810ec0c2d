//! Sockets and dialling.

use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::hello::SHARED_SERVER_NAME;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::TokioRuntime;
use quinn::TransportConfig;
use tokio::time::timeout;

use crate::network::error::NetworkError;
use crate::network::tls::Identity;

/// The time within which a peer has to complete the handshake.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The time without any packet after which a connection is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of streams that a peer may have open at once.
const MAX_STREAMS: u32 = 1024;

/// Binds the socket that peers dial.
pub fn server_endpoint(address: SocketAddr, identity: &Identity) -> Result<Endpoint, NetworkError> {
    let socket = UdpSocket::bind(address).map_err(NetworkError::Bind)?;
    let mut config = identity.server_config()?;
    config.transport_config(transport());
    Endpoint::new(
        EndpointConfig::default(),
        Some(config),
        socket,
        Arc::new(TokioRuntime),
    )
    .map_err(NetworkError::Bind)
}

/// Binds a new socket for dialling, so that no state in between is shared with an old one.
pub fn client_endpoint(
    own_address: SocketAddr,
    identity: &Identity,
) -> Result<Endpoint, NetworkError> {
    let any = match own_address {
        SocketAddr::V4(address) if address.ip().is_loopback() => Ipv4Addr::LOCALHOST.into(),
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let mut endpoint = Endpoint::client(SocketAddr::new(any, 0)).map_err(NetworkError::Bind)?;
    let mut config = identity.client_config()?;
    config.transport_config(transport());
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// Dials a peer and completes the TLS handshake.
pub async fn dial(endpoint: Endpoint, to: SocketAddr) -> Result<quinn::Connection, NetworkError> {
    let connecting = endpoint
        .connect(to, SHARED_SERVER_NAME)
        .map_err(|error| NetworkError::Dial(error.to_string()))?;
    match timeout(DIAL_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(NetworkError::Dial(error.to_string())),
        Err(_) => Err(NetworkError::Dial("the handshake timed out".to_owned())),
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_concurrent_uni_streams(MAX_STREAMS.into());
    config.max_concurrent_bidi_streams(0_u32.into());
    config.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    Arc::new(config)
}
