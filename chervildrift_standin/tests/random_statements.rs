//! Random statements, most of them invalid.

mod common;

use common::{cases, connect, create, primary, seed};
use proptest::collection::vec;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const DEFAULT_CASES: u32 = 400;

/// Statements whose `?` are replaced by random words; the last one consists only of these.
const TEMPLATES: [&str; 7] = [
    "SELECT ? FROM notes WHERE ? = ? LIMIT ?",
    "SELECT ?, CAST(? AS ?), ?::? FROM notes",
    "INSERT INTO notes VALUES (?, ?) RETURNING ?",
    "WITH v AS (VALUES (1)) INSERT INTO notes (id, body) SELECT ?, $1 FROM v",
    "UPDATE notes SET body = ? WHERE id IN (?, ?) OR id BETWEEN ? AND ?",
    "SELECT * FROM chervildrift_log(?, ?, ?)",
    "? ? ? ? ? ? ? ?",
];

const WORDS: [&str; 36] = [
    "SELECT",
    "FROM",
    "VALUES",
    "INTO",
    "RETURNING",
    "notes",
    "id",
    "body",
    "n",
    "id",
    "*",
    "(",
    ")",
    ",",
    ";",
    "=",
    "||",
    "::",
    "id::int8",
    "$0",
    "$1",
    "$2",
    "$1::int4",
    "$70000",
    "'a'",
    "'",
    "\"",
    "1",
    "-1",
    "--",
    "/*",
    "é",
    "count(*)",
    "max(id)",
    "CASE",
    "BEGIN",
];

/// Maximum number of `?` in a template.
const MAX_PLACEHOLDERS: usize = 8;

/// Guards against a statement that closes its connection instead of returning an error.
#[test]
fn survives_invalid_statements() {
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
    let run = |(template, words): (&str, Vec<&str>)| {
        let fill = |sql: String, word: &&str| sql.replacen('?', word, 1);
        let sql = words.iter().fold(template.to_owned(), fill);
        let alive = runtime.block_on(async {
            drop(client.prepare(&sql).await);
            drop(client.simple_query(&sql).await);
            drop(client.query(&sql, &[]).await);
            client.batch_execute("ROLLBACK").await.is_ok()
        });
        assert!(alive, "{sql}");
        Ok(())
    };
    let statements = (
        select(&TEMPLATES[..]),
        vec(select(&WORDS[..]), MAX_PLACEHOLDERS),
    );
    TestRunner::new(config)
        .run(&statements, run)
        .expect("no failure");
}
