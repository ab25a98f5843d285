//! Membership messages between VMs over UDP.
use chervildrift_core::membership::Message;
use chervildrift_core::types::Vm;
use quick_error::quick_error;
use std::net::SocketAddr;
use tokio::sync::mpsc;
quick_error! {
    /// Error.
    #[derive(Debug)]
    pub enum Error {
        /// Bind.
        Bind(err: std::io::Error) { display("{}", err) source(err) } }
}
/// Options.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address.
    pub address: SocketAddr,
    /// Name.
    pub name: Vm,
    /// Key.
    pub key: crate::peer::FleetKey,
}
/// Handle.
#[derive(Clone, Debug)]
pub struct Handle {
    _keep: mpsc::Sender<(SocketAddr, Message)>,
}
impl Handle {
    /// Sends.
    pub fn send(&self, _to: SocketAddr, _message: &Message) {}
}
/// Binds.
pub fn bind(
    _options: Options,
    inbound: mpsc::Sender<(SocketAddr, Message)>,
) -> Result<Handle, Error> {
    Ok(Handle { _keep: inbound })
}
