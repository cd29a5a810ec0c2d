//! The exchange of names that opens a connection.

use std::sync::Arc;

use jujubewall_protocol::codec;
use jujubewall_protocol::frame::Frame;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::hello::PROTOCOL_VERSION;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use tokio::time::timeout;

use crate::network::dial::DIAL_TIMEOUT;
use crate::network::error::NetworkError;
use crate::network::lane::read_frame;
use crate::network::lane::write_frame;
use crate::network::tls::certificate_names;

/// A connection whose peer has proved its name.
#[derive(Debug)]
pub struct Introduced {
    /// The connection.
    pub connection: Connection,
    /// What the peer said of itself.
    pub hello: Arc<Hello>,
    /// The control lane towards the peer.
    pub control_out: SendStream,
    /// The control lane from the peer.
    pub control_in: RecvStream,
}

/// Tells the peer who this process is and learns who the peer is.
pub async fn introduce(connection: Connection, own: &Hello) -> Result<Introduced, NetworkError> {
    match timeout(DIAL_TIMEOUT, exchange(connection, own)).await {
        Ok(result) => result,
        Err(_) => Err(NetworkError::Refused("no introduction in time")),
    }
}

async fn exchange(connection: Connection, own: &Hello) -> Result<Introduced, NetworkError> {
    let mut control_out = connection
        .open_uni()
        .await
        .map_err(|error| NetworkError::Closed(error.to_string()))?;
    let frame = Frame::Hello(Box::new(own.clone()));
    write_frame(&mut control_out, codec::encode(&frame)?).await?;
    let mut control_in = connection
        .accept_uni()
        .await
        .map_err(|error| NetworkError::Closed(error.to_string()))?;
    let body = read_frame(&mut control_in)
        .await?
        .ok_or(NetworkError::Refused("no introduction"))?;
    let Frame::Hello(hello) = codec::decode(&body)? else {
        return Err(NetworkError::Refused("the first frame is no introduction"));
    };
    check(&connection, &hello)?;
    Ok(Introduced {
        connection,
        hello: Arc::new(*hello),
        control_out,
        control_in,
    })
}

fn check(connection: &Connection, hello: &Hello) -> Result<(), NetworkError> {
    if hello.version != PROTOCOL_VERSION {
        return Err(NetworkError::Refused("another protocol version"));
    }
    if !certificate_names(connection, hello.member.as_str()) {
        return Err(NetworkError::Refused(
            "the certificate does not hold the member's name",
        ));
    }
    Ok(())
}
