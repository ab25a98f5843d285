//! Mutual proof of the fleet key at the start of a connection.
//!
//! Each side proves the key over both sides' versions, names and nonces, with a label of its own,
//! so that a proof can neither be replayed nor reflected. These messages precede the RPC system:
//! whoever does not hold the key reaches no more than a message of [`HELLO_WORDS`].

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp_futures::serialize::{read_message, write_message};
use chervildrift_core::types::Vm;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

use super::peer_capnp as wire;
use super::{Error, FleetKey};

/// Greatest size of a hello message in words of 8 bytes.
const HELLO_WORDS: usize = 256;

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 32;

/// Purpose of the derived key.
const PURPOSE: &str = "chervildrift peer hello";

/// Label of the proof of the side that listens.
const LISTENER: &[u8] = b"listener";

/// Label of the proof of the side that connects.
const CONNECTOR: &[u8] = b"connector";

/// Who a VM claims to be in its hello.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Key for hello proofs.
    key: FleetKey,
    /// Name of the VM.
    name: Vm,
    /// Version of the schema.
    version: u32,
}

/// One side's part of the hello, which both proofs cover.
#[derive(Debug)]
struct Part {
    version: u32,
    name: Vm,
    nonce: Vec<u8>,
}

impl Identity {
    /// Opens the identity of this VM.
    pub fn open(key: &FleetKey, name: Vm, version: u32) -> Result<Self, Error> {
        Ok(Self {
            key: key.derive(PURPOSE)?,
            name,
            version,
        })
    }

    /// Runs the hello of the side that connects.
    pub async fn connect<S, T>(&self, reader: &mut S, writer: &mut T) -> Result<(), Error>
    where
        S: AsyncRead + Unpin,
        T: AsyncWrite + Unpin,
    {
        let mine = self.part()?;
        send(writer, &hello(&mine)).await?;
        let message = receive(reader).await?;
        let (theirs, proof) = read_welcome(&message).map_err(foreign)?;
        self.check(LISTENER, &mine, &theirs, &proof)?;
        send(writer, &self.proof(CONNECTOR, &mine, &theirs)).await?;
        let message = receive(reader).await?;
        read_verdict(&message).map_err(foreign)
    }

    /// Runs the hello of the side that listens and returns the name of the peer.
    pub async fn accept<S, T>(&self, reader: &mut S, writer: &mut T) -> Result<Vm, Error>
    where
        S: AsyncRead + Unpin,
        T: AsyncWrite + Unpin,
    {
        let message = receive(reader).await?;
        let theirs = read_hello(&message).map_err(foreign)?;
        let mine = self.part()?;
        send(writer, &self.welcome(&theirs, &mine)).await?;
        let message = receive(reader).await?;
        let proof = read_proof(&message).map_err(foreign)?;
        let checked = self.check(CONNECTOR, &theirs, &mine, &proof);
        send(writer, &verdict(checked.is_ok())).await?;
        checked.map(|()| theirs.name)
    }

    fn part(&self) -> Result<Part, Error> {
        let mut nonce = vec![0; NONCE_BYTES];
        getrandom::fill(&mut nonce).map_err(|error| Error::Failed(error.to_string()))?;
        Ok(Part {
            version: self.version,
            name: self.name.clone(),
            nonce,
        })
    }

    fn sign(&self, label: &[u8], connector: &Part, listener: &Part) -> [u8; 32] {
        let versions = [
            connector.version.to_le_bytes(),
            listener.version.to_le_bytes(),
        ];
        self.key
            .prove(&parts(label, &versions, connector, listener))
    }

    fn check(
        &self,
        label: &[u8],
        connector: &Part,
        listener: &Part,
        proof: &[u8],
    ) -> Result<(), Error> {
        let versions = [
            connector.version.to_le_bytes(),
            listener.version.to_le_bytes(),
        ];
        let parts = parts(label, &versions, connector, listener);
        let valid = proof.len() == super::key::PROOF_BYTES && self.key.verify(&parts, proof);
        if valid { Ok(()) } else { Err(Error::Foreign) }
    }

    fn welcome(&self, theirs: &Part, mine: &Part) -> Builder<HeapAllocator> {
        let proof = self.sign(LISTENER, theirs, mine);
        let mut message = Builder::new_default();
        let mut welcome = message.init_root::<wire::welcome::Builder<'_>>();
        welcome.set_version(mine.version);
        welcome.set_name(mine.name.as_str());
        welcome.set_nonce(&mine.nonce);
        welcome.set_proof(&proof);
        message
    }

    fn proof(&self, label: &[u8], connector: &Part, listener: &Part) -> Builder<HeapAllocator> {
        let proof = self.sign(label, connector, listener);
        let mut message = Builder::new_default();
        message
            .init_root::<wire::proof::Builder<'_>>()
            .set_proof(&proof);
        message
    }
}

/// Lists what a proof covers.
fn parts<'a>(
    label: &'a [u8],
    versions: &'a [[u8; 4]; 2],
    connector: &'a Part,
    listener: &'a Part,
) -> [&'a [u8]; 7] {
    [
        label,
        &versions[0],
        &versions[1],
        connector.name.as_str().as_bytes(),
        listener.name.as_str().as_bytes(),
        &connector.nonce,
        &listener.nonce,
    ]
}

fn hello(part: &Part) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    let mut hello = message.init_root::<wire::hello::Builder<'_>>();
    hello.set_version(part.version);
    hello.set_name(part.name.as_str());
    hello.set_nonce(&part.nonce);
    message
}

fn verdict(accepted: bool) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    message
        .init_root::<wire::verdict::Builder<'_>>()
        .set_accepted(accepted);
    message
}

fn read_hello(message: &Reader<OwnedSegments>) -> capnp::Result<Part> {
    let hello = message.get_root::<wire::hello::Reader<'_>>()?;
    Ok(Part {
        version: hello.get_version(),
        name: Vm::from(hello.get_name()?.to_str()?),
        nonce: nonce(hello.get_nonce()?)?,
    })
}

fn read_welcome(message: &Reader<OwnedSegments>) -> capnp::Result<(Part, Vec<u8>)> {
    let welcome = message.get_root::<wire::welcome::Reader<'_>>()?;
    let part = Part {
        version: welcome.get_version(),
        name: Vm::from(welcome.get_name()?.to_str()?),
        nonce: nonce(welcome.get_nonce()?)?,
    };
    Ok((part, welcome.get_proof()?.to_vec()))
}

fn read_proof(message: &Reader<OwnedSegments>) -> capnp::Result<Vec<u8>> {
    let proof = message.get_root::<wire::proof::Reader<'_>>()?;
    Ok(proof.get_proof()?.to_vec())
}

fn read_verdict(message: &Reader<OwnedSegments>) -> capnp::Result<()> {
    let verdict = message.get_root::<wire::verdict::Reader<'_>>()?;
    if verdict.get_accepted() {
        Ok(())
    } else {
        Err(capnp::Error::failed("not accepted".into()))
    }
}

/// Takes a nonce of the stated length only.
fn nonce(bytes: &[u8]) -> capnp::Result<Vec<u8>> {
    if bytes.len() == NONCE_BYTES {
        Ok(bytes.to_vec())
    } else {
        Err(capnp::Error::failed("wrong length of a nonce".into()))
    }
}

fn foreign(_: capnp::Error) -> Error {
    Error::Foreign
}

async fn send<T>(writer: &mut T, message: &Builder<HeapAllocator>) -> Result<(), Error>
where
    T: AsyncWrite + Unpin,
{
    write_message(&mut *writer, message).await.map_err(lost)?;
    writer.flush().await.map_err(|error| lost(error.into()))
}

async fn receive<S>(reader: &mut S) -> Result<Reader<OwnedSegments>, Error>
where
    S: AsyncRead + Unpin,
{
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(HELLO_WORDS));
    read_message(reader, options).await.map_err(lost)
}

/// Tells a lost connection from bytes that are no hello.
#[expect(
    clippy::needless_pass_by_value,
    reason = "serves as a function for map_err"
)]
fn lost(error: capnp::Error) -> Error {
    match error.kind {
        capnp::ErrorKind::Disconnected | capnp::ErrorKind::PrematureEndOfFile => {
            Error::Disconnected { sent: false }
        }
        _ => Error::Foreign,
    }
}
