//! Records of the table service.

use derive_more::{Display, From};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::request::{entity_tag, read_json, rejection, send_read, send_write, with_condition};
use super::{Error, Platform};

/// Entity tag of a record; it changes with every write.
#[derive(Clone, Debug, Display, Eq, From, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tag(String);

impl Tag {
    /// Returns the tag as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Condition under which a write or delete takes effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// No condition.
    Always,
    /// The record does not exist.
    Absent,
    /// The record still has this tag.
    Unchanged(Tag),
}

/// Value of a record and its tag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaggedRecord<T> {
    /// Tag of the record.
    pub tag: Tag,
    /// Deserialized value.
    pub value: T,
}

/// Record in the result of a scan.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct ListedRecord<T> {
    /// Key of the record.
    pub key: String,
    /// Tag of the record.
    pub tag: Tag,
    /// Deserialized value.
    pub value: T,
}

/// Result of a write that the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect, and the record has this tag now.
    Done(Tag),
    /// The condition failed; the record has this tag, if it exists.
    Conflict(Option<Tag>),
}

/// Result of a delete that the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeleteResult {
    /// The record was deleted.
    Done,
    /// The record did not exist.
    Missing,
    /// The condition failed; the record has this tag, if it exists.
    Conflict(Option<Tag>),
}

/// Selection of the records that a scan returns.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScanQuery<'a> {
    /// Prefix of their keys.
    pub prefix: &'a str,
    /// Key after which the scan starts.
    pub after: Option<&'a str>,
    /// Maximum number of records; if there is none, the platform's own limit applies.
    pub limit: Option<usize>,
}

impl Platform {
    /// Reads a record, if it exists.
    pub async fn read<T: DeserializeOwned>(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<TaggedRecord<T>>, Error> {
        let request = || self.read_once(table, key);
        self.backoff.retry(&self.limits, request).await
    }

    async fn read_once<T: DeserializeOwned>(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<TaggedRecord<T>>, Error> {
        let request = self.http.request(Method::GET, &["tables", table, key])?;
        let response = send_read(request).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            _ => return Err(rejection(&response)),
        }
        let tag = entity_tag(&response).ok_or_else(|| Error::Malformed("no entity tag".into()))?;
        let value = read_json(response, self.limits.record_bytes).await?;
        Ok(Some(TaggedRecord { tag, value }))
    }

    /// Writes a record without retries; after [`Error::Unknown`] the caller reads it back.
    pub async fn write<T: Serialize + Sync>(
        &self,
        table: &str,
        key: &str,
        value: &T,
        condition: &Condition,
    ) -> Result<WriteResult, Error> {
        let body = encode(value, self.limits.record_bytes)?;
        let request = self.http.request(Method::PUT, &["tables", table, key])?;
        let request = with_condition(request, condition)
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        let response = send_write(request).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => {
                // Without the new tag the caller has to read the record back.
                entity_tag(&response)
                    .map(WriteResult::Done)
                    .ok_or(Error::Unknown)
            }
            StatusCode::PRECONDITION_FAILED => Ok(WriteResult::Conflict(entity_tag(&response))),
            _ => Err(rejection(&response)),
        }
    }

    /// Deletes a record without retries; after [`Error::Unknown`] the caller reads it back.
    pub async fn delete(
        &self,
        table: &str,
        key: &str,
        condition: &Condition,
    ) -> Result<DeleteResult, Error> {
        let segments = ["tables", table, key];
        let request = self.http.request(Method::DELETE, &segments)?;
        let response = send_write(with_condition(request, condition)).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(DeleteResult::Done),
            StatusCode::NOT_FOUND => Ok(DeleteResult::Missing),
            StatusCode::PRECONDITION_FAILED => Ok(DeleteResult::Conflict(entity_tag(&response))),
            _ => Err(rejection(&response)),
        }
    }

    /// Lists records of a table in the order of their keys.
    pub async fn scan<T: DeserializeOwned>(
        &self,
        table: &str,
        scan: ScanQuery<'_>,
    ) -> Result<Vec<ListedRecord<T>>, Error> {
        let request = || self.scan_once(table, scan);
        self.backoff.retry(&self.limits, request).await
    }

    async fn scan_once<T: DeserializeOwned>(
        &self,
        table: &str,
        scan: ScanQuery<'_>,
    ) -> Result<Vec<ListedRecord<T>>, Error> {
        let limit = scan.limit.map(|limit| limit.to_string());
        let mut pairs = vec![("prefix", scan.prefix)];
        pairs.extend(scan.after.map(|after| ("after", after)));
        pairs.extend(limit.as_deref().map(|limit| ("limit", limit)));
        let request = self.http.get_with_query(&["tables", table], &pairs)?;
        let response = send_read(request).await?;
        if response.status() != StatusCode::OK {
            return Err(rejection(&response));
        }
        read_json(response, self.limits.list_bytes).await
    }
}

fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>, Error> {
    let body = serde_json::to_vec(value).map_err(|error| Error::Malformed(error.to_string()))?;
    if body.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(body)
}
