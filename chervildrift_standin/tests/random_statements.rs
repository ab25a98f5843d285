//! Random statements, most of them wrong.

mod common;

use common::{cases, connect, create, primary, seed};
use proptest::collection::vec;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const DEFAULT_CASES: u32 = 400;

const WORDS: [&str; 52] = [
    "SELECT",
    "FROM",
    "WHERE",
    "INSERT",
    "INTO",
    "VALUES",
    "UPDATE",
    "SET",
    "DELETE",
    "RETURNING",
    "WITH",
    "AS",
    "IN",
    "BETWEEN",
    "LIMIT",
    "CAST",
    "CASE",
    "COUNT",
    "notes",
    "id",
    "body",
    "n",
    "*",
    "(",
    ")",
    "(",
    ")",
    ",",
    ".",
    ";",
    "=",
    "<",
    "||",
    "::",
    "::int8",
    "$0",
    "$1",
    "$2",
    "$70000",
    "'a'",
    "'",
    "\"",
    "1",
    "-",
    "--",
    "/*",
    "é",
    "BEGIN",
    "COMMIT",
    "ROLLBACK",
    "chervildrift_status()",
    "chervildrift_log(",
];

/// Guards against a statement that ends its connection instead of getting an error.
#[test]
fn survives_nonsense() {
    let config = Config {
        cases: cases(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        ..Config::default()
    };
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let handle = primary();
    let client = runtime.block_on(connect(&handle));
    runtime.block_on(create(&client));
    let run = |words: Vec<&str>| {
        let sql = words.join(" ");
        let alive = runtime.block_on(async {
            drop(client.prepare(&sql).await);
            drop(client.simple_query(&sql).await);
            drop(client.query(&sql, &[]).await);
            client.batch_execute("ROLLBACK").await.is_ok()
        });
        assert!(alive, "{sql}");
        Ok(())
    };
    let statements = vec(select(&WORDS[..]), 1..14);
    TestRunner::new(config)
        .run(&statements, run)
        .expect("no failure");
}
