//! Replay of traces that were recorded by running VMs.

use chervildrift_core::trace::replay;

/// Recorded by `serve --record` while the process of the primary was killed.
const KILLED_PRIMARY: &str = include_str!("traces/killed-primary.trace");

/// Guards against a decision of the coordinator that changes unnoticed, and against a recorded
/// change of primary that no longer ends with its stated outcome.
#[test]
fn killed_primary() {
    let report = replay(KILLED_PRIMARY).expect("the trace is valid");
    assert_eq!(report.differences, []);
    assert!(report.events > 500, "only {} events", report.events);
}

/// Guards against a replay that reports no difference for a wrong trace.
#[test]
fn false_outcome() {
    let stated = r#"{"outcome":{"primary":1,"term":2}}"#;
    let other = r#"{"outcome":{"primary":2,"term":2}}"#;
    let report = replay(&KILLED_PRIMARY.replace(stated, other)).expect("the trace is valid");
    assert_eq!(report.differences.len(), 1);
    let promoted = r#"{"Promote":{"index":1,"term":2}}"#;
    assert!(
        KILLED_PRIMARY.contains(promoted),
        "the trace holds a promotion"
    );
    let another = r#"{"Promote":{"index":2,"term":2}}"#;
    let report = replay(&KILLED_PRIMARY.replace(promoted, another)).expect("the trace is valid");
    assert!(!report.differences.is_empty());
}

/// Guards against a truncated or damaged trace that still counts as replayed.
#[test]
fn damaged_trace() {
    let truncated = &KILLED_PRIMARY[..KILLED_PRIMARY.len() / 2];
    assert!(matches!(
        replay(truncated),
        Err(chervildrift_core::trace::Error::InvalidLine(..))
    ));
    let without_header = KILLED_PRIMARY.split_once('\n').expect("several lines").1;
    assert!(matches!(
        replay(without_header),
        Err(chervildrift_core::trace::Error::MissingOpened)
    ));
}
