//! Finds out from the log lines of gateways how requests ended and why.
//!
//! [`losses`] counts requests by outcome and cause, and [`trace`] collects the decisions
//! that led to the end of one request. Both read any number of log files, line by line and
//! in memory that does not grow with them.

pub mod line;
pub mod losses;
pub mod outcome;
pub mod source;
pub mod trace;
