//! Statements that the adapter itself sends.

/// Columns: role, fenced, received term and position, applied term and position, `heard_ms`.
pub(super) const STATUS: &str = "SELECT * FROM chervildrift_status()";

/// Columns: granted, fenced, received term and position.
pub(super) const FENCE: &str = "SELECT * FROM chervildrift_fence($1, $2)";

/// Columns: granted, fenced, received term and position.
pub(super) const PROMOTE: &str = "SELECT * FROM chervildrift_promote($1, $2)";

/// Columns: granted, fenced, received term and position.
pub(super) const FOLLOW: &str = "SELECT * FROM chervildrift_follow($1, $2)";

pub(super) const BEGIN: &str = "BEGIN";

pub(super) const BEGIN_READ: &str = "BEGIN READ ONLY";

pub(super) const COMMIT: &str = "COMMIT";

pub(super) const ROLLBACK: &str = "ROLLBACK";

pub(super) const INSERT_RECORD: &str = "INSERT INTO chervildrift_outcome \
     (key, digest, state, answer, made_ms) VALUES ($1, $2, $3, '', $4)";

pub(super) const FINISH_RECORD: &str =
    "UPDATE chervildrift_outcome SET state = 'done', answer = $2 WHERE key = $1";

pub(super) const READ_RECORD: &str =
    "SELECT digest, state, answer FROM chervildrift_outcome WHERE key = $1";
