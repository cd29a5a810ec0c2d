//! Small stand-ins for the systems outside, used by tests and examples.
//!
//! Each stand-in implements the trait of its system in memory and can be
//! served over HTTP, so that separate processes meet the same behaviour. All
//! time is the runtime's clock, which tests pause and advance.

pub mod body_crowd;
pub mod certificates;
pub mod client;
pub mod daemon;
pub mod engine;
pub mod engine_spec;
pub mod fleet;
pub mod gateway_fleet;
pub mod gateway_site;
pub mod gateway_traffic;
pub mod host_list;
pub mod http_server;
pub mod key_value;
pub mod members;
pub mod model_fold;
pub mod notes;
pub mod poison_fleet;
pub mod ports;
pub mod program;
pub mod raw_runner;
pub mod relay;
pub mod scripted_upstream;
pub mod service;
pub mod site;
pub mod site_runner;
pub mod site_store;
pub mod store_door;
pub mod stream_network;
pub mod udp_relay;
pub mod weight_store;

mod platform_answer;
