//! Time that goes on while the VM is suspended.

use std::time::Duration;

use chervildrift_core::types::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine's start.
///
/// The monotonic clock stands still while a machine is suspended, so ages of what was read before
/// would come out too short.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Time::default() + Duration::new(seconds, nanos)
}
