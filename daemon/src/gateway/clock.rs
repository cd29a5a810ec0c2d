//! Clocks in addition to the runtime's, which stops while the host is suspended.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // The value only has to tell two starts of the process apart, so zero will do for a clock
    // that is set before 1970.
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the time since the host booted, including the time that it was suspended.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
