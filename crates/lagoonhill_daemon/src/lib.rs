//! What the entry's and the agent's daemon share: the control thread's loop,
//! metrics, listening, and the errors of a start.

mod control_loop;
mod listen;
pub mod logging;
mod meters;
mod start_error;

pub use control_loop::{ControlState, spawn_control};
pub use listen::listen;
pub use meters::{Meters, PacketMeter};
pub use start_error::StartError;
