//! What a caller's headers say about who it is and what it wants.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderName;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::priority::Priority;
use smol_str::SmolStr;

/// The header with the time after which the caller gives up, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("jujubewall-deadline-ms");

/// The header with the priority: `bulk`, `normal` or `interactive`.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("jujubewall-priority");

/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The header by which a caller asks to be told the pipeline of its answer.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("jujubewall-trace");

/// The time after which a caller without a stated deadline gives up.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// The longest deadline that is accepted.
const MAX_DEADLINE: Duration = Duration::from_mins(15);

/// The longest idempotency key that is accepted, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Returns the key of a request.
pub fn bearer_key(headers: &HeaderMap) -> Result<&str, Failure> {
    text(headers, &AUTHORIZATION)?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Failure::new(
                ErrorKind::Unauthenticated,
                "a key is given as 'Authorization: Bearer KEY'",
            )
        })
}

/// Returns the time that the caller waits.
pub fn deadline(headers: &HeaderMap) -> Result<Duration, Failure> {
    let Some(value) = text(headers, &DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    match value.parse().map(Duration::from_millis) {
        Ok(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(deadline),
        _ => Err(Failure::new(
            ErrorKind::BadRequest,
            format!(
                "{DEADLINE_HEADER} is a whole number from 1 to {}",
                MAX_DEADLINE.as_millis()
            ),
        )),
    }
}

/// Returns the priority of a request.
pub fn priority(headers: &HeaderMap) -> Result<Priority, Failure> {
    match text(headers, &PRIORITY_HEADER)? {
        None | Some("normal") => Ok(Priority::Normal),
        Some("bulk") => Ok(Priority::Bulk),
        Some("interactive") => Ok(Priority::Interactive),
        Some(_) => Err(Failure::new(
            ErrorKind::BadRequest,
            format!("{PRIORITY_HEADER} is bulk, normal or interactive"),
        )),
    }
}

/// Returns the caller's idempotency key.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, Failure> {
    match text(headers, &IDEMPOTENCY_HEADER)? {
        None => Ok(None),
        Some(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(SmolStr::new(key)))
        }
        Some(_) => Err(Failure::new(
            ErrorKind::BadRequest,
            format!("an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"),
        )),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Failure::new(
            ErrorKind::BadRequest,
            format!("the header {name} is not plain text"),
        )),
    }
}
