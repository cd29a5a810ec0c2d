//! The entry, which serves callers and operators.

pub mod actor;
pub mod callers;
mod calls;
pub mod completion;
mod credentials;
mod handlers;
pub mod holdings;
pub mod messages;
pub mod operators;
pub mod planner;
mod reply;
mod routes;
pub mod view;
