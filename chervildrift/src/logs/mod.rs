//! Loggers for people and for machines.

use std::sync::{OnceLock, PoisonError, RwLock};

use chervildrift_core::config::{Log, LogFormat, LogLevel};
use chervildrift_core::invariant;
use slog::{Drain, Level, Logger, o};

static BREACHES: OnceLock<RwLock<Logger>> = OnceLock::new();

/// Opens the logger of the process and reports breaches of invariants to it.
pub fn open(settings: Log, vm: &str) -> Logger {
    let drain = match settings.format {
        LogFormat::Json => json(),
        LogFormat::Terminal => terminal(),
    };
    let drain = drain.filter_level(level(settings.level)).fuse();
    let logger = Logger::root(drain, o!("vm" => vm.to_owned()));
    report_breaches(&logger);
    logger
}

fn json() -> slog_async::Async {
    let drain = slog_json::Json::default(std::io::stdout());
    slog_async::Async::new(drain.fuse()).build()
}

fn terminal() -> slog_async::Async {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::FullFormat::new(decorator).build();
    slog_async::Async::new(drain.fuse()).build()
}

const fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn report_breaches(logger: &Logger) {
    let slot = BREACHES.get_or_init(|| RwLock::new(logger.clone()));
    *slot.write().unwrap_or_else(PoisonError::into_inner) = logger.clone();
    invariant::report_to(|name, detail| {
        if let Some(slot) = BREACHES.get() {
            let logger = slot.read().unwrap_or_else(PoisonError::into_inner);
            slog::crit!(logger, "invariant breached"; "invariant" => name, "detail" => detail);
        }
    });
}
