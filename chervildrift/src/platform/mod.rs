//! Access to the platform's tables, objects and VM list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use reqwest::{Client, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why the platform did not answer.
    #[derive(Debug)]
    pub enum Error {
        /// Request failed.
        Http(err: reqwest::Error) { display("{}", err) source(err) from() }
        /// The record has another tag.
        Conflict { display("the record was changed") }
        /// Outcome unknown.
        Unknown { display("unknown") }
    }
}

/// Limits.
#[derive(Clone, Debug, Default)]
pub struct Limits;

/// Platform.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    client: Client,
}

/// Row.
#[derive(Clone, Debug)]
pub struct Row<T> {
    /// Tag.
    pub tag: String,
    /// Value.
    pub value: T,
}

/// VM in the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedVm {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// State.
    pub state: String,
}

impl Platform {
    /// Opens.
    pub fn open(address: SocketAddr, _limits: Limits) -> Result<Self, Error> {
        let client = Client::builder().timeout(Duration::from_secs(2)).build()?;
        Ok(Self {
            base: format!("http://{address}"),
            client,
        })
    }
    /// Reads.
    pub async fn read<T: DeserializeOwned>(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<Row<T>>, Error> {
        let r = self
            .client
            .get(format!("{}/tables/{table}/{key}", self.base))
            .send()
            .await?;
        if r.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let r = r.error_for_status()?;
        let tag = r
            .headers()
            .get("etag")
            .and_then(|t| t.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        Ok(Some(Row {
            tag,
            value: r.json().await?,
        }))
    }
    /// Writes.
    pub async fn write<T: Serialize>(
        &self,
        table: &str,
        key: &str,
        tag: Option<&str>,
        value: &T,
    ) -> Result<String, Error> {
        let r = self
            .client
            .put(format!("{}/tables/{table}/{key}", self.base))
            .json(value);
        let r = match tag {
            Some(t) => r.header("If-Match", t),
            None => r.header("If-None-Match", "*"),
        };
        let r = r.send().await?;
        if r.status() == StatusCode::PRECONDITION_FAILED {
            return Err(Error::Conflict);
        }
        let r = r.error_for_status()?;
        Ok(r.headers()
            .get("etag")
            .and_then(|t| t.to_str().ok())
            .unwrap_or_default()
            .to_owned())
    }
    /// Reads an object.
    pub async fn object(&self, hash: &str) -> Result<Option<Vec<u8>>, Error> {
        let r = self
            .client
            .get(format!("{}/objects/{hash}", self.base))
            .send()
            .await?;
        if r.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(r.error_for_status()?.bytes().await?.to_vec()))
    }
    /// Writes an object.
    pub async fn put_object(&self, hash: &str, body: &[u8]) -> Result<(), Error> {
        self.client
            .put(format!("{}/objects/{hash}", self.base))
            .body(body.to_vec())
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }
    /// Lists VMs.
    pub async fn vms(&self) -> Result<Vec<ListedVm>, Error> {
        Ok(self
            .client
            .get(format!("{}/vms", self.base))
            .send()
            .await?
            .error_for_status()?
            .json()
            .await?)
    }
}
