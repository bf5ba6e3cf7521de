//! Kinds of work whose tasks crash the workers that start them.
//!
//! Load pattern: one kind has deadly tasks that together take the whole fleet within
//! seconds, although none of them is started often; the jobs of two other kinds, which
//! are sound, would be lost with it. Guards against that, and against a fleet that is
//! divided for other reasons than such tasks, or for longer.

mod support;

use std::collections::BTreeSet;

use lagoonhill_core::entry::{
    CallerId, Cause, ContainmentChange, ContainmentEvent, DecisionKind, DrainSource, FleetParts,
    Needs, QueueSubmission, RunCertainty, Step, Submission, WorkKind,
};
use lagoonhill_rules::ZoneDrains;
use lagoonhill_standin::StopResult;
use lagoonhill_types::prelude::*;
use support::{TestWorld, class_rules, config, service, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const ENTRIES: usize = 4;
const WORKERS: usize = 12;
const ZONES: usize = 3;

/// A fleet of twelve workers in three zones, with ten slots each.
fn fleet(seed: u64) -> TestWorld {
    let mut config = config(ENTRIES, WORKERS, seed);
    config.slots = 10;
    config.zones = ZONES;
    config.rules = class_rules();
    let mut world = world(&config);
    world.stop_result = StopResult::Interrupted;
    world.record_decisions = true;
    world
}

fn job(queue: &str, name: &str, count: u16, run_ms: u64) -> Submission {
    let step = Step {
        count,
        after: Vec::new(),
        needs: Needs::of(Resources {
            processors: MilliProcessors(6_000),
            ..Resources::default()
        }),
        estimate_ms: DurationMs(run_ms),
    };
    let payload = |index| Payload::from(format!("{run_ms} {name} {index}").into_bytes());
    Submission {
        service: service(),
        team: queue.parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs(6_000)),
        waited_ms: DurationMs::ZERO,
        run_time_ms: Some(step.estimate_ms),
        needs: Needs::default(),
        tasks: (0..count).map(payload).collect(),
        durable: false,
        queued: Some(QueueSubmission {
            queue: queue.parse().expect("the name is valid"),
            name: name.parse().expect("the name is valid"),
            steps: vec![step],
        }),
    }
}

/// A job that was sent.
struct Sent {
    caller: CallerId,
    queue: &'static str,
    at_ms: TimestampMs,
    is_deadly: bool,
}

/// Callers that send jobs of three kinds at half of the fleet's capacity.
#[derive(Default)]
struct Callers {
    sent: Vec<Sent>,
}

impl Callers {
    /// Sends jobs for `length_ms`. Of those of the kind `short`, one in `deadly_every`
    /// is deadly.
    fn send(&mut self, world: &mut TestWorld, length_ms: u64, deadly_every: Option<usize>) {
        const INTERVAL_MS: u64 = 25;
        for round in 0..length_ms / INTERVAL_MS {
            self.send_one(world, "short", 8, 60, deadly_every);
            self.send_one(world, "middle", 4, 150, None);
            if round % 4 == 0 {
                self.send_one(world, "long", 4, 600, None);
            }
            world.run_for(INTERVAL_MS);
        }
    }

    fn send_one(
        &mut self,
        world: &mut TestWorld,
        queue: &'static str,
        count: u16,
        run_ms: u64,
        deadly_every: Option<usize>,
    ) {
        let number = self.sent.len();
        let of_kind = self.sent.iter().filter(|sent| sent.queue == queue).count();
        let is_deadly = deadly_every.is_some_and(|every| of_kind.is_multiple_of(every));
        let mark = if is_deadly { "deadly" } else { "sound" };
        let at_ms = world.now();
        let submission = job(queue, &format!("{mark}{number}"), count, run_ms);
        self.sent.push(Sent {
            caller: world.submit(number % ENTRIES, submission),
            queue,
            at_ms,
            is_deadly,
        });
    }

    /// Share of a kind's jobs sent in a span that were served within a second.
    fn share_served(
        &self,
        world: &TestWorld,
        queue: &str,
        from_ms: TimestampMs,
        to_ms: TimestampMs,
    ) -> f64 {
        let is_counted = |sent: &&Sent| {
            sent.queue == queue && !sent.is_deadly && sent.at_ms >= from_ms && sent.at_ms < to_ms
        };
        let counted: Vec<&Sent> = self.sent.iter().filter(is_counted).collect();
        let is_served = |sent: &&&Sent| {
            let received = world.received.get(&sent.caller).and_then(|all| all.first());
            received.is_some_and(|received| {
                received.answer.outcome.is_ok() && received.at_ms.since(sent.at_ms).0 <= 1_000
            })
        };
        counted.iter().filter(is_served).count() as f64 / counted.len() as f64
    }
}

fn changes(world: &TestWorld) -> Vec<ContainmentChange> {
    let change = |kind: &DecisionKind| match kind {
        DecisionKind::Containment(change) => Some(change.clone()),
        _ => None,
    };
    let decisions = world.decisions.iter();
    decisions
        .filter_map(|decision| change(&decision.kind))
        .collect()
}

fn count(world: &TestWorld, event: ContainmentEvent, queue: &str) -> usize {
    let is_counted = |change: &&ContainmentChange| {
        let name = change.kind.queue.as_ref().map(ToString::to_string);
        change.event == event && name.as_deref() == Some(queue)
    };
    changes(world).iter().filter(is_counted).count()
}

fn describe(world: &TestWorld) -> Vec<String> {
    changes(world).iter().map(ToString::to_string).collect()
}

/// Makes a target drain: it takes no new tasks, and ends those that it has.
fn drain_target(world: &mut TestWorld, index: usize) {
    world.with_agent(index, |machine, now| machine.set_target(None, now));
}

fn kind(queue: &str) -> WorkKind {
    WorkKind {
        service: service(),
        queue: Some(queue.parse().expect("the name is valid")),
    }
}

fn worker_ids(count: usize) -> Vec<WorkerId> {
    let id = |index| {
        format!("worker-{index}")
            .parse()
            .expect("the name is valid")
    };
    (0..count).map(id).collect()
}

cases! {
    sound_kinds_keep_their_service_beside_a_deadly_one => {
        let mut world = fleet(1);
        let mut callers = Callers::default();
        callers.send(&mut world, 3_000, None);
        let deadly_ms = world.now();
        callers.send(&mut world, 12_000, Some(10));
        let end_ms = world.now();
        world.run_for(2_000);
        let settled_ms = deadly_ms + DurationMs(5_000);
        for queue in ["middle", "long"] {
            let share = callers.share_served(&world, queue, settled_ms, end_ms);
            assert!(share >= 0.8, "{share:.2} of `{queue}` were served: {:?}", describe(&world));
        }
        assert_eq!(count(&world, ContainmentEvent::Contained, "middle"), 0, "{:?}", describe(&world));
        assert_eq!(count(&world, ContainmentEvent::Contained, "long"), 0, "{:?}", describe(&world));
    }

    parts_are_released_when_the_crashes_end => {
        let mut world = fleet(2);
        let mut callers = Callers::default();
        callers.send(&mut world, 3_000, None);
        callers.send(&mut world, 8_000, Some(10));
        callers.send(&mut world, 10_000, None);
        let calm_ms = world.now();
        callers.send(&mut world, 3_000, None);
        let end_ms = world.now();
        world.run_for(2_000);
        assert!(count(&world, ContainmentEvent::Contained, "short") >= 1, "{:?}", describe(&world));
        let contained = count(&world, ContainmentEvent::Contained, "short");
        let released = count(&world, ContainmentEvent::Released, "short");
        assert_eq!(contained, released, "{:?}", describe(&world));
        for queue in ["short", "middle", "long"] {
            let share = callers.share_served(&world, queue, calm_ms, end_ms);
            assert!(share >= 0.99, "{share:.2} of `{queue}` were served after the release");
        }
    }

    jobs_that_find_their_part_full_or_down_are_refused_at_once => {
        let mut world = fleet(3);
        let mut callers = Callers::default();
        callers.send(&mut world, 3_000, None);
        callers.send(&mut world, 12_000, Some(10));
        world.run_for(8_000);
        let mut refusals = 0;
        for sent in &callers.sent {
            let received = world.received.get(&sent.caller).and_then(|all| all.first());
            let received = received.expect("each caller is answered");
            let Err(failure) = &received.answer.outcome else {
                continue;
            };
            let waited_ms = received.at_ms.since(sent.at_ms);
            if matches!(failure.cause, Cause::Contained { .. }) {
                refusals += 1;
                assert_eq!(failure.run, RunCertainty::NotRun);
                assert!(failure.retry_after_ms.is_some());
                assert!(waited_ms <= DurationMs(50), "refused after {waited_ms}");
            }
        }
        assert!(refusals > 0, "nothing was refused: {:?}", describe(&world));
    }

    entries_with_the_same_view_choose_the_same_parts => {
        let workers = worker_ids(40);
        let mut shuffled = workers.clone();
        shuffled.reverse();
        shuffled.swap(3, 17);
        let sizes = [(kind("short"), 5), (kind("long"), 9)];
        let parts = FleetParts::assign(&sizes, &workers);
        assert_eq!(parts, FleetParts::assign(&sizes, &shuffled));
        let grown = FleetParts::assign(&[(kind("short"), 8)], &workers);
        for worker in &workers {
            if parts.may_run(&kind("short"), worker) {
                assert!(grown.may_run(&kind("short"), worker), "{worker} left a part that grew");
                assert!(!parts.may_run(&kind("middle"), worker), "{worker} is in two parts");
                assert!(!parts.may_run(&kind("long"), worker), "{worker} is in two parts");
            }
        }
        let size = |parts: &FleetParts, queue| workers.iter().filter(|worker| parts.may_run(&kind(queue), worker)).count();
        assert_eq!((size(&parts, "short"), size(&parts, "long"), size(&parts, "middle")), (5, 9, 26));
    }

    a_single_crash_contains_nothing => {
        let mut world = fleet(5);
        let mut callers = Callers::default();
        callers.send(&mut world, 2_000, None);
        world.crash_target(4);
        callers.send(&mut world, 5_000, None);
        assert_eq!(world.crash_count, 1);
        assert!(changes(&world).is_empty(), "{:?}", describe(&world));
    }

    the_loss_of_a_zone_contains_nothing => {
        let mut world = fleet(6);
        let mut callers = Callers::default();
        callers.send(&mut world, 2_000, None);
        for index in (0..WORKERS).filter(|index| index % ZONES == 1) {
            world.crash_target(index);
            callers.send(&mut world, 300, None);
        }
        callers.send(&mut world, 2_000, None);
        assert!(changes(&world).is_empty(), "{:?}", describe(&world));
    }

    the_loss_of_many_workers_at_one_moment_contains_nothing => {
        let mut world = fleet(7);
        let mut callers = Callers::default();
        callers.send(&mut world, 2_000, None);
        for index in 0..5 {
            world.crash_target(index);
            world.run_for(10);
        }
        callers.send(&mut world, 2_000, None);
        assert!(changes(&world).is_empty(), "{:?}", describe(&world));
    }

    drains_contain_nothing => {
        let mut world = fleet(8);
        let mut callers = Callers::default();
        callers.send(&mut world, 2_000, None);
        let zone: AvailabilityZone = "zone-0".parse().expect("the name is valid");
        for entry in 0..ENTRIES {
            let drains = ZoneDrains { revision: Revision(2), zones: BTreeSet::from([zone.clone()]) };
            world.with_entry(entry, |machine, now| machine.install_drains(drains, DrainSource::Store, now));
        }
        for index in [1, 2, 4] {
            world.with_agent(index, lagoonhill_core::agent::Agent::leave);
            callers.send(&mut world, 300, None);
        }
        for index in [5, 7, 8] {
            drain_target(&mut world, index);
            callers.send(&mut world, 300, None);
        }
        callers.send(&mut world, 2_000, None);
        assert!(changes(&world).is_empty(), "{:?}", describe(&world));
    }
}
