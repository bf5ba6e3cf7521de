use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use lagoonhill_protocol::{Load, Target};
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::{Candidate, Health, Needs, OthersShare, WorkKind};
use crate::{Session, Slowness, believed_slowness, overdue_after};

new_key_type! {
    /// Names one session's worker within an entry. A new session of the same
    /// worker gets a new key.
    pub struct WorkerKey;
}

/// Where a worker stands in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Known, but no target is announced.
    Joining,
    /// Gets work.
    Serving,
    /// Silent while it owes an answer; gets no new work.
    Suspect,
    /// Leaving; gets no new work.
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

/// An order that has no outcome yet.
#[derive(Clone, Debug)]
pub struct Order {
    /// When it was sent.
    pub sent_ms: TimestampMs,
    /// The team whose concurrency it counts against.
    pub team: TeamName,
    /// What it takes of the target.
    pub needs: Resources,
    /// What it is expected to be like.
    pub kind: WorkKind,
    /// How long it is expected to run on a worker of average speed.
    pub expected_ms: DurationMs,
    /// What its job declared; zero when nothing.
    pub declared_ms: DurationMs,
    /// Whether its agent has been told to give it back.
    pub recalled: bool,
    /// Whether its end must be stored.
    pub kept: bool,
}

/// A task that has taken this many times the expected run time is late.
const STUCK_FACTOR: u64 = 5;

/// Shortest time after which a task counts as late.
const MIN_STUCK_MS: DurationMs = DurationMs(2_000);

/// Fewer late tasks than this may be long by chance.
const MIN_STUCK_ORDERS: usize = 3;

/// Overdue tasks that make an agent's report suspicious.
const MIN_OVERDUE: u16 = 2;

/// An entry's view of one worker, for the length of one session.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where its agent takes packets.
    pub inbox: SocketAddr,
    /// Its announced target.
    pub target: Option<Target>,
    /// The session with its agent.
    pub session: Session,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    orders: HashMap<TaskId, Order>,
    /// What the orders take together.
    ordered: Resources,
    /// Whether it runs tasks well.
    pub health: Health,
    /// The agent's last report.
    pub load: Load,
    /// The heartbeat interval it was told.
    pub told_heartbeat_ms: DurationMs,
}

impl Worker {
    /// A worker that has just greeted.
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
            ordered: Resources::default(),
            health: Health::default(),
            load: Load::default(),
            told_heartbeat_ms: DurationMs::ZERO,
        }
    }

    /// Where it stands.
    pub fn state(&self) -> WorkerState {
        match &self.target {
            _ if self.leaving => WorkerState::Leaving,
            None => WorkerState::Joining,
            Some(_) if self.session.is_silent() => WorkerState::Suspect,
            Some(_) => WorkerState::Serving,
        }
    }

    /// Its run time relative to the average, by the runs of all entries that
    /// its agent has reported.
    pub fn slowness(&self) -> Slowness {
        believed_slowness(self.load.speed)
    }

    /// Whether it offers what is needed.
    pub fn fits(&self, needs: &Needs) -> bool {
        self.target.as_ref().is_some_and(|target| {
            needs.resources.fits_in(target.capacity)
                && needs
                    .label
                    .as_ref()
                    .is_none_or(|label| target.labels.contains(label))
        })
    }

    /// What other entries had there by the agent's last report, as a share of
    /// the target.
    pub fn reported_others(&self, now: TimestampMs) -> Option<(OthersShare, DurationMs)> {
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

    /// Orders without an outcome, by task.
    pub fn orders(&self) -> impl Iterator<Item = (&TaskId, &Order)> {
        self.orders.iter()
    }

    /// Whether every order has its outcome.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty()
    }

    /// Notes an order that has been sent.
    pub fn add_order(&mut self, task: TaskId, order: Order) {
        self.ordered = self.ordered + order.needs;
        self.orders.insert(task, order);
    }

    /// Takes an order whose outcome is known.
    pub fn take_order(&mut self, task: TaskId) -> Option<Order> {
        let order = self.orders.remove(&task)?;
        self.ordered = self.ordered - order.needs;
        Some(order)
    }

    /// Notes that an order is to be given back.
    pub fn recall_order(&mut self, task: TaskId) {
        if let Some(order) = self.orders.get_mut(&task) {
            order.recalled = true;
        }
    }

    /// How many tasks of these needs the target runs at the same time, and how
    /// many of that are taken or waited for: by its slots or by its resources,
    /// whichever leaves less room.
    fn slots_for(&self, needs: Resources, others: OthersShare) -> Option<(u16, u16)> {
        let target = self.target.as_ref()?;
        let own = u16::try_from(self.orders.len()).unwrap_or(u16::MAX);
        let by_slots = (
            target.slots.0,
            own.saturating_add(others.slots_of(target.slots)),
        );
        if needs == Resources::default() {
            return Some(by_slots);
        }
        let others = Resources {
            processors: others.processors_of(target.capacity.processors),
            ..Resources::default()
        };
        let used = others + self.ordered;
        let slots = times(target.capacity, needs);
        let over = (used - target.capacity).processors.0;
        let waiting = over.checked_div(needs.processors.0).unwrap_or(0);
        let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
        let taken = slots.saturating_sub(times(target.capacity - used, needs));
        let by_resources = (slots, taken.saturating_add(waiting));
        let room = |(slots, load): (u16, u16)| i32::from(slots) - i32::from(load);
        Some(if room(by_slots) < room(by_resources) {
            by_slots
        } else {
            by_resources
        })
    }

    /// Tasks that the worker is estimated to hold: our orders, and what it
    /// last reported for other entries.
    pub fn estimated_load(&self) -> u16 {
        let others = self.load.total.saturating_sub(self.load.yours);
        u16::try_from(self.orders.len())
            .unwrap_or(u16::MAX)
            .saturating_add(others)
    }

    /// The worker as placement sees it.
    ///
    /// `others` is what other entries are believed to have there.
    pub fn candidate(
        &self,
        key: WorkerKey,
        needs: &Needs,
        others: OthersShare,
        own_zone: Option<&AvailabilityZone>,
    ) -> Option<Candidate> {
        let (slots, load) = self.slots_for(needs.resources, others)?;
        let target = self.target.as_ref()?;
        let is_far = needs
            .near
            .as_ref()
            .is_some_and(|label| !target.labels.contains(label));
        let mut slowness = self.slowness();
        if is_far {
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

    /// The run time to expect here, from the one on a worker of average speed.
    pub fn usual_run_time(&self, expected_ms: DurationMs) -> DurationMs {
        self.slowness().stretch(expected_ms)
    }

    /// Whether it is full and at least half of our orders take far longer than
    /// usual here, as on a machine that has become slow. On a worker that is
    /// not full the long tasks are merely the ones that are left.
    pub fn is_stuck(&self, now: TimestampMs) -> bool {
        let late = |order: &&Order| {
            let limit_ms = self.usual_run_time(order.expected_ms) * STUCK_FACTOR;
            now.since(order.sent_ms) > limit_ms.max(MIN_STUCK_MS)
        };
        let late_orders = self.orders.values().filter(late).count();
        let least = self
            .orders
            .values()
            .map(|order| order.needs)
            .min_by_key(|needs| needs.processors);
        let full = least
            .zip(self.reported_others(now))
            .and_then(|(needs, (others, _))| self.slots_for(needs, others))
            .is_some_and(|(slots, load)| load >= slots);
        full && late_orders >= MIN_STUCK_ORDERS && late_orders * 2 >= self.orders.len()
    }

    /// Whether its agent reports that most of what runs there is overdue.
    pub fn reports_overdue(&self) -> bool {
        self.load.overdue >= MIN_OVERDUE && self.load.overdue * 2 >= self.load.total
    }

    /// Orders that have been there far longer than they should take.
    pub fn overdue_orders(&self, now: TimestampMs) -> Vec<TaskId> {
        let is_overdue = |order: &Order| {
            let usual_ms = self.usual_run_time(order.expected_ms);
            !order.recalled && now.since(order.sent_ms) > overdue_after(usual_ms)
        };
        self.orders
            .iter()
            .filter(|(_, order)| is_overdue(order))
            .map(|(task, _)| *task)
            .collect()
    }
}

/// How often `needs` fit into `room`.
fn times(room: Resources, needs: Resources) -> u16 {
    let count = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    let least = count(room.processors.0.into(), needs.processors.0.into())
        .min(count(room.memory_bytes.0, needs.memory_bytes.0))
        .min(count(room.accelerators.into(), needs.accelerators.into()));
    u16::try_from(least).unwrap_or(u16::MAX)
}
