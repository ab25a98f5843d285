//! Authentication of callers by their credentials.

use std::collections::HashMap;

use chervildrift_core::config::Credential;
use chervildrift_core::types::{Caller, Service};
use sha2::{Digest, Sha256};

/// Callers, indexed by the SHA-256 hash of their credential.
///
/// Credentials are random and long, so one round of SHA-256 is enough. The lookup by hash reveals
/// nothing about how closely a wrong credential matches.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    by_hash: HashMap<String, (Caller, Service)>,
}

impl Credentials {
    /// Indexes the credentials of the settings.
    #[must_use]
    pub fn new(list: &[Credential]) -> Self {
        let entry = |it: &Credential| {
            (
                it.sha256_hex.to_ascii_lowercase(),
                (it.caller.clone(), it.service.clone()),
            )
        };
        Self {
            by_hash: list.iter().map(entry).collect(),
        }
    }

    /// Returns the caller and the service that an `Authorization` header authenticates.
    #[must_use]
    pub fn verify(&self, header: Option<&str>) -> Option<&(Caller, Service)> {
        let secret = header?.strip_prefix("Bearer ")?.trim();
        self.by_hash.get(&hex::encode(Sha256::digest(secret)))
    }
}
