//! Stand-ins for the surroundings of lagoonhill, for development and tests only:
//! the platform's store and balancer, targets, a fault-injecting TCP relay, a load
//! generator, and a deterministic simulation that runs `lagoonhill_core`.

mod balancer;
mod durable_job_store;
mod load;
mod platform;
mod relay;
mod start_log;
mod target;
mod world;

pub use balancer::Balancer;
pub use durable_job_store::DurableJobStore;
pub use load::{Load, LoadReport, TaskMix, run_load};
pub use platform::{PlatformFaults, PlatformStandin};
pub use relay::{Relay, RelayMode};
pub use start_log::StartLog;
pub use target::{TargetBehavior, TargetStandin};
pub use world::{
    FaultPoint, Network, NodeId, Received, StopResult, TargetModel, Totals, World, WorldConfig,
    result_of,
};
