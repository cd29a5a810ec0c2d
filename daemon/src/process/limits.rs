//! The settings' limits in the form that the listeners take.

use std::sync::Arc;
use std::time::Duration;

use crate::metrics::Metrics;
use crate::request_memory::SharedRequestMemory;
use crate::server::body::BodyLimits;
use crate::server::listener::ConnectionLimits;
use crate::settings::Settings;

/// Returns the limits on connections.
pub fn connections(settings: &Settings) -> ConnectionLimits {
    let limits = &settings.limits;
    ConnectionLimits {
        max_connections: clamp(limits.max_connections),
        max_header_bytes: clamp(limits.max_header_bytes),
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
    }
}

/// Returns the memory that all bodies of the process share.
pub fn request_memory(settings: &Settings) -> Arc<SharedRequestMemory> {
    SharedRequestMemory::new(clamp(settings.limits.request_memory_bytes))
}

/// Returns the limits on bodies of up to `max_body_bytes`.
pub fn bodies(
    settings: &Settings,
    max_body_bytes: u64,
    memory: &Arc<SharedRequestMemory>,
    metrics: &Arc<Metrics>,
) -> BodyLimits {
    BodyLimits {
        max_body_bytes: clamp(max_body_bytes),
        body_timeout: Duration::from_millis(settings.limits.body_timeout_ms),
        memory: Arc::clone(memory),
        metrics: Arc::clone(metrics),
    }
}

fn clamp(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
