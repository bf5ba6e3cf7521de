//! Code shared by the entry and agent daemons: the control thread's event loop,
//! metrics, logging, listening, start-up errors, and running a command.

mod control_loop;
mod listen;
pub mod logging;
mod meters;
mod run_to_end;
mod start_error;

pub use control_loop::{ControlState, spawn_control};
pub use listen::listen;
pub use meters::{Meters, PacketMeter};
pub use run_to_end::run_to_end;
pub use start_error::StartError;
