//! Test helpers: the demo fleet and a caller of it.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::SocketAddr;

use chervildrift::try_out::DemoFleet;
use chervildrift_core::config::LogLevel;
use serde_json::{Value, json};

/// Caller that keeps its session token.
#[derive(Debug)]
pub struct Session {
    client: reqwest::Client,
    credential: String,
    pub token: Option<String>,
}

/// Response of a VM.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Value,
}

impl Response {
    /// Returns the state of a failed request.
    pub fn state(&self) -> &str {
        self.body["state"].as_str().unwrap_or_default()
    }

    /// Returns the last part of the problem's type.
    pub fn problem(&self) -> &str {
        let kind = self.body["type"].as_str().unwrap_or_default();
        kind.rsplit(':').next().unwrap_or_default()
    }
}

/// Starts the demo fleet on free ports.
pub async fn spawn_demo() -> DemoFleet {
    DemoFleet::spawn(0, LogLevel::Error)
        .await
        .expect("the demo fleet starts")
}

impl Session {
    pub fn new(credential: &str) -> Self {
        let client = reqwest::Client::new();
        Self {
            client,
            credential: credential.to_owned(),
            token: None,
        }
    }

    /// Sends a body to a path and keeps the session token of the response.
    pub async fn post(&mut self, vm: SocketAddr, path: &str, body: impl Into<String>) -> Response {
        let request = self
            .client
            .post(format!("http://{vm}{path}"))
            .body(body.into());
        self.send(request).await
    }

    pub async fn get(&mut self, vm: SocketAddr, path: &str) -> Response {
        let request = self.client.get(format!("http://{vm}{path}"));
        self.send(request).await
    }

    async fn send(&mut self, request: reqwest::RequestBuilder) -> Response {
        let mut request = request.bearer_auth(&self.credential);
        if let Some(token) = &self.token {
            request = request.header("chervildrift-session", token);
        }
        let response = request.send().await.expect("the VM answers");
        let status = response.status().as_u16();
        let token = response.headers().get("chervildrift-session");
        if let Some(token) = token.and_then(|it| it.to_str().ok()) {
            self.token = Some(token.to_owned());
        }
        Response {
            status,
            body: response.json().await.unwrap_or_default(),
        }
    }

    /// Runs one statement as a request of `kind`.
    pub async fn run(&mut self, vm: SocketAddr, kind: &str, sql: &str, params: Value) -> Response {
        let body = json!({ "key": "a", "statements": [{ "sql": sql, "params": params }] });
        self.post(vm, &format!("/v1/demo/{kind}"), body.to_string())
            .await
    }
}
