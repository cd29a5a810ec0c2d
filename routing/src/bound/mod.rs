//! Bounds on the throughput that the hardware allows.
//!
//! The throughput is the largest rate at which a mix of workloads can flow through
//! the layers of its models without exceeding the time of any engine or the
//! bandwidth of any link. This is a maximum concurrent flow problem, solved by the
//! multiplicative weights method: load is routed along the cheapest path, and the
//! price of a resource rises with its load. The prices are a dual solution, which
//! gives an upper bound, and the routed load is a primal solution, which gives a
//! lower bound. Both are returned.

mod packing;
mod problem;

pub use self::packing::BoundError;
pub use self::packing::BoundSettings;
pub use self::packing::ThroughputBounds;
pub use self::packing::find_bound;
pub use self::problem::BoundEngine;
pub use self::problem::BoundLink;
pub use self::problem::BoundProblem;
pub use self::problem::Workload;
