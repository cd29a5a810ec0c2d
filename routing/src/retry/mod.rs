//! The retries of an entry, which are the only ones in the system.
//!
//! Retries are paid from a budget that first attempts fill, so a fault of the
//! whole fleet adds no more than a fixed share of traffic. Delays grow with
//! the attempt and are drawn at random, so retries do not arrive together.

mod budget;

pub use self::budget::NoRetry;
pub use self::budget::RetryBudget;
pub use self::budget::RetryCause;
pub use self::budget::RetrySettings;
