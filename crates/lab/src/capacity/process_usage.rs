//! Processor time and memory of this process and its threads, as the Linux kernel reports them.

use std::fs;
use std::path::Path;

/// Prefix of the names of the threads of an entry host.
const ENTRY_THREAD_PREFIX: &str = "entry-";

/// Returns the resident memory of this process in KiB; 0 if the system does not report it.
pub fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Returns the processor time of the calling thread in nanoseconds; 0 if the system does not report it. Unlike elapsed
/// time, it excludes the time in which other processes ran.
pub fn thread_cpu_nanos() -> u64 {
    read_cpu_nanos("/proc/thread-self/schedstat")
}

/// Returns the processor time of all threads of entry hosts in this process, in nanoseconds. Stand-ins run on other
/// threads.
pub fn entry_cpu_nanos() -> u64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return 0 };
    let paths = threads.flatten().map(|thread| thread.path());
    let entry_paths = paths.filter(|path| {
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        name.starts_with(ENTRY_THREAD_PREFIX)
    });
    entry_paths.map(|path| read_cpu_nanos(path.join("schedstat"))).sum()
}

/// Returns the one-minute load average of the machine; 0 if the system does not report it.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

fn read_cpu_nanos(path: impl AsRef<Path>) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
