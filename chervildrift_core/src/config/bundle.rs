//! Bundle of all published declarations, with a canonical encoding.

use serde::{Deserialize, Serialize};

use super::{Declaration, Error};

/// All published declarations, sorted by service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    declarations: Vec<Declaration>,
}

impl Bundle {
    /// Creates a bundle of declarations; fails if two declare the same service.
    pub fn collect(declarations: impl IntoIterator<Item = Declaration>) -> Result<Self, Error> {
        let mut declarations: Vec<Declaration> = declarations.into_iter().collect();
        declarations.sort_by(|a, b| a.service.cmp(&b.service));
        let duplicate = declarations
            .windows(2)
            .find(|pair| pair[0].service == pair[1].service);
        match duplicate {
            Some(pair) => Err(Error::Duplicate(pair[0].service.to_string())),
            None => Ok(Self { declarations }),
        }
    }

    /// Decodes a bundle from its canonical encoding.
    pub fn decode(body: &[u8]) -> Result<Self, Error> {
        let bundle: Self = serde_json::from_slice(body)?;
        Self::collect(bundle.declarations)
    }

    /// Returns the canonical encoding, which the bundle's hash is computed from.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Returns the declarations, sorted by service.
    #[must_use]
    pub fn declarations(&self) -> &[Declaration] {
        &self.declarations
    }

    /// Returns the declaration of a service.
    #[must_use]
    pub fn declaration(&self, name: &str) -> Option<&Declaration> {
        let index = self
            .declarations
            .binary_search_by(|it| it.service.as_str().cmp(name));
        index.ok().map(|index| &self.declarations[index])
    }
}
