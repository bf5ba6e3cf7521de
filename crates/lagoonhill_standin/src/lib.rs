//! Stand-ins for what surrounds lagoonhill, for development and tests only:
//! the platform's store, targets, a relay that can go silent, a load tool, and
//! a deterministic event loop around the real decisions.

mod balancer;
mod kept_store;
mod load;
mod platform;
mod relay;
mod start_log;
mod target;
mod world;

pub use balancer::Balancer;
pub use kept_store::KeptStore;
pub use load::{Load, LoadReport, TaskMix, run_load};
pub use platform::{PlatformFaults, PlatformStandin};
pub use relay::{Relay, RelayMode};
pub use start_log::StartLog;
pub use target::{TargetBehavior, TargetStandin};
pub use world::{
    Network, NodeId, Received, Step, Stopped, TargetModel, Totals, World, WorldConfig, result_of,
};
