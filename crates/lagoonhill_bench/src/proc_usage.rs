use std::fs;
use std::time::Duration;

/// Processor time used by a process since its start.
pub type CpuTime = Duration;

/// Processor time and memory of a process, as read from `/proc`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub cpu: CpuTime,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// Clock ticks per second (`USER_HZ`) in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Indices of fields in `/proc/PID/stat`, counted after the command's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// Reads the usage of a process; zero if it no longer exists.
pub fn read_usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let seconds = (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) / TICKS_PER_S;
    let resident_kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    Usage {
        cpu: Duration::from_secs_f64(seconds),
        resident_bytes: resident_kib << 10,
    }
}
