//! An entry's state of one worker: dispatched tasks, load and health.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use lagoonhill_protocol::{Load, Target, TargetAnswered};
use lagoonhill_rules::ServingState;
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::{Candidate, Health, Needs, PeerLoad, WorkKind};
use crate::{Session, Slowness, estimated_slowness, overdue_after};

new_key_type! {
    /// Identifies a worker within an entry for the length of one session. A new
    /// session of the same worker gets a new key.
    pub struct WorkerKey;
}

/// State of a worker, as an entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// In session, but no target is announced.
    Joining,
    /// Gets tasks.
    Serving,
    /// Silent although an answer is due; gets no new tasks.
    Suspect,
    /// Leaving the fleet; gets no new tasks.
    Leaving,
    /// Drained by operators, itself or with its zone; gets no new tasks.
    Drained,
}

impl fmt::Display for WorkerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
        })
    }
}

/// Whether a dispatched task is a suspect, a task under which a worker has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It is none.
    None,
    /// It is one, and suspects of other entries may be beside it.
    Suspect,
    /// It is one, and no other suspect is beside it.
    Isolated,
}

/// A dispatched task without an outcome.
#[derive(Clone, Debug)]
pub struct DispatchedTask {
    /// Time of the dispatch.
    pub sent_ms: TimestampMs,
    /// Team against whose concurrency limit it counts.
    pub team: TeamName,
    /// Resources that it takes on the target.
    pub needs: Resources,
    /// Kind of work, from which its run time is estimated.
    pub kind: WorkKind,
    /// Expected run time on a worker of average speed.
    pub expected_ms: DurationMs,
    /// Run time that its job declared; zero if none.
    pub declared_ms: DurationMs,
    /// Whether its agent has been asked to return it unstarted.
    pub is_withdrawn: bool,
    /// Whether its job is durable, so that its end must be stored.
    pub durable: bool,
    /// Whether a worker has crashed under the task before.
    pub suspicion: Suspicion,
    /// Whether this entry has abandoned its job, so that its end is never stored.
    pub is_abandoned: bool,
}

/// Multiple of the expected run time after which a task is late.
const LATE_FACTOR: u64 = 5;

/// Shortest time after which a task is late.
const MIN_LATE_MS: DurationMs = DurationMs(2_000);

/// Fewer late tasks than this can be due to chance.
const MIN_LATE_TASKS: usize = 3;

/// Fewer overdue tasks than this in an agent's report don't count against its worker.
const MIN_OVERDUE: u16 = 2;

/// Time in which a target that has crashed is usually back.
const RETURN_MS: DurationMs = DurationMs(4_000);

/// An entry's state of one worker, for the length of one session.
#[derive(Debug)]
pub struct Worker {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: AvailabilityZone,
    /// Address at which its agent receives packets.
    pub inbox: SocketAddr,
    /// Target that its agent announced, if any.
    pub target: Option<Target>,
    /// The most of each resource that its target has had.
    largest_capacity: Resources,
    /// The target that it had last, and when it lost it.
    lost_target: Option<(Target, TimestampMs)>,
    /// Its target's last answer, as its agent reports it.
    pub answered: Option<TargetAnswered>,
    /// Session with its agent.
    pub session: Session,
    /// Whether its agent has sent a leave message.
    pub leaving: bool,
    /// State that operators have set for it or its zone.
    pub operator_state: ServingState,
    dispatched_tasks: HashMap<TaskId, DispatchedTask>,
    /// Resources that all dispatched tasks take together.
    dispatched_needs: Resources,
    /// Failures and quarantine of the worker.
    pub health: Health,
    /// Load in the last report of its agent.
    pub load: Load,
    /// Heartbeat interval that was last sent to its agent.
    pub sent_heartbeat_ms: DurationMs,
}

impl Worker {
    /// Creates a worker whose agent has just sent its hello.
    pub fn new(
        id: WorkerId,
        zone: AvailabilityZone,
        inbox: SocketAddr,
        target: Option<Target>,
        session: Session,
    ) -> Self {
        Self {
            id,
            zone,
            inbox,
            largest_capacity: target
                .as_ref()
                .map_or_else(Resources::default, |target| target.capacity),
            target,
            lost_target: None,
            answered: None,
            session,
            leaving: false,
            operator_state: ServingState::Serve,
            dispatched_tasks: HashMap::new(),
            dispatched_needs: Resources::default(),
            health: Health::default(),
            load: Load::default(),
            sent_heartbeat_ms: DurationMs::ZERO,
        }
    }

    /// State of the worker.
    pub fn state(&self) -> WorkerState {
        match &self.target {
            _ if self.leaving => WorkerState::Leaving,
            None => WorkerState::Joining,
            Some(_) if self.session.is_silent() => WorkerState::Suspect,
            Some(_) if self.operator_state == ServingState::Drain => WorkerState::Drained,
            Some(_) => WorkerState::Serving,
        }
    }

    /// Replaces the target that its agent has announced.
    pub fn set_target(&mut self, target: Option<Target>, now: TimestampMs) {
        if let (Some(lost), None) = (&self.target, &target) {
            self.lost_target = Some((lost.clone(), now));
        }
        if let Some(target) = &target {
            self.largest_capacity = self.largest_capacity.max(target.capacity);
        }
        self.target = target;
    }

    /// Whether its target is gone and may be back soon for a task of these needs.
    pub fn may_return_for(&self, service: &ServiceName, needs: &Needs, now: TimestampMs) -> bool {
        let is_away = self.target.is_none() && !self.leaving;
        let serves = self.operator_state == ServingState::Serve && !self.session.is_silent();
        let suits = self.lost_target.as_ref().is_some_and(|(target, lost_ms)| {
            now.since(*lost_ms) < RETURN_MS
                && target.service == *service
                && needs.suit(target.capacity, &target.labels)
        });
        is_away && serves && suits
    }

    /// Run time relative to the average, estimated from the runs of all entries
    /// that its agent reported.
    pub fn slowness(&self) -> Slowness {
        estimated_slowness(self.load.speed)
    }

    /// Whether its target meets the requirements.
    pub fn fits(&self, needs: &Needs) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| needs.suit(target.capacity, &target.labels))
    }

    /// Whether its target meets the requirements, or would with all the capacity that it
    /// has had in this session.
    pub fn has_fitted(&self, needs: &Needs) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| needs.suit(self.largest_capacity, &target.labels))
    }

    /// Load from peer entries in the agent's last report, as a share of the
    /// target, and the age of that report.
    pub fn reported_peer_load(&self, now: TimestampMs) -> Option<(PeerLoad, DurationMs)> {
        let target = self.target.as_ref()?;
        let load = &self.load;
        let share = PeerLoad::new(
            (
                load.total_tasks.saturating_sub(load.receiver_tasks),
                target.slots,
            ),
            (
                MilliProcessors(
                    load.total_processors
                        .0
                        .saturating_sub(load.receiver_processors.0),
                ),
                target.capacity.processors,
            ),
        );
        Some((share, now.since(self.session.last_received_ms())))
    }

    /// Dispatched tasks without an outcome.
    pub fn dispatched_tasks(&self) -> impl Iterator<Item = (&TaskId, &DispatchedTask)> {
        self.dispatched_tasks.iter()
    }

    /// Whether all dispatched tasks have their outcomes.
    pub fn is_idle(&self) -> bool {
        self.dispatched_tasks.is_empty()
    }

    /// Adds a task that has been dispatched.
    pub fn add_dispatched(&mut self, task: TaskId, dispatched: DispatchedTask) {
        self.dispatched_needs = self.dispatched_needs + dispatched.needs;
        self.dispatched_tasks.insert(task, dispatched);
    }

    /// Removes a task whose outcome is known.
    pub fn remove_dispatched(&mut self, task: TaskId) -> Option<DispatchedTask> {
        let dispatched = self.dispatched_tasks.remove(&task)?;
        self.dispatched_needs = self.dispatched_needs - dispatched.needs;
        Some(dispatched)
    }

    /// Marks the tasks of a job as abandoned.
    pub fn mark_abandoned(&mut self, job: JobId) {
        for (task, dispatched) in &mut self.dispatched_tasks {
            dispatched.is_abandoned |= task.job == job;
        }
    }

    /// Whether it holds a task under which a worker has crashed.
    pub fn holds_suspect(&self) -> bool {
        let mut tasks = self.dispatched_tasks.values();
        tasks.any(|task| task.suspicion != Suspicion::None)
    }

    /// Marks a task as withdrawn.
    pub fn mark_withdrawn(&mut self, task: TaskId) {
        if let Some(dispatched) = self.dispatched_tasks.get_mut(&task) {
            dispatched.is_withdrawn = true;
        }
    }

    /// Number of tasks of these needs that the target can run at the same time,
    /// and how many of these slots are taken or have a task waiting: by its slots
    /// or by its resources, whichever leaves less free capacity.
    fn slots_for(&self, needs: Resources, peer_load: PeerLoad) -> Option<(u16, u16)> {
        let target = self.target.as_ref()?;
        let from_this_entry = u16::try_from(self.dispatched_tasks.len()).unwrap_or(u16::MAX);
        let by_slots = (
            target.slots.0,
            from_this_entry.saturating_add(peer_load.slots_of(target.slots)),
        );
        if needs == Resources::default() {
            return Some(by_slots);
        }
        let peer_load = Resources {
            processors: peer_load.processors_of(target.capacity.processors),
            ..Resources::default()
        };
        let used = peer_load + self.dispatched_needs;
        let slots = fit_count(target.capacity, needs);
        let excess = (used - target.capacity).processors.0;
        let waiting = excess.checked_div(needs.processors.0).unwrap_or(0);
        let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
        let taken = slots.saturating_sub(fit_count(target.capacity - used, needs));
        let by_resources = (slots, taken.saturating_add(waiting));
        let free = |(slots, load): (u16, u16)| i32::from(slots) - i32::from(load);
        Some(if free(by_slots) < free(by_resources) {
            by_slots
        } else {
            by_resources
        })
    }

    /// Estimated number of tasks at the worker: those dispatched by this entry
    /// and those of peer entries in its last report.
    pub fn estimated_load(&self) -> u16 {
        let peer_load = self
            .load
            .total_tasks
            .saturating_sub(self.load.receiver_tasks);
        u16::try_from(self.dispatched_tasks.len())
            .unwrap_or(u16::MAX)
            .saturating_add(peer_load)
    }

    /// The worker as a candidate for placement.
    ///
    /// `peer_load` is the estimated load from peer entries.
    pub fn candidate(
        &self,
        key: WorkerKey,
        needs: &Needs,
        peer_load: PeerLoad,
        own_zone: Option<&AvailabilityZone>,
    ) -> Option<Candidate> {
        let (slots, load) = self.slots_for(needs.resources, peer_load)?;
        let target = self.target.as_ref()?;
        let lacks_preferred = needs
            .near
            .as_ref()
            .is_some_and(|label| !target.labels.contains(label));
        let mut slowness = self.slowness();
        if lacks_preferred {
            slowness.permille += slowness.permille / 2;
        }
        Some(Candidate {
            key,
            slots,
            load,
            slowness,
            is_same_zone: own_zone == Some(&self.zone),
            is_probe: self.health.is_quarantined(),
        })
    }

    /// Expected run time on this worker, given that on a worker of average speed.
    pub fn expected_run_time(&self, expected_ms: DurationMs) -> DurationMs {
        self.slowness().from_nominal(expected_ms)
    }

    /// Whether it is full and at least half of its tasks from this entry take far
    /// longer than expected, as on a machine that has become slow. On a worker
    /// that is not full, the long tasks are merely those that are left.
    pub fn is_stuck(&self, now: TimestampMs) -> bool {
        let late = |dispatched: &&DispatchedTask| {
            let limit_ms = self.expected_run_time(dispatched.expected_ms) * LATE_FACTOR;
            now.since(dispatched.sent_ms) > limit_ms.max(MIN_LATE_MS)
        };
        let late_count = self.dispatched_tasks.values().filter(late).count();
        let smallest = self
            .dispatched_tasks
            .values()
            .map(|dispatched| dispatched.needs)
            .min_by_key(|needs| needs.processors);
        let is_full = smallest
            .zip(self.reported_peer_load(now))
            .and_then(|(needs, (peer_load, _))| self.slots_for(needs, peer_load))
            .is_some_and(|(slots, load)| load >= slots);
        is_full && late_count >= MIN_LATE_TASKS && late_count * 2 >= self.dispatched_tasks.len()
    }

    /// Whether its agent reports at least half of its tasks as overdue.
    pub fn reports_overdue(&self) -> bool {
        self.load.overdue >= MIN_OVERDUE
            && u32::from(self.load.overdue) * 2 >= u32::from(self.load.total_tasks)
    }

    /// Tasks that have been there far longer than expected and are not withdrawn.
    pub fn overdue_tasks(&self, now: TimestampMs) -> Vec<TaskId> {
        let is_overdue = |dispatched: &DispatchedTask| {
            let run_time_ms = self.expected_run_time(dispatched.expected_ms);
            !dispatched.is_withdrawn && now.since(dispatched.sent_ms) > overdue_after(run_time_ms)
        };
        self.dispatched_tasks
            .iter()
            .filter(|(_, dispatched)| is_overdue(dispatched))
            .map(|(task, _)| *task)
            .collect()
    }
}

/// How often `needs` fit into `free`.
fn fit_count(free: Resources, needs: Resources) -> u16 {
    let count = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let fits = count(free.processors.0.into(), needs.processors.0.into())
        .min(count(free.memory_bytes.0, needs.memory_bytes.0))
        .min(count(free.accelerators.into(), needs.accelerators.into()));
    u16::try_from(fits).unwrap_or(u16::MAX)
}
