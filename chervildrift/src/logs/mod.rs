//! Logging as JSON or for a terminal.

use std::sync::{OnceLock, PoisonError, RwLock, mpsc};
use std::thread;
use std::time::Duration;

use chervildrift_core::config::{Log, LogFormat, LogLevel};
use chervildrift_core::invariant;
use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};

/// Logger for breaches of invariants, which is that of the latest [`Logs`].
static BREACH_LOGGER: OnceLock<RwLock<Logger>> = OnceLock::new();

/// Time limit for writing the queued lines at exit; a reader that has stopped accepts none.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Logger of the process, which writes its queued lines when it is dropped.
#[derive(derive_more::Debug)]
pub struct Logs {
    logger: Logger,
    #[debug(skip)]
    guard: Option<AsyncGuard>,
}

impl Logs {
    /// Creates the logger of the process and reports breaches of invariants to it.
    #[must_use]
    pub fn new(settings: Log, vm: &str) -> Self {
        let (drain, guard) = match settings.format {
            LogFormat::Json => json_drain(),
            LogFormat::Terminal => terminal_drain(),
        };
        let drain = drain.filter_level(slog_level(settings.level)).fuse();
        let logger = Logger::root(drain, o!("vm" => vm.to_owned()));
        log_breaches(&logger);
        Self {
            logger,
            guard: Some(guard),
        }
    }

    /// Returns the logger.
    pub const fn logger(&self) -> &Logger {
        &self.logger
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        let guard = self.guard.take();
        let (sender, flushed) = mpsc::channel();
        thread::spawn(move || {
            // Waits until the queue is written.
            drop(guard);
            // The receiver is gone after the timeout.
            let _sent = sender.send(());
        });
        // Lines that aren't written in time are lost.
        let _flushed = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn json_drain() -> (Async, AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout());
    Async::new(drain.fuse()).build_with_guard()
}

fn terminal_drain() -> (Async, AsyncGuard) {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::FullFormat::new(decorator).build();
    Async::new(drain.fuse()).build_with_guard()
}

const fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn log_breaches(logger: &Logger) {
    let slot = BREACH_LOGGER.get_or_init(|| RwLock::new(logger.clone()));
    *slot.write().unwrap_or_else(PoisonError::into_inner) = logger.clone();
    invariant::set_hook(|name, detail| {
        if let Some(slot) = BREACH_LOGGER.get() {
            let logger = slot.read().unwrap_or_else(PoisonError::into_inner);
            slog::crit!(logger, "invariant breached"; "invariant" => name, "detail" => detail);
        }
    });
}
