//! Clocks beside the runtime's, which stands still while the host is suspended.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time of day, in milliseconds since the start of 1970. It may jump.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A time of day before 1970 is as good as any other to tell two starts apart.
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the time since the host's start, in which suspended time counts.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
