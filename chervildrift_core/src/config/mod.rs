//! Settings of a VM and the operators' declarations of services.
//!
//! [`Settings`] is the settings file of one VM. A [`Declaration`] is the content of one operator
//! file, which describes one service; a [`Bundle`] holds all published declarations.

mod bundle;
mod caller_limits;
mod check;
mod declaration;
mod error;
mod file;
mod reference;
mod relay;
mod settings;

pub use self::bundle::Bundle;
pub use self::caller_limits::{CallerLimits, SocketShares};
pub use self::check::{Finding, check_operator_file, check_relay_settings, check_settings};
pub use self::declaration::{
    Access, Declaration, GroupSpec, GuaranteedShares, KindSpec, Objective, Routing, UpstreamSpec,
};
pub use self::error::Error;
pub use self::reference::settings_reference;
pub use self::relay::RelaySettings;
pub use self::settings::{
    Callers, Credential, Keys, Log, LogFormat, LogLevel, Operators, Peers, Platform, Settings,
    Stop, UpstreamLogin,
};
