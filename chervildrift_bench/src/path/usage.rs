//! Processor time and memory of this process.

use std::collections::BTreeMap;
use std::fs;
use std::io;

/// Microseconds of one tick in the kernel's counts of processor time.
const CPU_TICK_US: u64 = 10_000;

/// Bytes of one page in the kernel's counts of memory.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of the threads that share a name, in microseconds.
pub(super) type ThreadTimes = BTreeMap<String, u64>;

/// Reads the processor time by thread name.
pub(super) fn thread_times() -> io::Result<ThreadTimes> {
    let mut threads = ThreadTimes::new();
    for task in fs::read_dir("/proc/self/task")? {
        // A thread that has ended since the directory was listed is skipped.
        let Ok(stat) = fs::read_to_string(task?.path().join("stat")) else {
            continue;
        };
        if let Some((name, ticks)) = parse_stat(&stat) {
            *threads.entry(name).or_default() += ticks * CPU_TICK_US;
        }
    }
    Ok(threads)
}

/// Returns the processor time that each name used since `before`.
pub(super) fn elapsed_since(before: &ThreadTimes, now: ThreadTimes) -> ThreadTimes {
    let used = |(name, us): (String, u64)| {
        let earlier = before.get(&name).copied().unwrap_or_default();
        (name, us.saturating_sub(earlier))
    };
    now.into_iter().map(used).collect()
}

/// Reads the resident set in bytes.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse().ok());
    Ok(pages.unwrap_or(0_u64) * PAGE_BYTES)
}

fn parse_stat(stat: &str) -> Option<(String, u64)> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((name.to_owned(), user + system))
}
