//! Operator files: accepted ones, refused ones, and the positions of reported mistakes.

use chervildrift_core::config::{Bundle, Error, check_operator_file};
use chervildrift_core::generation::BundleHash;

const FEDERATION: &str = include_str!("../../examples/ring-ledger.yaml");
const BARNIZADOS: &str = include_str!("../../examples/polish-core.yaml");

/// Guards against example files that the program refuses.
#[test]
fn examples_pass() {
    for (text, slots, connections) in [(FEDERATION, 5, 30), (BARNIZADOS, 3, 40)] {
        let declaration = check_operator_file(text).expect("the example is valid");
        assert_eq!(declaration.groups.len(), 3);
        for upstream in declaration.groups.iter().flat_map(|group| &group.upstreams) {
            assert_eq!((upstream.slots, upstream.connections), (slots, connections));
        }
    }
}

/// Guards against a mistake that is reported without its position or the expected value.
#[test]
fn mistakes_located() {
    let cases = [
        ("slots: 5", "slots: 0", "slots is 0"),
        ("rank: bulk", "rank: lowest", "lowest"),
        ("access: read", "acess: read", "acess"),
        (
            "address: \"127.0.0.1:5501\"",
            "address: \"db.example\"",
            "no address",
        ),
        ("urgent: 30", "urgent: 90", "add up to 120"),
        (
            "target_percent: 99.9",
            "target_percent: 100",
            "target of 100",
        ),
        (
            "name: edit-booking",
            "name: confirm-booking",
            "declared twice",
        ),
    ];
    for (right, wrong, problem) in cases {
        let findings = check_operator_file(&FEDERATION.replacen(right, wrong, 1)).expect_err(wrong);
        let finding = &findings[0];
        assert!(finding.problem.contains(problem), "{wrong}: {finding}");
        assert!(finding.line > 0 && finding.column > 0, "{wrong}: {finding}");
        assert!(!finding.expected.is_empty(), "{wrong}: {finding}");
    }
}

/// Guards against a bundle hash that depends on the order of the files.
#[test]
fn canonical_bundle() {
    let [first, second] =
        [FEDERATION, BARNIZADOS].map(|text| check_operator_file(text).expect("valid"));
    let one = Bundle::collect([first.clone(), second.clone()]).expect("distinct services");
    let two = Bundle::collect([second, first.clone()]).expect("distinct services");
    let body = one.encode().expect("encodes");
    assert_eq!(
        BundleHash::of(&body),
        BundleHash::of(&two.encode().expect("encodes"))
    );
    assert_eq!(Bundle::decode(&body).expect("decodes"), one);
    let duplicate = Bundle::collect([first.clone(), first]);
    assert!(
        matches!(duplicate, Err(Error::Duplicate(_))),
        "{duplicate:?}"
    );
}

/// Guards against a key that maps to another instance than before, which would split its data.
#[test]
fn key_routing_stable() {
    let declaration = check_operator_file(FEDERATION).expect("valid");
    let instances = ["farm-1", "farm-2", "farm-3", "farm-4"].map(|key| {
        declaration
            .group_for_key(key)
            .expect("a group")
            .instance
            .to_string()
    });
    let expected = [
        "ledger-canterbury",
        "ledger-waikato",
        "ledger-canterbury",
        "ledger-waikato",
    ];
    assert_eq!(instances, expected);
}
