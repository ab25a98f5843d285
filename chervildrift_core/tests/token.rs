//! Session tokens.

use chervildrift_core::token::{Token, TokenError, TokenSigner, Tokens, merge_token, position_of};
use chervildrift_core::types::{GroupId, LogPosition, Service};

fn token(instance: &str, position: LogPosition) -> Token {
    let group = GroupId {
        service: "ring-ledger".into(),
        instance: instance.into(),
    };
    Token { group, position }
}

fn signer(key: &[u8]) -> TokenSigner {
    TokenSigner::new(key).expect("the key is not empty")
}

fn service() -> Service {
    "ring-ledger".into()
}

/// Guards against a session that loses its position when passed through a header or a cookie.
#[test]
fn round_trip() {
    let signer = signer(b"fleet");
    let tokens = [
        token("a", LogPosition::new(3, 70)),
        token("b", LogPosition::new(1, 9)),
    ];
    let text = signer.sign_session(&tokens);
    let is_token_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    assert!(text.chars().all(is_token_char), "{text}");
    let verified = signer.verify_session(&text, &service()).expect("own token");
    assert_eq!(verified.as_slice(), tokens);
}

/// Guards against a caller that changes its position by editing the token.
#[test]
fn edited_text() {
    let signer = signer(b"fleet");
    let text = signer.sign(&token("a", LogPosition::new(3, 70)));
    for index in 0..text.len() {
        let mut edited = text.clone().into_bytes();
        edited[index] = if edited[index] == b'A' { b'B' } else { b'A' };
        let edited = String::from_utf8(edited).expect("ASCII");
        assert!(signer.verify(&edited, &service()).is_err(), "{edited}");
    }
    let other = self::signer(b"other").sign(&token("a", LogPosition::new(3, 70)));
    assert_eq!(signer.verify(&other, &service()), Err(TokenError::Forged));
}

/// Guards against a token of one service that is accepted by another.
#[test]
fn other_service() {
    let signer = signer(b"fleet");
    let text = signer.sign(&token("a", LogPosition::new(3, 70)));
    let other = signer.verify(&text, &"polish-core".into());
    assert_eq!(other, Err(TokenError::OtherService));
}

/// Guards against a panic or an accepted token for text that is not a token.
#[test]
fn malformed_text() {
    let signer = signer(b"fleet");
    for text in ["", ".", "AAAA", "ü", "a b", "=", &"A".repeat(10_000)] {
        let refused = signer.verify_session(text, &service());
        assert_eq!(refused, Err(TokenError::Malformed), "{text}");
    }
    assert_eq!(TokenSigner::new(b"").err(), Some(TokenError::Key));
}

/// Guards against a write to one instance that drops the position in another.
#[test]
fn two_instances() {
    let mut tokens = Tokens::new();
    merge_token(&mut tokens, token("a", LogPosition::new(3, 70)));
    merge_token(&mut tokens, token("b", LogPosition::new(1, 9)));
    merge_token(&mut tokens, token("a", LogPosition::new(2, 90)));
    let position = |name| position_of(&tokens, &token(name, LogPosition::default()).group);
    assert_eq!(position("a"), Some(LogPosition::new(3, 70)));
    assert_eq!(position("b"), Some(LogPosition::new(1, 9)));
    assert_eq!(position("c"), None);
}
