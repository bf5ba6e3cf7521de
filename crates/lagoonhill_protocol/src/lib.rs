//! Messages between entries and agents, and among entries, and their encoding.
//!
//! A [`Packet`] is the unit of transfer on a link and, like a datagram, may be
//! lost. [`Frame`]s of a session carry numbered [`Message`]s reliably; `Hello`,
//! `Welcome` and `Reset` open and close sessions and tolerate loss and repetition.

mod address;
mod codec;
mod feature;
mod frame;
mod hello;
mod interruption;
mod message;
mod name_lease;
mod outcome;
mod peers;
mod session_id;
mod speed;
mod start;
mod target;
mod target_incarnation;
mod target_loss;

pub use address::EntryAddress;
pub use codec::{DecodeError, decode, encode};
pub use feature::{Feature, ParseFeatureError};
pub use frame::{Frame, Load, Sequence};
pub use hello::{Hello, Packet, Reset, Welcome};
pub use interruption::Interruption;
pub use message::{Message, RulesUpdate};
pub use name_lease::{NameLeaseId, NameRelease, NameReply, NameRequest};
pub use outcome::{NotRunReason, Outcome, TaskResult};
pub use peers::{MemberBeat, PeersRequest, PeersResponse, RulesDocument};
pub use session_id::SessionId;
pub use speed::Speed;
pub use start::Start;
pub use target::Target;
pub use target_incarnation::{ParseTargetIncarnationError, TargetIncarnation};
pub use target_loss::{HeldRun, LossId, ParseTargetLossError, TargetAnswered, TargetLoss};
