//! Traces of the events and actions of the groups' coordinators.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use chervildrift_core::failover::{Actions, Event};
use chervildrift_core::trace::{self, Line, Opened};
use chervildrift_core::types::{GroupId, Time};

/// Directory in which each group's trace is written to a file of its own.
#[derive(Clone, Debug)]
pub(super) struct TraceDirectory {
    path: PathBuf,
}

/// Writer of one group's trace.
#[derive(Debug)]
pub(super) struct TraceWriter {
    file: BufWriter<File>,
}

impl TraceDirectory {
    /// Uses the existing directory at `path`.
    pub(super) fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
        }
    }

    /// Creates the trace of a group; none if the file can't be created.
    pub(super) fn create_trace(&self, id: &GroupId, opened: Opened) -> Option<TraceWriter> {
        let name = format!(
            "{}-{}-{:08x}.trace",
            id.service, id.instance, opened.seed as u32
        );
        let file = File::create(self.path.join(name)).ok()?;
        let mut writer = TraceWriter {
            file: BufWriter::new(file),
        };
        let line = serde_json::to_string(&Line::Opened(opened)).ok()?;
        writer.write_line(&line);
        Some(writer)
    }
}

impl TraceWriter {
    /// Writes an event and the resulting actions.
    pub(super) fn write_step(&mut self, at: Time, event: &Event, actions: &Actions) {
        if let Ok(line) = trace::encode_step(at, event, actions) {
            self.write_line(&line);
        }
    }

    fn write_line(&mut self, line: &str) {
        // A failed write to the trace must not affect requests.
        let _result = writeln!(self.file, "{line}");
    }
}
