//! Names of VMs, services, upstreams and callers.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(Self::from)
            }
        }
    )*};
}

names! {
    /// Name of one VM of the system.
    Vm;
    /// Name of an availability zone.
    Zone;
    /// Name of a service whose database groups are served.
    Service;
    /// Name of one instance of a service; each instance has one database group.
    Instance;
    /// Name of an upstream.
    Upstream;
    /// Name of a kind of requests, for which rank, deadline and limits are declared.
    Kind;
    /// Name of a caller.
    Caller;
    /// Name of an organisation, to which callers belong.
    Organisation;
}

/// Database group, which belongs to one instance of a service.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{service}/{instance}")]
pub struct GroupId {
    /// Service that the group belongs to.
    pub service: Service,
    /// Instance of the service.
    pub instance: Instance,
}
