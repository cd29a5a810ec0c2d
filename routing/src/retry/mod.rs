//! Retries of requests by an entry; no other component retries.
//!
//! Retries are limited by a budget that first attempts replenish, so that a
//! failure of the whole fleet adds no more than a fixed share of traffic. Delays
//! grow exponentially with the attempt and are randomized, so that retries do not
//! arrive together.

mod budget;

pub use self::budget::RetryBudget;
pub use self::budget::RetryCause;
pub use self::budget::RetryDenied;
pub use self::budget::RetrySettings;
