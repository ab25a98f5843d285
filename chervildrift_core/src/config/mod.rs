//! Settings of a VM and declarations of the operators.
//!
//! [`Settings`] mirrors the settings file of one VM. A [`Declaration`] is what one operator file
//! says of one service; all published declarations together form a [`Bundle`].

mod bundle;
mod check;
mod declaration;
mod error;
mod file;
mod reference;
mod relay;
mod settings;

pub use self::bundle::Bundle;
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
