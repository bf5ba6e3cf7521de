//! Benchmarks, for development only: of a fleet of real processes, and of
//! placement policies in the deterministic simulation.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures are rounded for planning and printing"
)]

mod candidates;
mod large_fleet;
mod policy_run;
mod proc_usage;
mod scrape;
mod workload;

pub use candidates::{LeastOutstanding, LeastWeightedLoad, Random, RoundRobin, TwoChoices};
pub use large_fleet::{Burst, KindResult, LargeResult, LargeRun, run_large};
pub use policy_run::{Fault, PolicyResult, PolicyRun, run_policy};
pub use proc_usage::{CpuTime, Usage, read_usage};
pub use scrape::{Counters, scrape};
pub use workload::{PlannedJob, Scenario, plan};
