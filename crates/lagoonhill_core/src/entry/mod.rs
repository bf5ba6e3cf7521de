//! State and decisions of an entry: admission, queues, placement, jobs and workers.

mod answer;
mod config;
mod decision;
mod effect;
mod fleet;
mod forming;
mod health;
mod job;
mod job_queue;
mod kept;
mod lanes;
mod limits;
mod machine;
mod others;
mod placement;
mod records;
mod run_times;
mod status;
mod submission;
mod throughput;
mod work;
mod worker;

/// The value one in thousandths.
const PERMILLE: u64 = 1_000;

pub use answer::{Answer, Cause, JobFailure, RunCertainty};
pub use config::{DEFAULT_LOOK_AHEAD, EntryConfig};
pub use decision::{Decision, DecisionKind};
pub use effect::EntryEffect;
pub use fleet::Fleet;
pub use forming::Forming;
pub use health::Health;
pub use job::{Job, JobKey, JobPlan, NextRun, Promise, QueuedAs, TaskState};
pub use job_queue::{Charge, JobQueue};
pub use kept::{KeepOrder, Keeping, KeptJob, KeptState, Progress, Stored, UnderWay};
pub use lanes::{Lane, Lanes, QueuePosition};
pub use limits::{TeamUsage, TokenBucket};
pub use machine::Entry;
pub use others::{OthersMean, OthersShare};
pub use placement::{Candidate, LeastExpectedFinish, Placement, Room, Situation};
pub use records::{KeyBinding, Record, RecordKey, Records};
pub use run_times::{RunTimes, WorkKind};
pub use status::{EntryStatus, WorkerStatus};
pub use submission::{CallerId, Needs, QueueOrder, Step, Submission};
pub use throughput::Throughput;
pub use work::Work;
pub use worker::{Order, Worker, WorkerKey, WorkerState};
