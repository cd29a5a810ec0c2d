//! Admission control at agents and gateways, and account limits at entries.
//!
//! An agent limits the work in flight at its upstream and divides it by weighted
//! fair queueing over accounts and priorities. Every entry holds a share of each
//! account's limits, so that no request waits for another process. A gateway lets
//! streams without capacity wait, by rank and by weighted fair queueing.

mod account_limits;
mod concurrency;
mod entry_gate;
mod fair_queue;
mod fair_weights;
mod gate;
mod limit_sharing;
mod patience;
mod request;
mod stream_admission;
mod stream_queue;

pub use self::account_limits::AccountLimit;
pub use self::account_limits::AccountLimits;
pub use self::account_limits::AddressedLimitMessage;
pub use self::account_limits::LimitExceeded;
pub use self::account_limits::LimitKind;
pub use self::account_limits::LimitSettings;
pub use self::concurrency::ConcurrencySettings;
pub use self::entry_gate::EntryGate;
pub use self::entry_gate::EntryGateSettings;
pub use self::fair_weights::FairWeights;
pub use self::gate::AdmissionController;
pub use self::gate::AdmissionSettings;
pub use self::patience::ClientPatience;
pub use self::request::AdmissionRequest;
pub use self::request::Decision;
pub use self::request::Refusal;
pub use self::request::RefusalReason;
pub use self::request::Released;
pub use self::stream_admission::Applicant;
pub use self::stream_admission::NotAdmitted;
pub use self::stream_admission::NotAdmittedCause;
pub use self::stream_admission::Placed;
pub use self::stream_admission::StreamAdmission;
pub use self::stream_queue::StreamTicket;
