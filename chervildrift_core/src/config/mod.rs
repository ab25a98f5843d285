//! Settings of a VM and declarations of the operators.
//!
//! [`Settings`] mirrors the settings file of one VM. A [`Declaration`] is what one operator file
//! says of one service; all published declarations together form a [`Bundle`].

mod bundle;
mod check;
mod declaration;
mod error;
mod explain;
mod file;
mod relay;
mod settings;

pub use self::bundle::Bundle;
pub use self::check::{Finding, check, check_relay, check_settings};
pub use self::declaration::{
    Access, Declaration, Floors, GroupSpec, KindSpec, Objective, Routing, UpstreamSpec,
};
pub use self::error::Error;
pub use self::explain::explain;
pub use self::relay::RelaySettings;
pub use self::settings::{
    Callers, Credential, Keys, Log, LogFormat, LogLevel, Operators, Peers, Platform, Settings,
    Stop, UpstreamLogin,
};
