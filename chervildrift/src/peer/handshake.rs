//! Handshake in which both sides of a connection prove that they have the fleet key.
//!
//! A proof is an HMAC over the versions, names and nonces of both sides and a label of the proving
//! side, so it can neither be replayed nor reflected. The handshake precedes the RPC system:
//! without the key, a client can only make the server read messages of at most
//! [`MAX_HANDSHAKE_WORDS`].

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp_futures::serialize::{read_message, write_message};
use chervildrift_core::types::Vm;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

use super::peer_capnp as wire;
use super::{Error, FleetKey};

/// Maximum size of a handshake message in words of 8 bytes.
const MAX_HANDSHAKE_WORDS: usize = 256;

/// Length of the random nonce that each side contributes.
const NONCE_BYTES: usize = 32;

/// Purpose from which the handshake key is derived.
const KEY_PURPOSE: &str = "chervildrift peer hello";

/// Label in the proof of the listening side.
const LISTENER_LABEL: &[u8] = b"listener";

/// Label in the proof of the connecting side.
const CONNECTOR_LABEL: &[u8] = b"connector";

/// Identity that a VM states and proves in the handshake.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Key for handshake proofs.
    key: FleetKey,
    /// Name of the VM.
    name: Vm,
    /// Version of the peer protocol.
    version: u32,
}

/// Values that one side contributes to the handshake; both proofs cover them.
#[derive(Debug)]
struct HandshakeData {
    version: u32,
    name: Vm,
    nonce: Vec<u8>,
}

impl Identity {
    /// Creates the identity of this VM.
    pub fn new(key: &FleetKey, name: Vm, version: u32) -> Result<Self, Error> {
        Ok(Self {
            key: key.derive(KEY_PURPOSE)?,
            name,
            version,
        })
    }

    /// Performs the handshake of the connecting side.
    pub async fn connect<S, T>(&self, reader: &mut S, writer: &mut T) -> Result<(), Error>
    where
        S: AsyncRead + Unpin,
        T: AsyncWrite + Unpin,
    {
        let own = self.new_handshake_data()?;
        send(writer, &hello_message(&own)).await?;
        let message = receive(reader).await?;
        let (peer, proof) = read_welcome(&message).map_err(unauthenticated)?;
        self.verify_proof(LISTENER_LABEL, &own, &peer, &proof)?;
        send(writer, &self.proof_message(CONNECTOR_LABEL, &own, &peer)).await?;
        let message = receive(reader).await?;
        read_verdict(&message).map_err(unauthenticated)
    }

    /// Performs the handshake of the listening side and returns the name of the peer.
    pub async fn accept<S, T>(&self, reader: &mut S, writer: &mut T) -> Result<Vm, Error>
    where
        S: AsyncRead + Unpin,
        T: AsyncWrite + Unpin,
    {
        let message = receive(reader).await?;
        let peer = read_hello(&message).map_err(unauthenticated)?;
        let own = self.new_handshake_data()?;
        send(writer, &self.welcome_message(&peer, &own)).await?;
        let message = receive(reader).await?;
        let proof = read_proof(&message).map_err(unauthenticated)?;
        let proof_result = self.verify_proof(CONNECTOR_LABEL, &peer, &own, &proof);
        send(writer, &verdict_message(proof_result.is_ok())).await?;
        proof_result.map(|()| peer.name)
    }

    fn new_handshake_data(&self) -> Result<HandshakeData, Error> {
        let mut nonce = vec![0; NONCE_BYTES];
        getrandom::fill(&mut nonce).map_err(|error| Error::Failed(error.to_string()))?;
        Ok(HandshakeData {
            version: self.version,
            name: self.name.clone(),
            nonce,
        })
    }

    fn sign(&self, label: &[u8], connector: &HandshakeData, listener: &HandshakeData) -> [u8; 32] {
        let versions = [
            connector.version.to_le_bytes(),
            listener.version.to_le_bytes(),
        ];
        self.key
            .prove(&proof_input(label, &versions, connector, listener))
    }

    fn verify_proof(
        &self,
        label: &[u8],
        connector: &HandshakeData,
        listener: &HandshakeData,
        proof: &[u8],
    ) -> Result<(), Error> {
        let versions = [
            connector.version.to_le_bytes(),
            listener.version.to_le_bytes(),
        ];
        let input = proof_input(label, &versions, connector, listener);
        let valid = proof.len() == super::key::PROOF_BYTES && self.key.verify(&input, proof);
        if valid {
            Ok(())
        } else {
            Err(Error::Unauthenticated)
        }
    }

    fn welcome_message(&self, peer: &HandshakeData, own: &HandshakeData) -> Builder<HeapAllocator> {
        let proof = self.sign(LISTENER_LABEL, peer, own);
        let mut message = Builder::new_default();
        let mut welcome = message.init_root::<wire::welcome::Builder<'_>>();
        welcome.set_version(own.version);
        welcome.set_name(own.name.as_str());
        welcome.set_nonce(&own.nonce);
        welcome.set_proof(&proof);
        message
    }

    fn proof_message(
        &self,
        label: &[u8],
        connector: &HandshakeData,
        listener: &HandshakeData,
    ) -> Builder<HeapAllocator> {
        let proof = self.sign(label, connector, listener);
        let mut message = Builder::new_default();
        message
            .init_root::<wire::proof::Builder<'_>>()
            .set_proof(&proof);
        message
    }
}

/// Lists the byte strings that a proof covers.
fn proof_input<'a>(
    label: &'a [u8],
    versions: &'a [[u8; 4]; 2],
    connector: &'a HandshakeData,
    listener: &'a HandshakeData,
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

fn hello_message(data: &HandshakeData) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    let mut hello = message.init_root::<wire::hello::Builder<'_>>();
    hello.set_version(data.version);
    hello.set_name(data.name.as_str());
    hello.set_nonce(&data.nonce);
    message
}

fn verdict_message(accepted: bool) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    message
        .init_root::<wire::verdict::Builder<'_>>()
        .set_accepted(accepted);
    message
}

fn read_hello(message: &Reader<OwnedSegments>) -> capnp::Result<HandshakeData> {
    let hello = message.get_root::<wire::hello::Reader<'_>>()?;
    Ok(HandshakeData {
        version: hello.get_version(),
        name: Vm::from(hello.get_name()?.to_str()?),
        nonce: checked_nonce(hello.get_nonce()?)?,
    })
}

fn read_welcome(message: &Reader<OwnedSegments>) -> capnp::Result<(HandshakeData, Vec<u8>)> {
    let welcome = message.get_root::<wire::welcome::Reader<'_>>()?;
    let data = HandshakeData {
        version: welcome.get_version(),
        name: Vm::from(welcome.get_name()?.to_str()?),
        nonce: checked_nonce(welcome.get_nonce()?)?,
    };
    Ok((data, welcome.get_proof()?.to_vec()))
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
        Err(capnp::Error::failed("proof rejected".into()))
    }
}

/// Rejects a nonce of any length but [`NONCE_BYTES`].
fn checked_nonce(bytes: &[u8]) -> capnp::Result<Vec<u8>> {
    if bytes.len() == NONCE_BYTES {
        Ok(bytes.to_vec())
    } else {
        Err(capnp::Error::failed("invalid nonce length".into()))
    }
}

fn unauthenticated(_: capnp::Error) -> Error {
    Error::Unauthenticated
}

async fn send<T>(writer: &mut T, message: &Builder<HeapAllocator>) -> Result<(), Error>
where
    T: AsyncWrite + Unpin,
{
    write_message(&mut *writer, message)
        .await
        .map_err(convert_error)?;
    writer
        .flush()
        .await
        .map_err(|error| convert_error(error.into()))
}

async fn receive<S>(reader: &mut S) -> Result<Reader<OwnedSegments>, Error>
where
    S: AsyncRead + Unpin,
{
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_HANDSHAKE_WORDS));
    read_message(reader, options).await.map_err(convert_error)
}

/// Distinguishes a lost connection from bytes that are no handshake message.
#[expect(
    clippy::needless_pass_by_value,
    reason = "serves as a function for map_err"
)]
fn convert_error(error: capnp::Error) -> Error {
    match error.kind {
        capnp::ErrorKind::Disconnected | capnp::ErrorKind::PrematureEndOfFile => {
            Error::Disconnected { sent: false }
        }
        _ => Error::Unauthenticated,
    }
}
