//! Operator file as parsed, with the position of each value.

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::{Access, Routing};
use crate::types::Rank;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub service: Spanned<String>,
    #[serde(default = "default_routing")]
    pub routing: Routing,
    pub floors_percent: Option<Spanned<FileFloors>>,
    pub instances: Spanned<Vec<FileInstance>>,
    pub kinds: Spanned<Vec<FileKind>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileFloors {
    pub urgent: u8,
    pub routine: u8,
    pub bulk: u8,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileInstance {
    pub name: Spanned<String>,
    pub upstreams: Spanned<Vec<FileUpstream>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileUpstream {
    pub name: Spanned<String>,
    pub address: Spanned<String>,
    pub zone: Spanned<String>,
    pub slots: Spanned<u16>,
    pub connections: Spanned<u16>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileKind {
    pub name: Spanned<String>,
    pub rank: Rank,
    pub access: Access,
    pub share: Option<Spanned<u32>>,
    pub deadline_ms: Spanned<u64>,
    pub max_age_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub repeatable: bool,
    pub concurrency: Option<Spanned<u16>>,
    pub objective: Option<FileObjective>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileObjective {
    pub target_percent: Spanned<f64>,
    pub within_ms: Spanned<u64>,
}

const fn default_routing() -> Routing {
    Routing::Hash
}
