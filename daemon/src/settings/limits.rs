//! The bounds on what outsiders can make a process hold or wait for.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use super::object::ObjectReader;

macro_rules! limits {
    ($($(#[doc = $doc:literal])* $name:ident = $default:expr, at most $max:expr;)*) => {
        /// The bounds on what outsiders can make a process hold or wait for.
        ///
        /// Every bound is positive and has a default.
        #[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Limits {
            $($(#[doc = $doc])* #[schemars(range(min = 1, max = $max))] pub $name: u64,)*
        }

        impl Default for Limits {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl Limits {
            /// Reads the bounds that are given and takes the defaults of the rest.
            pub(super) fn read(object: &mut ObjectReader<'_>) -> Self {
                Self { $($name: object.bounded(stringify!($name), $default, $max),)* }
            }
        }
    };
}

/// One kibibyte, in bytes.
const KIB: u64 = 1024;

/// One mebibyte, in bytes.
const MIB: u64 = 1024 * KIB;

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

limits! {
    /// The largest body of a caller's request, in bytes.
    max_body_bytes = 4 * MIB, at most 8 * MIB;
    /// The largest body of an operator's request, in bytes.
    max_note_bytes = 8 * MIB, at most 64 * MIB;
    /// The memory that all unfinished bodies share, in bytes. A single body of legal size is
    /// always read.
    request_memory_bytes = 64 * MIB, at most 65_536 * MIB;
    /// The largest header section of a request, in bytes.
    max_header_bytes = 16 * KIB, at most MIB;
    /// The number of connections that callers and operators may hold open.
    max_connections = 4096, at most 65_536;
    /// The number of connections that peers may hold open.
    max_peer_connections = 4096, at most 65_536;
    /// The number of callers' requests that may be in flight.
    max_requests = 8192, at most 1_048_576;
    /// The time within which a header section has to arrive, in milliseconds.
    header_timeout_ms = 5_000, at most HOUR_MS;
    /// The time within which a body has to arrive, in milliseconds.
    body_timeout_ms = 10_000, at most HOUR_MS;
    /// The time that a request without a deadline of its own may take, in milliseconds.
    request_timeout_ms = 120_000, at most HOUR_MS;
    /// The time that a stopping process gives to requests in progress, in milliseconds.
    drain_grace_ms = 120_000, at most HOUR_MS;
}
