//! Access to the platform's tables, objects and list of VMs over HTTP.
//!
//! Reads are retried with jittered backoff. A write of a record is sent once: if its response is
//! lost it fails with [`Error::Unknown`], and the caller reads the record back.

mod backoff;
mod error;
mod limits;
mod objects;
mod records;
mod request;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;

use self::backoff::Backoff;

pub use self::error::Error;
pub use self::limits::Limits;
pub use self::records::{
    Condition, DeleteResult, ListedRecord, ScanQuery, Tag, TaggedRecord, WriteResult,
};
use self::request::HttpClient;
pub use self::vms::{ListedVm, VmState};

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: HttpClient,
    limits: Arc<Limits>,
    backoff: Arc<Backoff>,
}

impl Platform {
    /// Creates a client of the platform at an address; it connects when needed.
    pub fn open(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        Ok(Self {
            http: HttpClient::new(address, &limits)?,
            limits: Arc::new(limits),
            backoff: Arc::new(Backoff::new()?),
        })
    }
}
