//! Limits of the platform client.

use std::time::Duration;

/// Timeouts, retries and sizes of requests to the platform.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Timeout of one attempt of a request, including the time to connect.
    pub request_timeout: Duration,
    /// Maximum number of attempts of a read or of an object write.
    pub attempts: u32,
    /// Maximum delay before the second attempt; it doubles with each further attempt.
    pub base_backoff: Duration,
    /// Size limit of a record.
    pub record_bytes: usize,
    /// Size limit of the response to a scan and of the list of VMs.
    pub list_bytes: usize,
    /// Size limit of an object.
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
