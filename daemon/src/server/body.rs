//! Reading request bodies within limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// The limits on one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The largest body.
    pub max_body_bytes: usize,
    /// The time within which the whole body has to arrive.
    pub body_timeout: Duration,
}

/// Reads a whole body.
pub async fn read(body: Incoming, limits: BodyLimits) -> Result<Bytes, Failure> {
    let limited = Limited::new(body, limits.max_body_bytes);
    let Ok(collected) = timeout(limits.body_timeout, limited.collect()).await else {
        return Err(Failure::new(
            ErrorKind::RequestTimeout,
            format!(
                "the body did not arrive within {} ms",
                limits.body_timeout.as_millis()
            ),
        ));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Failure::new(
            ErrorKind::BodyTooLarge,
            format!("the body exceeds {} bytes", limits.max_body_bytes),
        )),
        Err(_) => Err(Failure::new(
            ErrorKind::BadRequest,
            "the body broke off before its end",
        )),
    }
}

/// Reads a body that is a JSON document.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        Failure::new(
            ErrorKind::BadRequest,
            format!("the body is not acceptable: {error}"),
        )
    })
}
