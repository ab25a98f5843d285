//! Limits on the callers of a relaying VM.

use chervildrift_core::config::{CallerLimits, check_relay_settings};

const SETTINGS: &str = "{vm: vm-1, zone: north, callers: \"127.0.0.1:1\", operators: \
                        \"127.0.0.1:2\", peers: \"127.0.0.1:3\", store: \"127.0.0.1:4\", limits: \
                        {LIMITS}}";

fn problems(limits: &str) -> Vec<String> {
    let text = SETTINGS.replace("LIMITS", limits);
    let findings = check_relay_settings(&text).err().unwrap_or_default();
    findings.into_iter().map(|it| it.problem).collect()
}

/// Guards against a default, or a machine of the platform, that the check refuses.
#[test]
fn machines_pass() {
    for limits in [
        "",
        "memory_mb: 160, file_descriptors: 4300",
        "memory_mb: 512, file_descriptors: 8192",
    ] {
        assert!(problems(limits).is_empty(), "{:?}", problems(limits));
    }
}

/// Guards against limits that contradict each other and are reported one at a time, or not at all.
#[test]
fn contradictions_found() {
    let cases = [
        ("message_ms: 10", "limits.message_ms is 10"),
        ("message_bytes: 100", "limits.message_bytes is 100"),
        ("memory_mb: 8", "leaves 1 MiB for large messages"),
        ("memory_mb: 4, message_bytes: 1048576", "leaves 0 MiB"),
        (
            "sessions: 100000",
            "limits.sessions is 100000 with 4100 sockets",
        ),
        ("sessions: 0", "limits.sessions is 0"),
        ("unidentified: 5000", "limits.unidentified is 5000"),
        ("sent_ahead: 0", "limits.sent_ahead is 0"),
    ];
    let (limits, expected): (Vec<_>, Vec<_>) = cases.into_iter().unzip();
    for (limits, expected) in limits.iter().zip(&expected) {
        let found = problems(limits);
        assert!(
            found.iter().any(|it| it.contains(expected)),
            "{limits}: {found:?}"
        );
    }
    assert!(problems("message_ms: 1, unread_ms: 1, sent_ahead: 0").len() >= 3);
}

/// Guards against callers, their statements and other VMs that leave fewer sockets than connections
/// to upstreams may take.
#[test]
fn upstream_reserve() {
    for (file_descriptors, planned) in [(400, 57), (4_300, 100), (8_192, 1_000)] {
        for borrows in [false, true] {
            let limits = CallerLimits {
                file_descriptors,
                ..CallerLimits::default()
            };
            let shares = limits.socket_shares(planned, borrows);
            let taken = shares.sessions + shares.links + limits.peers() + planned;
            assert!(taken < limits.sockets(), "{taken} of {file_descriptors}");
            assert!(!borrows || shares.links >= shares.sessions / 4);
        }
    }
}

/// Guards against a reserve that costs places where there are sockets enough.
#[test]
fn ample_sockets() {
    let limits = CallerLimits::default();
    let shares = limits.socket_shares(100, false);
    assert_eq!(shares.sessions, limits.sessions());
}
