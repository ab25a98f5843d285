//! Recording of the coordinators' inputs and decisions.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use chervildrift_core::failover::{Actions, Event};
use chervildrift_core::trace::{self, Line, Opened};
use chervildrift_core::types::{GroupId, Time};

/// Folder in which each group's trace is written to a file of its own.
#[derive(Clone, Debug)]
pub(super) struct Recorder {
    folder: PathBuf,
}

/// Trace of one group that is being written.
#[derive(Debug)]
pub(super) struct Recording {
    file: BufWriter<File>,
}

impl Recorder {
    /// Opens a recorder that writes into `folder`.
    pub(super) fn open(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }

    /// Starts the trace of a group; none when the file can't be made.
    pub(super) fn start(&self, id: &GroupId, opened: Opened) -> Option<Recording> {
        let name = format!(
            "{}-{}-{:08x}.trace",
            id.service, id.instance, opened.seed as u32
        );
        let file = File::create(self.folder.join(name)).ok()?;
        let mut recording = Recording {
            file: BufWriter::new(file),
        };
        let line = serde_json::to_string(&Line::Opened(opened)).ok()?;
        recording.write(&line);
        Some(recording)
    }
}

impl Recording {
    /// Writes an event and the actions that followed.
    pub(super) fn step(&mut self, at: Time, event: &Event, actions: &Actions) {
        if let Ok(line) = trace::encode_step(at, event, actions) {
            self.write(&line);
        }
    }

    fn write(&mut self, line: &str) {
        // A trace that can't be written must not disturb the requests.
        let _result = writeln!(self.file, "{line}");
    }
}
