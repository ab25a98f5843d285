//! HTTP listeners for callers and for operators.

mod accept_limit;
mod auth;
mod body;
mod callers;
mod memory;
mod operators;
mod request;
mod response;

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

pub use self::auth::Credentials;
pub use self::callers::{CallersHandle, Submit, bind as bind_callers};
pub use self::operators::{OperatorEndpoints, OperatorsHandle, bind as bind_operators};

quick_error! {
    /// Error of starting a listener.
    #[derive(Debug)]
    pub enum Error {
        /// The address can't be bound.
        Bind(address: SocketAddr, err: io::Error) {
            display("cannot listen on {address}: {err}")
            source(err)
        }
    }
}

/// Function that stops a running server; its argument says whether open connections may finish.
#[derive(derive_more::Debug)]
#[debug("Stopper")]
struct Stopper(Box<dyn Fn(bool) + Send + Sync>);
