//! Keeps kinds of work whose tasks crash workers to a part of the fleet.
//!
//! Load pattern: some tasks of one kind crash the worker that starts them, and the
//! worker is back after some seconds. A few such tasks a second take a whole fleet,
//! even if none is started twice, and all other kinds of work are lost with it.
//!
//! A crash alone doesn't tell which of the kinds on the worker is to blame, and an
//! entry knows only its own tasks there. So when workers crash in a crowd, each kind
//! gets a part of the fleet of its own. From then on crashes show to which kind they
//! belong, and the other kinds go on. The kind whose part crashes is contained: it
//! keeps a bounded part until the crashes end, and the others share the rest.

use std::collections::{BTreeSet, HashMap, VecDeque};

use lagoonhill_types::prelude::*;

use super::{
    ContainmentChange, ContainmentEvent, FleetParts, KindDemand, PERMILLE, Work, WorkKind,
};

/// Time within which crashes count as a crowd: shorter than the time in which
/// unrelated crashes on several workers are to be expected in a large fleet.
const CROWD_WINDOW_MS: DurationMs = DurationMs(2_000);

/// Crashes within this time count as one incident: the loss of a rack, a switch or a
/// zone, which takes all its workers at once. Crashes are noticed by silence, so
/// later for some workers than for others.
const INCIDENT_MS: DurationMs = DurationMs(100);

/// Incidents that make a crowd. Two may be chance.
const MIN_INCIDENTS: usize = 3;

/// Divisor of a fleet that gives the crashed workers that make a crowd, if that
/// is more than [`MIN_INCIDENTS`]: fewer don't endanger it.
const MIN_CROWD_DIVISOR: usize = 16;

/// Incidents in the part of a kind that show that the kind is to blame.
const MIN_CONVICTING_INCIDENTS: usize = 2;

/// Crashes this soon after a change of the parts may be due to tasks that were
/// started before it.
const SETTLE_MS: DurationMs = DurationMs(400);

/// Time without a crash, while all workers of a part are up, that ends a containment.
const RELEASE_MS: DurationMs = DurationMs(3_000);

/// A crashed worker that stays away for longer is not waited for.
const MAX_DOWN_MS: DurationMs = DurationMs(15_000);

/// Interval at which the sizes of parts are adapted to the demand.
const RESIZE_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Workers in thousandths by which the wanted size of a part must differ from the present
/// one for a change: more than half of one, so that it doesn't change to and fro.
const RESIZE_HYSTERESIS_PERMILLE: u64 = 750;

/// Divisor of a fleet that gives the largest part of a contained kind.
const MAX_CONTAINED_DIVISOR: usize = 4;

/// A kind of work with a smaller share of the demand gets no part of its own.
const MIN_SHARE_PERMILLE: u64 = 5;

/// A worker of a service, as far as containment is concerned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartMember {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
}

#[derive(Clone, Debug)]
struct Crash {
    member: PartMember,
    at_ms: TimestampMs,
    /// The kind for which the worker was set aside.
    owner: Option<WorkKind>,
    /// Whether a run was interrupted there. A target that drains ends its runs.
    is_confirmed: bool,
}

/// A kind of work that has a part of the fleet.
#[derive(Clone, Debug)]
struct Isolated {
    kind: WorkKind,
    is_contained: bool,
    size: usize,
    /// When its workers were last known to crash or to be down.
    troubled_ms: TimestampMs,
}

/// Crashes and parts of one service.
#[derive(Debug, Default)]
struct ServiceCrashes {
    crashes: VecDeque<Crash>,
    /// Workers that have crashed and are not back.
    down: HashMap<WorkerId, TimestampMs>,
    isolated: Vec<Isolated>,
    /// Kinds under suspicion that share the rest of the fleet.
    rest_suspects: Vec<WorkKind>,
    parts: FleetParts,
    changed_ms: TimestampMs,
    resized_ms: TimestampMs,
    /// When any worker was last known to crash or to be down.
    troubled_ms: TimestampMs,
}

/// The kinds of work that are kept to parts of the fleet because workers crash.
#[derive(Debug, Default)]
pub struct CrashContainment {
    demand: KindDemand,
    /// Services with recent crashes.
    services: HashMap<ServiceName, ServiceCrashes>,
}

impl CrashContainment {
    /// Records the work of a submission, accepted or not.
    pub fn record_demand(&mut self, kind: WorkKind, work: Work, now: TimestampMs) {
        self.demand.record(kind, work, now);
    }

    /// Whether any kind of work of a service is kept to a part of the fleet.
    pub fn is_active(&self, service: &ServiceName) -> bool {
        !self.services.is_empty()
            && self
                .services
                .get(service)
                .is_some_and(ServiceCrashes::is_active)
    }

    /// Whether a kind of work is kept to a part of the fleet.
    pub fn is_isolated(&self, kind: &WorkKind) -> bool {
        let isolated = |crashes: &ServiceCrashes| crashes.find(kind).is_some();
        self.services.get(&kind.service).is_some_and(isolated)
    }

    /// Whether a kind of work may run on a worker.
    pub fn may_run(&self, kind: &WorkKind, worker: &WorkerId) -> bool {
        let service = self.services.get(&kind.service);
        service.is_none_or(|crashes| crashes.parts.may_run(kind, worker))
    }

    /// The services with recent crashes.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// The contained kinds of work, with the sizes of their parts.
    pub fn contained(&self) -> impl Iterator<Item = (&WorkKind, usize)> {
        let isolated = self.services.values().flat_map(|crashes| &crashes.isolated);
        let contained = isolated.filter(|isolated| isolated.is_contained);
        contained.map(|isolated| (&isolated.kind, isolated.size))
    }

    /// The crashed workers of a service that are not back.
    pub fn down(&self, service: &ServiceName) -> impl Iterator<Item = &WorkerId> {
        let crashes = self.services.get(service).into_iter();
        crashes.flat_map(|crashes| crashes.down.keys())
    }

    /// Records that a worker seems to have crashed. `fleet` has all workers of its
    /// service that are not drained, whether they are up or not.
    pub fn record_crash(
        &mut self,
        service: &ServiceName,
        member: PartMember,
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        let crashes = self.services.entry(service.clone()).or_default();
        let owner = crashes.parts.owner(&member.worker).cloned();
        if let Some(isolated) = owner.as_ref().and_then(|kind| crashes.find_mut(kind)) {
            isolated.troubled_ms = now;
        }
        crashes.troubled_ms = now;
        crashes.down.insert(member.worker.clone(), now);
        crashes.crashes.push_back(Crash {
            member,
            at_ms: now,
            owner,
            is_confirmed: false,
        });
        let shares = self.demand.shares(service, now);
        crashes.assess(&shares, fleet, now)
    }

    /// Records that a run was interrupted on a worker that seems to have crashed.
    pub fn confirm_crash(
        &mut self,
        service: &ServiceName,
        worker: &WorkerId,
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        let Some(crashes) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let is_news = |crash: &&mut Crash| crash.member.worker == *worker && !crash.is_confirmed;
        let Some(crash) = crashes.crashes.iter_mut().rev().find(is_news) else {
            return Vec::new();
        };
        crash.is_confirmed = true;
        let shares = self.demand.shares(service, now);
        crashes.assess(&shares, fleet, now)
    }

    /// Whether a crash of a worker has been recorded lately.
    pub fn has_crashed(&self, service: &ServiceName, worker: &WorkerId, now: TimestampMs) -> bool {
        self.services.get(service).is_some_and(|crashes| {
            let mut recent = crashes.crashes.iter().rev();
            crashes.down.contains_key(worker)
                || recent.any(|crash| {
                    crash.member.worker == *worker && now.since(crash.at_ms) <= CROWD_WINDOW_MS
                })
        })
    }

    /// Records that a worker which seemed to have crashed goes on with its tasks: it
    /// only takes no new ones.
    pub fn retract_crash(&mut self, worker: &WorkerId) {
        for crashes in self.services.values_mut() {
            if crashes.down.remove(worker).is_some() {
                let is_other = |crash: &Crash| crash.member.worker != *worker;
                crashes.crashes.retain(is_other);
            }
        }
    }

    /// Records that a worker accepts tasks.
    pub fn record_return(&mut self, service: &ServiceName, worker: &WorkerId, now: TimestampMs) {
        if let Some(crashes) = self.services.get_mut(service)
            && crashes.down.remove(worker).is_some()
        {
            crashes.troubled_ms = now;
            let owner = crashes.parts.owner(worker).cloned();
            if let Some(isolated) = owner.and_then(|kind| crashes.find_mut(&kind)) {
                isolated.troubled_ms = now;
            }
        }
    }

    /// Resizes and releases the parts of a service.
    pub fn tick(
        &mut self,
        service: &ServiceName,
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        let Some(crashes) = self.services.get_mut(service) else {
            return Vec::new();
        };
        crashes.expire(now);
        let mut changes = crashes.release(fleet, now);
        if crashes.is_active() && now.since(crashes.resized_ms) >= RESIZE_INTERVAL_MS {
            let shares = self.demand.shares(service, now);
            changes.extend(crashes.resize(&shares, fleet, now));
        }
        if !crashes.is_active() && crashes.crashes.is_empty() && crashes.down.is_empty() {
            self.services.remove(service);
        }
        changes
    }
}

impl ServiceCrashes {
    fn is_active(&self) -> bool {
        !self.isolated.is_empty()
    }

    fn find(&self, kind: &WorkKind) -> Option<&Isolated> {
        self.isolated.iter().find(|isolated| isolated.kind == *kind)
    }

    fn find_mut(&mut self, kind: &WorkKind) -> Option<&mut Isolated> {
        self.isolated
            .iter_mut()
            .find(|isolated| isolated.kind == *kind)
    }

    /// Decides what the crashes so far show.
    fn assess(
        &mut self,
        shares: &[(WorkKind, u64)],
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        self.expire(now);
        if self.has_suspects() {
            return self.convict(shares, fleet, now);
        }
        let is_outside =
            |crash: &&Crash| crash.owner.is_none() && (!self.is_active() || self.is_settled(crash));
        let outside: Vec<&Crash> = self.crashes.iter().filter(is_outside).collect();
        if !is_crowd(&outside, fleet) {
            return Vec::new();
        }
        let count = outside.len();
        let is_free = |(kind, share): &&(WorkKind, u64)| {
            *share >= MIN_SHARE_PERMILLE && self.find(kind).is_none()
        };
        let suspects = shares.iter().filter(is_free);
        let suspects = suspects.map(|(kind, _)| kind.clone()).collect();
        self.separate(suspects, shares, fleet, count, now)
    }

    fn has_suspects(&self) -> bool {
        !self.rest_suspects.is_empty() || self.isolated.iter().any(|other| !other.is_contained)
    }

    /// Whether a crash is certainly of a task that was started in the present parts.
    fn is_settled(&self, crash: &Crash) -> bool {
        crash.at_ms >= self.changed_ms + SETTLE_MS
    }

    /// Gives each suspect but the largest a part of its own, as far as there are
    /// workers; the others share the rest.
    fn separate(
        &mut self,
        suspects: Vec<WorkKind>,
        shares: &[(WorkKind, u64)],
        fleet: &[PartMember],
        crashes: usize,
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        if suspects.len() < 2 || fleet.len() < 2 {
            return Vec::new();
        }
        let mut suspects = suspects.into_iter();
        let largest = suspects.next();
        let own: Vec<WorkKind> = suspects.by_ref().take(fleet.len() / 2).collect();
        self.rest_suspects = largest.into_iter().chain(suspects).collect();
        for kind in own {
            let size = rounded(wanted_permille(&kind, shares, fleet.len()));
            self.isolated.push(Isolated {
                kind,
                is_contained: false,
                size: size.max(1),
                troubled_ms: now,
            });
        }
        self.reassign(fleet);
        self.changed_ms = now;
        self.resized_ms = now;
        let separated = self.isolated.iter().filter(|other| !other.is_contained);
        separated
            .map(|isolated| Self::change(ContainmentEvent::Separated, isolated, fleet, crashes))
            .collect()
    }

    /// Contains the suspect whose workers crash while those of the others don't.
    fn convict(
        &mut self,
        shares: &[(WorkKind, u64)],
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        let incidents = |owner: Option<&WorkKind>| {
            let is_of_owner =
                |crash: &&Crash| crash.owner.as_ref() == owner && self.is_settled(crash);
            count_incidents(self.crashes.iter().filter(is_of_owner))
        };
        let suspects = self.isolated.iter().filter(|other| !other.is_contained);
        let owners = suspects.map(|isolated| Some(&isolated.kind));
        let counts: Vec<(Option<WorkKind>, usize)> = owners
            .chain(std::iter::once(None))
            .map(|owner| (owner.cloned(), incidents(owner)))
            .collect();
        let Some((guilty, most)) = counts.iter().max_by_key(|(_, count)| *count).cloned() else {
            return Vec::new();
        };
        let others = counts.iter().filter(|(owner, _)| *owner != guilty);
        let next = others.map(|(_, count)| *count).max().unwrap_or(0);
        if most < MIN_CONVICTING_INCIDENTS.max(next * 2) {
            return Vec::new();
        }
        let rest_suspects = std::mem::take(&mut self.rest_suspects);
        let guilty = match guilty {
            Some(kind) => Some(kind),
            None if rest_suspects.len() == 1 => rest_suspects.into_iter().next(),
            None => {
                let mut changes = self.clear_suspects(None, fleet);
                changes.extend(self.separate(rest_suspects, shares, fleet, most, now));
                return changes;
            }
        };
        let Some(kind) = guilty else {
            return Vec::new();
        };
        let mut changes = self.clear_suspects(Some(&kind), fleet);
        let size = contained_size(wanted_permille(&kind, shares, fleet.len()), fleet.len());
        self.isolated.retain(|other| other.kind != kind);
        let isolated = Isolated {
            kind,
            is_contained: true,
            size,
            troubled_ms: now,
        };
        let contained = Self::change(ContainmentEvent::Contained, &isolated, fleet, most);
        self.isolated.insert(0, isolated);
        self.reassign(fleet);
        self.changed_ms = now;
        changes.push(contained);
        changes
    }

    /// Lets all suspects but one share the rest of the fleet again.
    fn clear_suspects(
        &mut self,
        guilty: Option<&WorkKind>,
        fleet: &[PartMember],
    ) -> Vec<ContainmentChange> {
        let is_cleared = |other: &Isolated| !other.is_contained && guilty != Some(&other.kind);
        let cleared: Vec<Isolated> = self
            .isolated
            .extract_if(.., |other| is_cleared(other))
            .collect();
        self.rest_suspects.clear();
        let change = |isolated: &Isolated| {
            let isolated = Isolated {
                size: 0,
                ..isolated.clone()
            };
            Self::change(ContainmentEvent::Cleared, &isolated, fleet, 0)
        };
        cleared.iter().map(change).collect()
    }

    /// Ends containments without recent crashes, and the search for the kind to blame
    /// when the crashes have ended.
    fn release(&mut self, fleet: &[PartMember], now: TimestampMs) -> Vec<ContainmentChange> {
        let is_down = |member: &&PartMember| self.down.contains_key(&member.worker);
        let down_owners: Vec<Option<WorkKind>> = fleet
            .iter()
            .filter(is_down)
            .map(|member| self.parts.owner(&member.worker).cloned())
            .collect();
        let is_quiet = |kind: Option<&WorkKind>, troubled_ms: TimestampMs| {
            let is_complete = !down_owners.iter().any(|owner| owner.as_ref() == kind);
            is_complete && now.since(troubled_ms) >= RELEASE_MS
        };
        let is_over = |isolated: &Isolated| {
            isolated.is_contained && is_quiet(Some(&isolated.kind), isolated.troubled_ms)
        };
        let is_search_over = down_owners.is_empty() && now.since(self.troubled_ms) >= RELEASE_MS;
        let released: Vec<Isolated> = self
            .isolated
            .extract_if(.., |other| is_over(other))
            .collect();
        let mut changes: Vec<ContainmentChange> = Vec::new();
        for isolated in &released {
            let isolated = Isolated {
                size: 0,
                ..isolated.clone()
            };
            changes.push(Self::change(
                ContainmentEvent::Released,
                &isolated,
                fleet,
                0,
            ));
        }
        if is_search_over && self.has_suspects() {
            changes.extend(self.clear_suspects(None, fleet));
        }
        if !changes.is_empty() {
            self.reassign(fleet);
        }
        changes
    }

    /// Adapts the parts of contained kinds to the demand. Those of suspects stay, so
    /// that crashes go on to show to which kind they belong.
    fn resize(
        &mut self,
        shares: &[(WorkKind, u64)],
        fleet: &[PartMember],
        now: TimestampMs,
    ) -> Vec<ContainmentChange> {
        self.resized_ms = now;
        let mut changes = Vec::new();
        for index in 0..self.isolated.len() {
            let isolated = &mut self.isolated[index];
            let wanted = wanted_permille(&isolated.kind, shares, fleet.len());
            let difference = wanted.abs_diff(isolated.size as u64 * PERMILLE);
            if !isolated.is_contained || difference <= RESIZE_HYSTERESIS_PERMILLE {
                continue;
            }
            let size = contained_size(wanted, fleet.len());
            let event = match size.cmp(&isolated.size) {
                std::cmp::Ordering::Greater => ContainmentEvent::Grown,
                std::cmp::Ordering::Less => ContainmentEvent::Shrunk,
                std::cmp::Ordering::Equal => continue,
            };
            isolated.size = size;
            let isolated = &self.isolated[index];
            let is_of_kind = |crash: &&Crash| crash.owner.as_ref() == Some(&isolated.kind);
            let crashes = self.crashes.iter().filter(is_of_kind).count();
            changes.push(Self::change(event, isolated, fleet, crashes));
        }
        self.reassign(fleet);
        changes
    }

    /// Assigns the parts. Contained kinds choose first, then in the order of names, so
    /// that entries agree whichever kinds they see as larger.
    fn reassign(&mut self, fleet: &[PartMember]) {
        self.isolated.sort_by(|left, right| {
            let by_state = right.is_contained.cmp(&left.is_contained);
            by_state.then_with(|| left.kind.queue.cmp(&right.kind.queue))
        });
        let sizes: Vec<(WorkKind, usize)> = self
            .isolated
            .iter()
            .map(|isolated| (isolated.kind.clone(), isolated.size))
            .collect();
        let workers: Vec<WorkerId> = fleet.iter().map(|member| member.worker.clone()).collect();
        self.parts = FleetParts::assign(&limited(sizes, workers.len()), &workers);
    }

    fn change(
        event: ContainmentEvent,
        isolated: &Isolated,
        fleet: &[PartMember],
        crashes: usize,
    ) -> ContainmentChange {
        ContainmentChange {
            event,
            kind: isolated.kind.clone(),
            workers: isolated.size,
            fleet: fleet.len(),
            crashes,
            window_ms: CROWD_WINDOW_MS,
        }
    }

    fn expire(&mut self, now: TimestampMs) {
        let is_old = |crash: &Crash| now.since(crash.at_ms) > CROWD_WINDOW_MS;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
        self.down
            .retain(|_, since_ms| now.since(*since_ms) < MAX_DOWN_MS);
    }
}

/// Number of workers that corresponds to a kind's share of the demand, in thousandths.
fn wanted_permille(kind: &WorkKind, shares: &[(WorkKind, u64)], fleet: usize) -> u64 {
    let share = shares.iter().find(|(other, _)| other == kind);
    share.map_or(0, |(_, share)| *share) * fleet as u64
}

fn rounded(size_permille: u64) -> usize {
    usize::try_from((size_permille + PERMILLE / 2) / PERMILLE).unwrap_or(usize::MAX)
}

fn contained_size(wanted_permille: u64, fleet: usize) -> usize {
    let limit = (fleet / MAX_CONTAINED_DIVISOR).max(1);
    rounded(wanted_permille).clamp(1, limit)
}

/// Reduces the largest parts until a worker is left for the rest of the kinds.
fn limited(mut sizes: Vec<(WorkKind, usize)>, fleet: usize) -> Vec<(WorkKind, usize)> {
    while sizes.iter().map(|(_, size)| size).sum::<usize>() >= fleet {
        let Some((_, largest)) = sizes.iter_mut().max_by_key(|(_, size)| *size) else {
            break;
        };
        if *largest == 0 {
            break;
        }
        *largest -= 1;
    }
    sizes
}

/// Number of incidents, given crashes in the order of time.
fn count_incidents<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut first_ms: Option<TimestampMs> = None;
    let mut count = 0;
    for crash in crashes {
        if first_ms.is_none_or(|first_ms| crash.at_ms.since(first_ms) > INCIDENT_MS) {
            first_ms = Some(crash.at_ms);
            count += 1;
        }
    }
    count
}

/// Whether workers crash one after another, in more than one zone, and enough of them
/// to endanger the fleet. One crash at least must be confirmed.
fn is_crowd(crashes: &[&Crash], fleet: &[PartMember]) -> bool {
    let workers: BTreeSet<&WorkerId> = crashes.iter().map(|crash| &crash.member.worker).collect();
    let zones: BTreeSet<&AvailabilityZone> =
        crashes.iter().map(|crash| &crash.member.zone).collect();
    let has_one_zone = fleet.windows(2).all(|pair| pair[0].zone == pair[1].zone);
    workers.len() >= MIN_INCIDENTS.max(fleet.len() / MIN_CROWD_DIVISOR)
        && (has_one_zone || zones.len() > 1)
        && crashes.iter().any(|crash| crash.is_confirmed)
        && count_incidents(crashes.iter().copied()) >= MIN_INCIDENTS
}
