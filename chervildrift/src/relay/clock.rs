//! Clock that keeps running while the VM is suspended.

use std::time::Duration;

use chervildrift_core::types::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including suspension.
///
/// The monotonic clock stops while a machine is suspended, which would make cached data appear
/// fresher than it is.
pub(in crate::relay) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Time::default() + Duration::new(seconds, nanos)
}
