//! Limits of the platform adapter.

use std::time::Duration;

/// Sizes, times and tries of requests to the platform.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time for a connection.
    pub connect: Duration,
    /// Time for one try of a request, connection included.
    pub request: Duration,
    /// Tries of a read or of an object write.
    pub tries: u32,
    /// Greatest pause before the second try; it doubles with each further one.
    pub pause: Duration,
    /// Greatest size of a record in bytes.
    pub record_bytes: usize,
    /// Greatest size of a scan or of the list of VMs in bytes.
    pub list_bytes: usize,
    /// Greatest size of an object in bytes.
    pub object_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            request: Duration::from_secs(2),
            tries: 3,
            pause: Duration::from_millis(100),
            record_bytes: 256 << 10,
            list_bytes: 4 << 20,
            object_bytes: 8 << 20,
        }
    }
}
