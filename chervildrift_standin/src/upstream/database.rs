//! `SQLite` database in memory.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use pgwire::api::Type;
use rusqlite::Connection;

use super::error::SqlError;
use super::inference;
use super::log::Statement;
use super::sql::Command;
use super::value::{Value, type_by_name};

/// Number of statements kept prepared on each database.
const STATEMENT_CACHE_SIZE: usize = 256;

/// Number of cached descriptions above which the cache is cleared.
const DESCRIPTION_CACHE_SIZE: usize = 1024;

/// Initial schema of every upstream, which isn't part of the log.
const SCHEMA: &str = "
    PRAGMA foreign_keys = ON;
    PRAGMA case_sensitive_like = ON;
    CREATE TABLE chervildrift_outcome (
        key text PRIMARY KEY NOT NULL,
        digest text NOT NULL,
        state text NOT NULL,
        answer text,
        made_ms bigint NOT NULL
    );
";

/// Result column of a statement.
#[derive(Clone, Debug)]
pub(super) struct Column {
    pub name: String,
    pub typ: Type,
}

/// Parameter types and result columns of a statement.
#[derive(Clone, Debug, Default)]
pub(super) struct Description {
    pub params: Vec<Type>,
    pub columns: Vec<Column>,
}

/// Rows that a statement returned, or the number of rows that it changed.
#[derive(Debug, Default)]
pub(super) struct StatementResult {
    /// Whether the statement returns rows.
    pub returns_rows: bool,
    pub rows: Vec<Vec<Value>>,
    pub changed: usize,
}

/// Names and types of all columns by table name.
pub(super) type Schema = HashMap<String, Vec<(String, Type)>>;

/// Database with its own connection, which one thread uses at a time.
#[derive(Debug)]
pub(super) struct Database {
    connection: Connection,
    descriptions: RefCell<DescriptionCache>,
}

/// Cached descriptions of statements, valid for one version of the schema.
#[derive(Debug, Default)]
struct DescriptionCache {
    schema_version: i64,
    by_text: HashMap<Arc<str>, Arc<Description>>,
}

impl Database {
    /// Opens a database with the initial schema.
    pub fn open() -> Result<Self, rusqlite::Error> {
        let connection = Connection::open_in_memory()?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE_SIZE);
        connection.execute_batch(SCHEMA)?;
        Ok(Self {
            connection,
            descriptions: RefCell::default(),
        })
    }

    /// Runs a statement that has no parameters and returns no rows.
    pub fn run(&self, sql: &str) -> Result<(), SqlError> {
        self.connection.prepare_cached(sql)?.raw_execute()?;
        Ok(())
    }

    /// Checks whether a statement writes to the database.
    pub fn is_write(&self, sql: &str) -> Result<bool, SqlError> {
        Ok(!self.connection.prepare_cached(sql)?.readonly())
    }

    /// Runs a statement and collects all its rows.
    pub fn execute(&self, sql: &str, params: &[Value]) -> Result<StatementResult, SqlError> {
        let mut statement = self.connection.prepare_cached(sql)?;
        for index in 1..=statement.parameter_count() {
            let number = statement.parameter_name(index).and_then(param_number);
            let value = number.and_then(|number| params.get(number - 1));
            statement.raw_bind_parameter(index, value.unwrap_or(&Value::Null))?;
        }
        let columns = statement.column_count();
        if columns == 0 {
            let changed = statement.raw_execute()?;
            return Ok(StatementResult {
                changed,
                ..StatementResult::default()
            });
        }
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next()? {
            let values = (0..columns).map(|index| row.get_ref(index).map(Value::from));
            rows.push(values.collect::<Result<Vec<_>, _>>()?);
        }
        let changed = rows.len();
        Ok(StatementResult {
            returns_rows: true,
            rows,
            changed,
        })
    }

    /// Applies the statements of one log entry in a transaction.
    pub fn apply(&self, statements: &[Statement]) -> Result<(), SqlError> {
        if statements.is_empty() {
            return Ok(());
        }
        self.run("BEGIN")?;
        let applied = self.execute_all(statements);
        if applied.is_err() {
            self.run("ROLLBACK")?;
        }
        applied
    }

    fn execute_all(&self, statements: &[Statement]) -> Result<(), SqlError> {
        for statement in statements {
            self.execute(&statement.sql, &statement.params)?;
        }
        self.run("COMMIT")
    }

    /// Returns the parameter types and result columns of a statement, from the cache if possible.
    pub fn describe(&self, command: &Command) -> Result<Arc<Description>, SqlError> {
        let version = self.schema_version()?;
        let mut descriptions = self.descriptions.borrow_mut();
        if descriptions.schema_version != version
            || descriptions.by_text.len() > DESCRIPTION_CACHE_SIZE
        {
            descriptions.by_text.clear();
            descriptions.schema_version = version;
        }
        if let Some(found) = descriptions.by_text.get(&command.text) {
            return Ok(Arc::clone(found));
        }
        let description = Arc::new(self.describe_uncached(command)?);
        let text = Arc::clone(&command.text);
        descriptions.by_text.insert(text, Arc::clone(&description));
        Ok(description)
    }

    /// Returns `SQLite`'s schema version, which changes with the schema.
    fn schema_version(&self) -> Result<i64, SqlError> {
        let rows = self.execute("PRAGMA schema_version", &[])?.rows;
        let version = rows.first().and_then(|row| row.first());
        Ok(version.and_then(Value::to_integer).unwrap_or_default())
    }

    fn describe_uncached(&self, command: &Command) -> Result<Description, SqlError> {
        let statement = self.connection.prepare_cached(&command.sql)?;
        let schema = self.schema()?;
        let mut columns = Vec::with_capacity(statement.column_count());
        for (index, column) in statement.columns().enumerate() {
            let typ = match column.decl_type() {
                Some(declared) => type_by_name(declared),
                None => inference::result_type(&command.text, index, column.name(), &schema),
            };
            let name = inference::column_name(column.name());
            columns.push(Column { name, typ });
        }
        Ok(Description {
            params: inference::param_types(&command.text, &schema),
            columns,
        })
    }

    fn schema(&self) -> Result<Schema, SqlError> {
        const SQL: &str = "SELECT t.name, c.name, c.type FROM sqlite_schema t, \
            pragma_table_info(t.name) c WHERE t.type = 'table' ORDER BY t.name, c.cid";
        let mut schema = Schema::new();
        for row in self.execute(SQL, &[])?.rows {
            let mut texts = row.iter().map(|value| value.to_text().unwrap_or_default());
            let mut next = || texts.next().unwrap_or_default();
            let table = next().to_ascii_lowercase();
            let column = next().to_ascii_lowercase();
            let typ = type_by_name(&next());
            schema.entry(table).or_default().push((column, typ));
        }
        Ok(schema)
    }
}

/// Returns `n` of a parameter named `$n`.
fn param_number(name: &str) -> Option<usize> {
    name.strip_prefix('$')?.parse().ok().filter(|n| *n > 0)
}
