//! Objects of the object store, which are named by their SHA-256 hash.

use chervildrift_core::generation::BundleHash;
use reqwest::{Method, StatusCode};

use super::request::{read_body, rejection, send_read, send_write};
use super::{Error, Platform};

impl Platform {
    /// Reads an object, if it exists, and verifies its hash.
    pub async fn get_object(&self, hash: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = || self.get_object_once(hash);
        self.backoff.retry(&self.limits, request).await
    }

    async fn get_object_once(&self, hash: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = self.http.request(Method::GET, &["objects", hash])?;
        let response = send_read(request).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            _ => return Err(rejection(&response)),
        }
        let object = read_body(response, self.limits.object_bytes).await?;
        if BundleHash::of(&object).to_string() != hash {
            return Err(Error::Malformed("an object does not match its hash".into()));
        }
        Ok(Some(object))
    }

    /// Writes an object and returns its hash.
    ///
    /// Unlike the write of a record it is retried after a lost response, since an object with this
    /// hash always has the same content.
    pub async fn put_object(&self, object: &[u8]) -> Result<BundleHash, Error> {
        if object.len() > self.limits.object_bytes {
            return Err(Error::TooLarge(self.limits.object_bytes));
        }
        let hash = BundleHash::of(object);
        let request = || self.put_object_once(hash, object);
        self.backoff.retry(&self.limits, request).await?;
        Ok(hash)
    }

    async fn put_object_once(&self, hash: BundleHash, object: &[u8]) -> Result<(), Error> {
        let hash = hash.to_string();
        let request = self.http.request(Method::PUT, &["objects", &hash])?;
        let response = send_write(request.body(object.to_vec())).await?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(rejection(&response))
        }
    }
}
