//! A target that does not guard its capacity, which shrinks and grows while it runs
//! tasks: no start brings it over the newest capacity that it has announced.

#[path = "support/agent_on_target.rs"]
mod agent_on_target;
mod support;

use agent_on_target::{AgentOnTarget, Faults};
use lagoonhill_core::entry::{CallerId, JobFailure};
use lagoonhill_types::prelude::*;
use support::{TestWorld, config, is_complete, queue_job, queue_rules};

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[test] fn $name() $body)+
    };
}

/// Time in which a change that was announced is acted on.
const REACTION_MS: u64 = 50;

/// Interval between two announcements.
const BEAT_MS: u64 = 500;

/// Time after a change from which on a start over the capacity counts.
const GRACE_MS: u64 = 500;

/// Runs of the random test.
const SEEDS: u64 = 100;

/// Longer than any of these tests.
const LONG_MS: u64 = 60_000;

fn processors(count: u32) -> Resources {
    Resources {
        processors: MilliProcessors(count * 1_000),
        ..Resources::default()
    }
}

fn memory(gibibytes: u64) -> Resources {
    Resources {
        memory_bytes: ByteCount(gibibytes << 30),
        ..Resources::default()
    }
}

fn accelerators(count: u16) -> Resources {
    Resources {
        accelerators: count,
        ..Resources::default()
    }
}

/// A target of four processors whose agent and entries are in session.
fn world(entries: usize) -> AgentOnTarget {
    let mut world = AgentOnTarget::new(entries, Faults::default(), 1);
    world.set_capacity(processors(4));
    world.announce();
    world.pass(500);
    world
}

/// Gives an entry tasks of one processor each.
fn submit(world: &mut AgentOnTarget, entry: usize, tasks: usize, run_ms: u64) {
    for _ in 0..tasks {
        world.submit_task(entry, processors(1), run_ms, 0);
    }
}

/// Shrinks or grows the target, which says so at once.
fn announce_capacity(world: &mut AgentOnTarget, capacity: Resources) {
    world.set_capacity(capacity);
    world.announce();
}

/// The refusal of a job.
fn refusal(world: &TestWorld, caller: CallerId) -> JobFailure {
    let answer = world
        .received
        .get(&caller)
        .and_then(|answers| answers.first());
    let outcome = answer.map(|received| received.answer.outcome.clone());
    outcome
        .and_then(Result::err)
        .expect("the job was not refused")
}

/// Workers of eight processors each, in session with all entries.
fn fleet(entries: usize, workers: usize) -> TestWorld {
    let mut config = config(entries, workers, 1);
    config.rules = queue_rules();
    config.slots = u16::MAX;
    let mut world = support::world(&config);
    (0..workers).for_each(|worker| world.set_capacity(worker, processors(8)));
    world.run_for(100);
    world
}

cases! {
    // Guards against starts on a target that has shrunk below what it runs.
    nothing_starts_until_enough_has_ended_on_a_target_that_has_shrunk => {
        let mut world = world(1);
        submit(&mut world, 0, 4, 2_000);
        submit(&mut world, 0, 4, 100);
        world.pass(100);
        assert_eq!(world.running(), 4);
        announce_capacity(&mut world, processors(2));
        world.pass(1_500);
        assert_eq!(world.begun, 4, "a task started beside more than fits");
        world.pass(1_000);
        assert!(world.is_done(), "the tasks did not start once others had ended");
        assert_eq!(world.excesses, []);
    }

    // Guards against the same where memory or accelerators shrink.
    memory_and_accelerators_shrink_like_processors => {
        for one in [memory(1), accelerators(1)] {
            let four = one + one + one + one;
            let mut world = AgentOnTarget::new(1, Faults::default(), 1);
            announce_capacity(&mut world, four);
            (0..8).for_each(|_| world.submit_task(0, one, 2_000, 0));
            world.pass(500);
            assert_eq!(world.running(), 4, "{one}");
            announce_capacity(&mut world, one + one);
            world.pass(2_200);
            assert!(world.running() <= 2, "{one}: {} run", world.running());
            assert_eq!(world.excesses, [], "{one}");
        }
    }

    // Guards against a start that was not answered and is sent again although the
    // target has shrunk meanwhile.
    an_unanswered_start_is_not_repeated_on_a_target_that_has_shrunk => {
        let mut world = world(1);
        world.faults.loses_starts = true;
        submit(&mut world, 0, 4, LONG_MS);
        world.pass(100);
        announce_capacity(&mut world, processors(1));
        world.pass(GRACE_MS + 500);
        world.faults.loses_starts = false;
        world.pass(2_000);
        assert_eq!(world.excesses, []);
        assert_eq!(world.running(), 1, "the target is not used");
    }

    // Guards against the same where slots are taken away.
    an_unanswered_start_is_not_repeated_on_a_target_with_fewer_slots => {
        let mut world = world(1);
        world.faults.loses_starts = true;
        submit(&mut world, 0, 4, LONG_MS);
        world.pass(100);
        world.set_slots(SlotCount(1));
        world.announce();
        world.pass(GRACE_MS);
        world.faults.loses_starts = false;
        world.pass(2_000);
        assert_eq!(world.running(), 1);
    }

    // Guards against starts beside runs that the target is still stopping.
    runs_that_are_being_stopped_count_on_a_target_that_has_shrunk => {
        let mut world = world(1);
        world.faults.stop_ms = 3_000;
        submit(&mut world, 0, 4, LONG_MS);
        world.pass(100);
        assert_eq!(world.running(), 4);
        world.lose_session(0);
        world.pass(100);
        announce_capacity(&mut world, processors(2));
        world.pass(2_500);
        assert_eq!(world.begun, 4, "a task started beside runs that are being stopped");
        world.pass(1_000);
        assert_eq!(world.excesses, []);
        assert_eq!(world.running(), 2, "the target is not used");
    }

    // Guards against a late announcement of the larger capacity.
    a_late_announcement_does_not_bring_back_the_larger_capacity => {
        let mut world = world(1);
        let late = world.delayed_announcement();
        announce_capacity(&mut world, processors(2));
        world.pass(100);
        submit(&mut world, 0, 4, LONG_MS);
        world.deliver(late.clone());
        world.pass(GRACE_MS);
        world.deliver(late);
        world.pass(GRACE_MS);
        assert_eq!(world.running(), 2);
        assert_eq!(world.excesses, []);
    }

    // Guards against late announcements that arrive in their order while the target is
    // silent otherwise, and so replace the newest one.
    late_announcements_in_order_do_not_bring_back_the_larger_capacity => {
        let mut world = world(1);
        let late: Vec<_> = (0..6).map(|_| world.delayed_announcement()).collect();
        announce_capacity(&mut world, processors(2));
        world.faults.loses_beats = true;
        world.pass(3_500);
        submit(&mut world, 0, 4, LONG_MS);
        for beat in late {
            world.deliver(beat);
            world.pass(300);
        }
        assert_eq!(world.running(), 2);
        assert_eq!(world.excesses, []);
    }

    // Guards against an agent that knows nothing newer than a late announcement.
    a_restarted_agent_does_not_believe_a_late_announcement => {
        let mut world = world(1);
        let late = world.delayed_announcement();
        announce_capacity(&mut world, processors(2));
        world.faults.loses_beats = true;
        world.pass(2_000);
        world.restart_agent(1);
        world.deliver(late);
        submit(&mut world, 0, 4, LONG_MS);
        world.pass(1_000);
        assert_eq!(world.excesses, []);
        world.announce();
        world.pass(REACTION_MS);
        assert_eq!(world.running(), 2, "the target is not used");
    }

    // Guards against a target whose regained capacity is left unused.
    a_target_that_has_grown_is_used_within_one_beat => {
        let mut world = world(2);
        announce_capacity(&mut world, processors(2));
        (0..2).for_each(|entry| submit(&mut world, entry, 2, LONG_MS));
        world.pass(500);
        assert_eq!(world.running(), 2);
        world.set_capacity(processors(4));
        world.pass(BEAT_MS + REACTION_MS);
        assert_eq!(world.running(), 4);
        assert_eq!(world.excesses, []);
    }

    // Guards against an agent that starts tasks beside the runs of its predecessor.
    a_restarted_agent_starts_nothing_beside_the_runs_of_its_predecessor => {
        let mut world = world(2);
        world.faults.stop_ms = 1_000;
        submit(&mut world, 0, 4, LONG_MS);
        world.pass(200);
        assert_eq!(world.running(), 4);
        world.restart_agent(1);
        submit(&mut world, 1, 4, LONG_MS);
        world.pass(3_000);
        assert_eq!(world.excesses, []);
        assert_eq!(world.running(), 4, "the target is not used");
    }

    // Guards against starts beside a run of a predecessor that its target lists only
    // after the agent has taken it into use.
    nothing_starts_beside_a_late_run_of_a_predecessor => {
        let mut world = world(2);
        announce_capacity(&mut world, processors(2));
        world.pass(GRACE_MS);
        world.faults.start_delay_ms = 200;
        world.faults.stop_ms = 150;
        submit(&mut world, 0, 2, LONG_MS);
        world.pass(30);
        world.restart_agent(0);
        world.announce();
        world.faults.start_delay_ms = 0;
        world.pass(220);
        assert_eq!(world.running(), 2, "the late starts were not carried out");
        submit(&mut world, 1, 2, LONG_MS);
        world.pass(3_000);
        assert_eq!(world.excesses, []);
        assert_eq!(world.running(), 2, "the target is not used");
    }

    // Guards against a restarted target that is loaded by what its earlier life told.
    a_restarted_target_is_used_by_what_its_new_life_tells => {
        let mut world = world(1);
        submit(&mut world, 0, 8, LONG_MS);
        world.pass(200);
        let late = world.delayed_announcement();
        world.restart_target();
        world.set_capacity(processors(1));
        world.pass(100);
        world.deliver(late);
        world.pass(GRACE_MS + 2_000);
        assert_eq!(world.running(), 1);
        assert_eq!(world.excesses, []);
    }

    // Guards against entries that each fill a target by an earlier or wrong belief.
    entries_that_believe_in_more_do_not_overload_a_target => {
        let mut world = world(4);
        announce_capacity(&mut world, processors(1));
        (0..4).for_each(|entry| submit(&mut world, entry, 8, 300));
        for _ in 0..40 {
            world.pass(100);
            assert!(world.running() <= 1, "{} run", world.running());
        }
        assert_eq!(world.excesses, []);
    }

    // Guards against a task that no longer fits and holds up those behind it until its
    // start lease expires.
    a_task_that_is_larger_than_what_is_left_does_not_hold_up_others => {
        let mut world = world(2);
        world.submit_task(0, processors(4), 500, 0);
        world.submit_task(0, processors(4), 100, 0);
        world.pass(50);
        submit(&mut world, 1, 2, LONG_MS);
        world.pass(50);
        announce_capacity(&mut world, processors(2));
        world.pass(500);
        assert_eq!(world.running(), 2, "tasks that fit did not start");
        assert_eq!(world.excesses, []);
    }

    // Guards against a slow target that looks like an average one once it has shrunk or
    // grown.
    the_measured_speed_is_kept_when_the_capacity_changes => {
        let mut world = world(1);
        submit(&mut world, 0, 20, 100);
        world.pass(1_000);
        let measured = world.agent.speed();
        assert!(measured.runs > 10 && measured.slowness_permille > 5_000, "{measured:?}");
        announce_capacity(&mut world, processors(2));
        world.pass(100);
        assert_eq!(world.agent.speed(), measured);
    }

    // Guards against a fleet that looks full to an entry because one of its targets has
    // shrunk far below what it runs.
    the_others_do_not_look_full_beside_a_target_that_has_shrunk => {
        let mut world = fleet(2, 4);
        let one = MilliProcessors(1_000);
        let held = world.submit(1, queue_job("short", "long", 16, one, 20_000));
        world.run_for(3_000);
        assert_eq!(world.starts.len(), 16);
        world.set_capacity(0, Resources { processors: MilliProcessors(10), ..processors(0) });
        world.run_for(1_000);
        let caller = world.submit(0, queue_job("short", "new", 6, one, 100));
        world.run_for(400);
        assert!(is_complete(&world, caller), "{} tasks started", world.starts.len() - 16);
        assert!(!is_complete(&world, held));
    }

    // Guards against a job that is refused for good because of a capacity that may grow
    // back, and against one that no target has ever fitted being told to come back.
    a_job_that_fits_only_an_earlier_capacity_is_refused_for_now => {
        let mut world = fleet(1, 2);
        (0..2).for_each(|worker| world.set_capacity(worker, processors(2)));
        world.run_for(3_000);
        let job = |name, count: u32| queue_job("short", name, 1, MilliProcessors(count * 1_000), 100);
        let earlier = world.submit(0, job("earlier", 4));
        let never = world.submit(0, job("never", 100));
        world.run_for(100);
        let (earlier, never) = (refusal(&world, earlier), refusal(&world, never));
        assert_eq!((earlier.cause.reason(), never.cause.reason()), ("lacks_capacity", "never_fits"));
        assert!(earlier.retry_after_ms.is_some() && never.retry_after_ms.is_none());
        world.set_capacity(1, processors(4));
        world.run_for(500);
        let again = world.submit(0, job("again", 4));
        world.run_for(500);
        assert!(is_complete(&world, again), "a job that fits again was not run");
    }

    // Guards against an entry that goes on by the capacity of before.
    every_entry_uses_a_target_that_has_grown_within_one_beat => {
        let mut world = fleet(3, 1);
        let one = MilliProcessors(1_000);
        world.set_capacity(0, processors(1));
        world.run_for(200);
        world.submit(0, queue_job("short", "first", 1, one, 10_000));
        world.run_for(500);
        for entry in 0..3 {
            world.submit(entry, queue_job("short", &format!("next{entry}"), 1, one, 2_000));
        }
        world.run_for(100);
        assert_eq!(world.starts.len(), 1, "a task started beside one that takes all");
        world.set_capacity(0, processors(4));
        world.run_for(200);
        assert_eq!(world.starts.len(), 4, "regained capacity is not used");
    }

    // Random capacities, needs and restarts; calls and announcements that are lost or late.
    no_start_brings_a_target_over_its_capacity => {
        let mut begun = 0;
        for seed in 0..SEEDS {
            let mut random = fastrand::Rng::with_seed(seed);
            let faults = Faults {
                lost_call_permille: random.u32(..60),
                lost_packet_permille: random.u32(..40),
                late_call_permille: [0, 10, 50][random.usize(..3)],
                late_beat_permille: [0, 300][random.usize(..2)],
                lost_session_permille: random.u32(..50),
                max_store_ms: 100,
                stop_ms: [0, 30, 300][random.usize(..3)],
                ..Faults::default()
            };
            let entries = random.usize(1..4);
            let mut world = AgentOnTarget::new(entries, faults, seed);
            announce_capacity(&mut world, processors(8));
            for entry in 0..entries {
                for _ in 0..60 {
                    let needs = processors(random.u32(1..4)) + memory(random.u64(..2));
                    world.submit_task(entry, needs, random.u64(20..1_500), 0);
                }
            }
            for _ in 0..8 {
                let capacity = processors(random.u32(..12)) + memory(random.u64(1..8));
                world.faults.loses_starts = random.u32(..4) == 0;
                world.pass(random.u64(1..100));
                world.set_capacity(capacity);
                world.pass(random.u64(1..1_500));
                world.faults.loses_starts = false;
                match random.u32(..8) {
                    0 => world.restart_agent(1),
                    1 => world.restart_target(),
                    2 => world.lose_session(random.usize(..entries)),
                    _ => {}
                }
                world.pass(random.u64(1..1_500));
            }
            assert_eq!(world.excesses, [], "seed {seed}, {entries} entries, {faults:?}");
            begun += world.begun;
        }
        assert!(begun > 3_000, "only {begun} runs began");
    }
}
