//! Conversion of configuration bundles and patches to and from Cap'n Proto.

use std::sync::Arc;

use capnp::{Error, Result, struct_list, text};
use chervildrift_core::generation::{Answer, Body, BundleHash, Patch};

use super::peer_capnp as wire;

/// Writes the answer to a request for a bundle.
pub fn write_bundle(answer: &Answer, mut to: wire::bundle::Builder<'_>) {
    match answer {
        Answer::Unknown => to.set_unknown(()),
        Answer::Busy => to.set_busy(()),
        Answer::Body(Body::Whole(bytes)) => to.set_whole(bytes),
        Answer::Body(Body::Patches(patches)) => {
            write_patches(patches, to.init_patches(patches.len() as u32));
        }
    }
}

fn write_patches(patches: &[Patch], mut to: struct_list::Builder<'_, wire::patch::Owned>) {
    for (index, patch) in patches.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_base(patch.base.to_string());
        to.set_hash(patch.hash.to_string());
        to.set_prefix(patch.prefix as u64);
        to.set_suffix(patch.suffix as u64);
        to.set_middle(&patch.middle);
    }
}

/// Reads the answer; one that only newer versions know is treated as unknown.
pub fn read_bundle(from: wire::bundle::Reader<'_>) -> Result<Answer> {
    use wire::bundle;

    Ok(match from.which() {
        Ok(bundle::Unknown(())) | Err(capnp::NotInSchema(_)) => Answer::Unknown,
        Ok(bundle::Busy(())) => Answer::Busy,
        Ok(bundle::Whole(bytes)) => Answer::Body(Body::Whole(Arc::from(bytes?))),
        Ok(bundle::Patches(patches)) => Answer::Body(Body::Patches(read_patches(patches?)?)),
    })
}

fn read_patches(from: struct_list::Reader<'_, wire::patch::Owned>) -> Result<Vec<Patch>> {
    from.iter().map(read_patch).collect()
}

fn read_patch(from: wire::patch::Reader<'_>) -> Result<Patch> {
    Ok(Patch {
        base: read_hash(from.get_base())?,
        hash: read_hash(from.get_hash())?,
        prefix: to_usize(from.get_prefix())?,
        suffix: to_usize(from.get_suffix())?,
        middle: Arc::from(from.get_middle()?),
    })
}

fn to_usize(length: u64) -> Result<usize> {
    usize::try_from(length).map_err(|error| Error::failed(error.to_string()))
}

/// Parses the hash of a bundle.
pub fn read_hash(text: Result<text::Reader<'_>>) -> Result<BundleHash> {
    let hash = text?.to_str()?.parse::<BundleHash>();
    hash.map_err(|error| Error::failed(error.to_string()))
}

/// Reads the hash of the bundle that the requesting VM already has.
pub fn read_base(from: wire::peer::bundle_params::Reader<'_>) -> Result<Option<BundleHash>> {
    let base = from.has_base().then(|| read_hash(from.get_base()));
    base.transpose()
}
