//! Limits of the platform adapter.

use std::time::Duration;

/// Sizes, times and tries of requests to the platform.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time for a connection.
    pub connect_timeout: Duration,
    /// Time for one try of a request, connection included.
    pub request_timeout: Duration,
    /// Tries of a read or of an object write.
    pub attempts: u32,
    /// Greatest pause before the second try; it doubles with each further one.
    pub base_backoff: Duration,
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
            connect_timeout: Duration::from_millis(500),
            request_timeout: Duration::from_secs(2),
            attempts: 3,
            base_backoff: Duration::from_millis(100),
            record_bytes: 256 << 10,
            list_bytes: 4 << 20,
            object_bytes: 8 << 20,
        }
    }
}
