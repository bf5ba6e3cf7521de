//! State and decisions of an entry: admission, queues, placement, jobs and workers.

mod answer;
mod config;
mod containment_change;
mod crash_containment;
mod crash_count;
mod decision;
mod delay_cost;
mod durable_job;
mod effect;
mod fleet;
mod fleet_parts;
mod health;
mod held_name;
mod job;
mod job_queue;
mod job_terms;
mod kind_demand;
mod limits;
mod machine;
mod name_leases;
mod peer_load;
mod placement;
mod records;
mod refusal;
mod run_times;
mod startup_discovery;
mod status;
mod step_check;
mod store_write;
mod submission;
mod throughput;
mod tiered_queue;
mod work;
mod worker;

/// The value one in thousandths.
const PERMILLE: u64 = 1_000;

pub use answer::{Answer, Cause, JobFailure, RunCertainty};
pub use config::{DEFAULT_LOOK_AHEAD, EntryConfig};
pub use containment_change::{ContainmentChange, ContainmentEvent};
pub use crash_containment::{CrashContainment, PartMember};
pub use crash_count::{CrashCount, Verdict};
pub use decision::{Decision, DecisionKind, DrainSource};
pub use delay_cost::{DelayCost, Tier, Weighed};
pub use durable_job::{
    DurableJob, DurableJobState, DurableState, PendingWrite, Progress, StoreOutcome, StoreRequest,
};
pub use effect::EntryEffect;
pub use fleet::Fleet;
pub use fleet_parts::FleetParts;
pub use health::Health;
pub use held_name::HeldName;
pub use job::{AfterRun, Job, JobKey, JobPlan, NextRun, Promise, QueueSettings, TaskState};
pub use job_queue::{Charge, JobQueue};
pub use job_terms::JobTerms;
pub use kind_demand::KindDemand;
pub use limits::{TeamUsage, TokenBucket};
pub use machine::Entry;
pub use name_leases::{NameHolder, NameLeases};
pub use peer_load::{MeanPeerLoad, PeerLoad};
pub use placement::{Candidate, LeastExpectedFinish, Placement, PlacementContext, SlotLimit};
pub use records::{KeyBinding, Record, RecordKey, Records};
pub use refusal::Refusal;
pub use run_times::{RunTimes, WorkKind};
pub use startup_discovery::StartupDiscovery;
pub use status::{EntryStatus, WorkerStatus};
pub use step_check::InvalidSteps;
pub use store_write::{StoreWrite, StoreWriteId};
pub use submission::{CallerId, Needs, QueueSubmission, Step, Submission};
pub use throughput::Throughput;
pub use tiered_queue::{QueuePosition, TieredQueue};
pub use work::Work;
pub use worker::{DispatchedTask, Suspicion, Worker, WorkerKey, WorkerState};
