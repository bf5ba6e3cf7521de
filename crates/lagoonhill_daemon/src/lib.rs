//! What the entry's and the agent's daemon share: the control thread's loop,
//! metrics, listening, the errors of a start, and a command's end.

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
