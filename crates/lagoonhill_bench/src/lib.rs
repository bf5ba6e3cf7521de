//! Measurements, for development only: a fleet of real processes, and the
//! placement policies under the deterministic event loop.

mod proc_usage;
mod scrape;

pub use proc_usage::{CpuTime, Usage, read_usage};
pub use scrape::{Counters, scrape};
