//! HTTP answers of the platform's stand-ins.

use bytes::Bytes;
use hyper::Request;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::wire::WireError;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_server::ServerAnswer;
use crate::http_server::json_reply;

/// The status of an answer that carries a reply document.
const STATUS_OK: u16 = 200;

/// Reads the request document.
pub fn parse_call<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, PlatformError> {
    let call = serde_json::from_slice(request.body());
    call.map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Builds the answer; a lost reply closes the connection.
pub fn answer_of<T: Serialize>(result: Result<T, PlatformError>) -> ServerAnswer {
    let refusal = match result {
        Ok(document) => return json_reply(STATUS_OK, &document),
        Err(PlatformError::ReplyLost(_)) => return ServerAnswer::Closed,
        Err(PlatformError::Unavailable(message)) => WireError::Unavailable { message },
        Err(PlatformError::RateLimited) => WireError::RateLimited {},
        Err(PlatformError::TooLarge(size_bytes)) => WireError::TooLarge { size_bytes },
        Err(PlatformError::LeaseLapsed) => WireError::LeaseLapsed {},
        Err(PlatformError::Malformed(message)) => WireError::Malformed { message },
    };
    json_reply(refusal.status(), &refusal)
}
