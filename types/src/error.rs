//! The closed list of error kinds and the answer that each one gives.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::outcome::Outcome;

/// What a caller may do after an error.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// The same request fails again.
    Never,
    /// The same request may succeed after the stated time.
    After,
    /// The request may have run; only a repeat with the same idempotency key is safe.
    WithSameKey,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $code:literal, $status:literal, $outcome:ident, $retry:ident, $exit:literal;)*) => {
        /// Every kind of error that a caller or an operator can be given.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the answer that belongs to this kind.
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        code: $code,
                        http_status: $status,
                        outcome: Outcome::$outcome,
                        retry: RetryAdvice::$retry,
                        exit_code: $exit,
                    },)*
                }
            }
        }
    };
}

/// How one error kind is reported on every surface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorAnswer {
    /// The stable text that identifies the kind.
    pub code: &'static str,
    /// The status of the HTTP answer.
    pub http_status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What the caller may do next.
    pub retry: RetryAdvice,
    /// The exit code of the operators' tool.
    pub exit_code: u8,
}

error_kinds! {
    /// The request is not well-formed or misses a field.
    BadRequest = "bad_request", 400, NotRun, Never, 2;
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", 413, NotRun, Never, 2;
    /// The prompt or the asked-for answer is longer than the limit.
    TooManyTokens = "too_many_tokens", 422, NotRun, Never, 2;
    /// The caller sent its request too slowly.
    RequestTimeout = "request_timeout", 408, NotRun, After, 4;
    /// No key was given, or the key belongs to no account or partner.
    Unauthenticated = "unauthenticated", 401, NotRun, Never, 3;
    /// The key does not allow what was asked.
    Forbidden = "forbidden", 403, NotRun, Never, 3;
    /// No model of that name is configured.
    UnknownModel = "unknown_model", 404, NotRun, Never, 2;
    /// No service of that name is configured.
    UnknownService = "unknown_service", 404, NotRun, Never, 2;
    /// The path or item does not exist.
    NotFound = "not_found", 404, NotRun, Never, 2;
    /// The method is not offered on that path.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, Never, 2;
    /// The account exceeds one of its own limits.
    AccountLimit = "account_limit", 429, NotRun, After, 4;
    /// The fleet has no room for the request now.
    Overloaded = "overloaded", 503, NotRun, After, 4;
    /// The deadline cannot be met.
    DeadlineUnreachable = "deadline_unreachable", 503, NotRun, After, 4;
    /// No upstream that could serve the request is reachable.
    NoUpstream = "no_upstream", 503, NotRun, After, 4;
    /// The process is shutting down.
    Draining = "draining", 503, NotRun, After, 4;
    /// The platform's key-value service does not answer and the request needs it.
    PlatformUnavailable = "platform_unavailable", 503, NotRun, After, 4;
    /// The answer broke off and could not be resumed.
    StreamLost = "stream_lost", 502, Unknown, After, 5;
    /// The request was sent, and whether it ran is not known.
    OutcomeUnknown = "outcome_unknown", 504, Unknown, WithSameKey, 5;
    /// The idempotency key was used before with another body.
    KeyReused = "key_reused", 409, NotRun, Never, 2;
    /// A release note clashes with the configuration in force.
    NoteRefused = "note_refused", 409, NotRun, Never, 6;
    /// A release note's identifier was used before with other content.
    NoteIdReused = "note_id_reused", 409, NotRun, Never, 6;
    /// Whether a release note was accepted is not known.
    NoteUnknown = "note_unknown", 504, Unknown, WithSameKey, 5;
    /// The upstream refused the call.
    UpstreamRefused = "upstream_refused", 502, NotRun, Never, 4;
    /// A fault in the system itself.
    Internal = "internal", 500, Unknown, WithSameKey, 1;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// An error with its kind, a message for the caller and when to come back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The kind, which fixes the answer.
    pub kind: ErrorKind,
    /// A sentence for the caller.
    pub message: String,
    /// The time after which asking again makes sense.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure without advice on when to come back.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the time after which asking again makes sense.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Failure {}
