//! Single requests to the platform.

use std::net::SocketAddr;

use reqwest::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url, redirect};
use serde::de::DeserializeOwned;

use super::{Condition, Error, Limits, Tag};

/// HTTP client of the platform at one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client,
    base: Url,
}

impl HttpClient {
    /// Creates the client.
    pub fn new(address: SocketAddr, limits: &Limits) -> Result<Self, Error> {
        let client = Client::builder()
            .connect_timeout(limits.connect_timeout)
            .timeout(limits.request_timeout)
            .redirect(redirect::Policy::none())
            // The platform is addressed by IP; proxies of the environment aren't meant for it.
            .no_proxy()
            .build()
            .map_err(|error| Error::Setup(error.to_string()))?;
        let base = Url::parse(&format!("http://{address}"))
            .map_err(|error| Error::Setup(error.to_string()))?;
        Ok(Self { client, base })
    }

    /// Builds a request to a path, whose segments may contain any characters.
    pub fn request(&self, method: Method, segments: &[&str]) -> Result<RequestBuilder, Error> {
        Ok(self.client.request(method, self.url(segments)?))
    }

    /// Builds a read with query parameters.
    pub fn get_with_query(
        &self,
        segments: &[&str],
        pairs: &[(&str, &str)],
    ) -> Result<RequestBuilder, Error> {
        let mut url = self.url(segments)?;
        url.query_pairs_mut().extend_pairs(pairs);
        Ok(self.client.get(url))
    }

    fn url(&self, segments: &[&str]) -> Result<Url, Error> {
        if segments
            .iter()
            .any(|segment| matches!(*segment, "" | "." | ".."))
        {
            return Err(Error::InvalidName);
        }
        let mut url = self.base.clone();
        url.path_segments_mut()
            .map_err(|()| Error::InvalidName)?
            .clear()
            .extend(segments);
        Ok(url)
    }
}

/// Adds the header of a condition to a request.
pub fn with_condition(request: RequestBuilder, condition: &Condition) -> RequestBuilder {
    match condition {
        Condition::Always => request,
        Condition::Absent => request.header(IF_NONE_MATCH, "*"),
        Condition::Unchanged(tag) => request.header(IF_MATCH, tag.as_str()),
    }
}

/// Sends a read request.
pub async fn send_read(request: RequestBuilder) -> Result<Response, Error> {
    let response_result = request.send().await.map_err(|error| {
        if error.is_connect() {
            Error::Unavailable
        } else {
            Error::NoAnswer
        }
    });
    check_available(response_result?)
}

/// Sends a write request.
///
/// Its outcome is unknown after a server error, and after a lost response unless connecting failed.
pub async fn send_write(request: RequestBuilder) -> Result<Response, Error> {
    let response_result = request.send().await.map_err(|error| {
        if error.is_connect() || error.is_builder() {
            Error::Unavailable
        } else {
            Error::Unknown
        }
    });
    let response = check_available(response_result?)?;
    if response.status().is_server_error() {
        return Err(Error::Unknown);
    }
    Ok(response)
}

/// Returns the response unless it says that the platform is unavailable.
fn check_available(response: Response) -> Result<Response, Error> {
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Unavailable);
    }
    Ok(response)
}

/// Returns the error for a response with an unexpected status.
pub fn rejection(response: &Response) -> Error {
    Error::Rejected(response.status().as_u16())
}

/// Returns the entity tag of a response, if it has one.
pub fn entity_tag(response: &Response) -> Option<Tag> {
    let tag = response.headers().get(ETAG)?.to_str().ok()?;
    Some(Tag::from(tag.to_owned()))
}

/// Reads the body of a response to a read, up to `limit` bytes.
pub async fn read_body(mut response: Response, limit: usize) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok().ok_or(Error::NoAnswer)? {
        if body.len() + chunk.len() > limit {
            return Err(Error::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Reads and parses a JSON body of up to `limit` bytes.
pub async fn read_json<T: DeserializeOwned>(response: Response, limit: usize) -> Result<T, Error> {
    let body = read_body(response, limit).await?;
    serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
}
