//! Signed session tokens, which carry the position of a caller's last confirmed write between VMs.
//!
//! A token is encoded in the URL-safe base64 alphabet, so it fits into a header or a cookie without
//! escaping. A session that writes to several instances holds one token for each, joined by dots.

mod error;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smallvec::SmallVec;

use crate::types::{GroupId, Instance, LogPosition, Position, Service, Term};

pub use self::error::TokenError;

/// Version of the token layout, stored in the first byte of every token.
const LAYOUT_VERSION: u8 = 1;

/// Length of the HMAC-SHA-256 tag, in bytes.
const TAG_BYTES: usize = 32;

/// Maximum length of a session's encoded tokens; browsers drop cookies above 4,096 bytes.
const MAX_TEXT_BYTES: usize = 3_800;

/// Separator between the encoded tokens of one session.
const TOKEN_SEPARATOR: char = '.';

/// Tokens of one session, at most one for each instance.
pub type Tokens = SmallVec<[Token; 2]>;

/// Position of the last confirmed write of a session in one group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Database group that the write went to.
    pub group: GroupId,
    /// Log position that an upstream must cover to serve reads of the session.
    pub position: LogPosition,
}

/// Signs and verifies tokens with the fleet's key.
#[derive(Clone)]
pub struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for TokenSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TokenSigner").finish_non_exhaustive()
    }
}

impl TokenSigner {
    /// Creates a signer with a key from the settings.
    pub fn new(key: &[u8]) -> Result<Self, TokenError> {
        if key.is_empty() {
            return Err(TokenError::Key);
        }
        let mac = Hmac::new_from_slice(key).map_err(|_length| TokenError::Key)?;
        Ok(Self { mac })
    }

    /// Encodes and signs a token.
    #[must_use]
    pub fn sign(&self, token: &Token) -> String {
        let mut bytes = encode(token);
        let tag = self.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Encodes and signs all tokens of a session.
    #[must_use]
    pub fn sign_session(&self, tokens: &[Token]) -> String {
        let texts: Vec<_> = tokens.iter().map(|token| self.sign(token)).collect();
        texts.join(".")
    }

    /// Verifies one token of `service`.
    pub fn verify(&self, text: &str, service: &Service) -> Result<Token, TokenError> {
        let bytes = decode_text(text)?;
        let split = bytes.len().checked_sub(TAG_BYTES);
        let (body, tag) = bytes.split_at(split.ok_or(TokenError::Malformed)?);
        // Constant-time comparison.
        self.mac(body)
            .verify_slice(tag)
            .map_err(|_mismatch| TokenError::Forged)?;
        let token = decode(body).ok_or(TokenError::Malformed)?;
        if token.group.service != *service {
            return Err(TokenError::OtherService);
        }
        Ok(token)
    }

    /// Verifies all tokens of a session of `service`.
    pub fn verify_session(&self, text: &str, service: &Service) -> Result<Tokens, TokenError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TokenError::Malformed);
        }
        text.split(TOKEN_SEPARATOR)
            .map(|part| self.verify(part, service))
            .collect()
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(body);
        mac
    }
}

/// Raises the position of the token for the same group, or adds the token.
pub fn merge_token(tokens: &mut Tokens, token: Token) {
    match tokens
        .iter_mut()
        .find(|existing| existing.group == token.group)
    {
        Some(existing) => existing.position = existing.position.max(token.position),
        None => tokens.push(token),
    }
}

/// Returns the position of the token for `group`.
#[must_use]
pub fn position_of(tokens: &[Token], group: &GroupId) -> Option<LogPosition> {
    let token = tokens.iter().find(|existing| existing.group == *group)?;
    Some(token.position)
}

fn decode_text(text: &str) -> Result<Vec<u8>, TokenError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(TokenError::Malformed);
    }
    URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_alphabet| TokenError::Malformed)
}

fn encode(token: &Token) -> Vec<u8> {
    let mut bytes = vec![LAYOUT_VERSION];
    bytes.extend_from_slice(&token.position.term.0.to_be_bytes());
    bytes.extend_from_slice(&token.position.position.0.to_be_bytes());
    let service = token.group.service.as_str();
    // The length prefix keeps the boundary between the two names unambiguous.
    bytes.extend_from_slice(&(service.len() as u32).to_be_bytes());
    bytes.extend_from_slice(service.as_bytes());
    bytes.extend_from_slice(token.group.instance.as_str().as_bytes());
    bytes
}

fn decode(body: &[u8]) -> Option<Token> {
    let (&version, rest) = body.split_first()?;
    if version != LAYOUT_VERSION {
        return None;
    }
    let (term, rest) = rest.split_first_chunk::<8>()?;
    let (position, rest) = rest.split_first_chunk::<8>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    let service = std::str::from_utf8(rest.get(..length)?).ok()?;
    let instance = std::str::from_utf8(rest.get(length..)?).ok()?;
    Some(Token {
        group: GroupId {
            service: Service::from(service),
            instance: Instance::from(instance),
        },
        position: LogPosition {
            term: Term(u64::from_be_bytes(*term)),
            position: Position(u64::from_be_bytes(*position)),
        },
    })
}
