use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use lagoonhill_protocol::{Load, Target};
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::{Candidate, Health, Needs, OthersShare, WorkKind};
use crate::{Session, Slowness, believed_slowness, overdue_after};

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
}

impl fmt::Display for WorkerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
        })
    }
}

/// A dispatched task without an outcome.
#[derive(Clone, Debug)]
pub struct Order {
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
    pub recalled: bool,
    /// Whether its job is durable, so that its end must be stored.
    pub kept: bool,
}

/// Multiple of the expected run time after which a task is late.
const LATE_FACTOR: u64 = 5;

/// Shortest time after which a task is late.
const MIN_LATE_MS: DurationMs = DurationMs(2_000);

/// Fewer late tasks than this can be due to chance.
const MIN_LATE_TASKS: usize = 3;

/// Overdue tasks in an agent's report from which the worker is suspected.
const MIN_OVERDUE: u16 = 2;

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
    /// Session with its agent.
    pub session: Session,
    /// Whether its agent has sent a leave message.
    pub leaving: bool,
    orders: HashMap<TaskId, Order>,
    /// Resources that all dispatched tasks take together.
    dispatched: Resources,
    /// Failures and quarantine of the worker.
    pub health: Health,
    /// Load in the last report of its agent.
    pub load: Load,
    /// Heartbeat interval that was last sent to its agent.
    pub told_heartbeat_ms: DurationMs,
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
            target,
            session,
            leaving: false,
            orders: HashMap::new(),
            dispatched: Resources::default(),
            health: Health::default(),
            load: Load::default(),
            told_heartbeat_ms: DurationMs::ZERO,
        }
    }

    /// State of the worker.
    pub fn state(&self) -> WorkerState {
        match &self.target {
            _ if self.leaving => WorkerState::Leaving,
            None => WorkerState::Joining,
            Some(_) if self.session.is_silent() => WorkerState::Suspect,
            Some(_) => WorkerState::Serving,
        }
    }

    /// Run time relative to the average, estimated from the runs of all entries
    /// that its agent reported.
    pub fn slowness(&self) -> Slowness {
        believed_slowness(self.load.speed)
    }

    /// Whether its target meets the requirements.
    pub fn fits(&self, needs: &Needs) -> bool {
        self.target.as_ref().is_some_and(|target| {
            needs.resources.fits_in(target.capacity)
                && needs
                    .label
                    .as_ref()
                    .is_none_or(|label| target.labels.contains(label))
        })
    }

    /// Load from peer entries in the agent's last report, as a share of the
    /// target, and the age of that report.
    pub fn reported_peer_load(&self, now: TimestampMs) -> Option<(OthersShare, DurationMs)> {
        let target = self.target.as_ref()?;
        let load = &self.load;
        let share = OthersShare::new(
            (load.total.saturating_sub(load.yours), target.slots),
            (
                MilliProcessors(
                    load.total_processors
                        .0
                        .saturating_sub(load.your_processors.0),
                ),
                target.capacity.processors,
            ),
        );
        Some((share, now.since(self.session.last_heard_ms())))
    }

    /// Dispatched tasks without an outcome.
    pub fn orders(&self) -> impl Iterator<Item = (&TaskId, &Order)> {
        self.orders.iter()
    }

    /// Whether all dispatched tasks have their outcomes.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty()
    }

    /// Adds a task that has been dispatched.
    pub fn add_order(&mut self, task: TaskId, order: Order) {
        self.dispatched = self.dispatched + order.needs;
        self.orders.insert(task, order);
    }

    /// Removes a task whose outcome is known.
    pub fn take_order(&mut self, task: TaskId) -> Option<Order> {
        let order = self.orders.remove(&task)?;
        self.dispatched = self.dispatched - order.needs;
        Some(order)
    }

    /// Marks a task as withdrawn.
    pub fn recall_order(&mut self, task: TaskId) {
        if let Some(order) = self.orders.get_mut(&task) {
            order.recalled = true;
        }
    }

    /// Number of tasks of these needs that the target can run at the same time,
    /// and number of these places that are taken or have a task waiting: by its
    /// slots or by its resources, whichever leaves less free capacity.
    fn slots_for(&self, needs: Resources, peer_load: OthersShare) -> Option<(u16, u16)> {
        let target = self.target.as_ref()?;
        let from_this_entry = u16::try_from(self.orders.len()).unwrap_or(u16::MAX);
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
        let used = peer_load + self.dispatched;
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
        let peer_load = self.load.total.saturating_sub(self.load.yours);
        u16::try_from(self.orders.len())
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
        peer_load: OthersShare,
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
            is_near: own_zone == Some(&self.zone),
            is_probe: self.health.is_quarantined(),
        })
    }

    /// Expected run time on this worker, given that on a worker of average speed.
    pub fn usual_run_time(&self, expected_ms: DurationMs) -> DurationMs {
        self.slowness().stretch(expected_ms)
    }

    /// Whether it is full and at least half of its tasks from this entry take far
    /// longer than expected, as on a machine that has become slow. On a worker
    /// that is not full, the long tasks are merely those that are left.
    pub fn is_stuck(&self, now: TimestampMs) -> bool {
        let late = |order: &&Order| {
            let limit_ms = self.usual_run_time(order.expected_ms) * LATE_FACTOR;
            now.since(order.sent_ms) > limit_ms.max(MIN_LATE_MS)
        };
        let late_count = self.orders.values().filter(late).count();
        let smallest = self
            .orders
            .values()
            .map(|order| order.needs)
            .min_by_key(|needs| needs.processors);
        let is_full = smallest
            .zip(self.reported_peer_load(now))
            .and_then(|(needs, (peer_load, _))| self.slots_for(needs, peer_load))
            .is_some_and(|(slots, load)| load >= slots);
        is_full && late_count >= MIN_LATE_TASKS && late_count * 2 >= self.orders.len()
    }

    /// Whether its agent reports at least half of its tasks as overdue.
    pub fn reports_overdue(&self) -> bool {
        self.load.overdue >= MIN_OVERDUE && self.load.overdue * 2 >= self.load.total
    }

    /// Tasks that have been there far longer than expected and are not withdrawn.
    pub fn overdue_orders(&self, now: TimestampMs) -> Vec<TaskId> {
        let is_overdue = |order: &Order| {
            let run_time_ms = self.usual_run_time(order.expected_ms);
            !order.recalled && now.since(order.sent_ms) > overdue_after(run_time_ms)
        };
        self.orders
            .iter()
            .filter(|(_, order)| is_overdue(order))
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
