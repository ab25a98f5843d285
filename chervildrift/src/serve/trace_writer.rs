//! Recording of the coordinators' inputs and decisions.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use chervildrift_core::failover::{Actions, Event};
use chervildrift_core::trace::{self, Line, Opened};
use chervildrift_core::types::{GroupId, Time};

/// Folder in which each group's trace is written to a file of its own.
#[derive(Clone, Debug)]
pub(super) struct TraceDirectory {
    path: PathBuf,
}

/// Trace of one group that is being written.
#[derive(Debug)]
pub(super) struct TraceWriter {
    file: BufWriter<File>,
}

impl TraceDirectory {
    /// Opens a recorder that writes into `folder`.
    pub(super) fn open(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
        }
    }

    /// Starts the trace of a group; none when the file can't be made.
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
    /// Writes an event and the actions that followed.
    pub(super) fn write_step(&mut self, at: Time, event: &Event, actions: &Actions) {
        if let Ok(line) = trace::record(at, event, actions) {
            self.write_line(&line);
        }
    }

    fn write_line(&mut self, line: &str) {
        // A trace that can't be written must not disturb the requests.
        let _result = writeln!(self.file, "{line}");
    }
}
