//! The throughput that the hardware allows.
//!
//! The bound is the largest rate at which a mix of workloads can flow through
//! the layers of its models when every engine's time and every link's
//! bandwidth is spent at most once. It is a maximum concurrent flow, solved by
//! multiplicative weights: load is routed along the cheapest path while the
//! price of a resource rises with its load. The prices prove an upper bound
//! and the routed load a lower one; both are returned.

mod packing;
mod problem;

pub use self::packing::Bound;
pub use self::packing::BoundError;
pub use self::packing::BoundSettings;
pub use self::packing::find_bound;
pub use self::problem::BoundEngine;
pub use self::problem::BoundLink;
pub use self::problem::BoundProblem;
pub use self::problem::Workload;
