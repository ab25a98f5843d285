//! The platform's list of VMs.

use std::net::{IpAddr, SocketAddr};

use reqwest::{Method, StatusCode};
use serde::Deserialize;

use super::request::{read_json, rejection, send_read};
use super::{Error, Platform};

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running and is not about to be stopped.
    Live,
    /// The VM is going to be stopped.
    Leaving,
    /// The state is unknown to this version.
    #[serde(other)]
    Other,
}

/// VM in the platform's list, which also contains the VMs of upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// Name.
    pub name: String,
    /// Address; its port is 0 if the list gives none.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: VmState,
}

/// Entry of the list in the JSON form of the platform.
#[derive(Debug, Deserialize)]
struct VmEntry {
    name: String,
    address: String,
    zone: String,
    state: VmState,
}

impl VmEntry {
    /// Converts the entry; one whose address can't be parsed is left out of the list.
    fn into_listed(self) -> Option<ListedVm> {
        Some(ListedVm {
            address: parse_address(&self.address)?,
            name: self.name,
            zone: self.zone,
            state: self.state,
        })
    }
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let without_port = || text.parse::<IpAddr>().ok().map(|ip| SocketAddr::new(ip, 0));
    text.parse().ok().or_else(without_port)
}

impl Platform {
    /// Reads the list of VMs.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, Error> {
        let request = || self.list_vms_once();
        self.backoff.retry(&self.limits, request).await
    }

    async fn list_vms_once(&self) -> Result<Vec<ListedVm>, Error> {
        let response = send_read(self.http.request(Method::GET, &["vms"])?).await?;
        if response.status() != StatusCode::OK {
            return Err(rejection(&response));
        }
        let entries: Vec<VmEntry> = read_json(response, self.limits.list_bytes).await?;
        Ok(entries
            .into_iter()
            .filter_map(VmEntry::into_listed)
            .collect())
    }
}
