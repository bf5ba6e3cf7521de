//! Load patterns of a large fleet: many entries of which each sees a small part
//! of what happens at each target.

mod support;

use lagoonhill_core::agent::{Agent, TargetSpeed};
use lagoonhill_core::entry::{
    Candidate, DEFAULT_LOOK_AHEAD, LeastExpectedFinish, MeanPeerLoad, PeerLoad, Placement,
    PlacementContext, RunTimes, SlotLimit, Submission, WorkKind, WorkerKey,
};
use lagoonhill_core::{Slowness, estimated_slowness};
use lagoonhill_protocol::Speed;
use lagoonhill_standin::{NodeId, TargetModel};
use lagoonhill_types::prelude::*;
use support::{
    TestWorld, average_target, config, is_complete, job as plain_job, queue_job, queue_rules, world,
};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Tasks that a target of the fleet runs at the same time.
const ROOM: u32 = 10;

fn fleet(entries: usize, targets: usize, seed: u64) -> TestWorld {
    let mut config = config(entries, targets, seed);
    config.slots = 10;
    config.zones = 5;
    config.rules = queue_rules();
    world(&config)
}

fn job(name: &str, count: u16, run_ms: u64) -> Submission {
    queue_job("short", name, count, MilliProcessors(6_000), run_ms)
}

fn candidate(load: u16, permille: u32) -> Candidate {
    Candidate {
        key: WorkerKey::default(),
        slots: 6,
        load,
        slowness: Slowness { permille },
        is_same_zone: false,
        is_probe: false,
    }
}

fn within(time_left_ms: u64) -> PlacementContext {
    PlacementContext {
        deviation_permille: 0,
        run_time_ms: DurationMs(100),
        slot_limit: SlotLimit::LookAhead(1),
        time_left_ms: Some(DurationMs(time_left_ms)),
    }
}

fn choose(candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
    LeastExpectedFinish::with_seed(1).choose(candidates, context)
}

fn share(tasks: u16) -> PeerLoad {
    PeerLoad::new(
        (tasks, SlotCount(8)),
        (
            MilliProcessors(u32::from(tasks) * 6_000),
            MilliProcessors(64_000),
        ),
    )
}

fn slowness_after(runs_ms: &[u64]) -> u32 {
    let mut speed = TargetSpeed::default();
    for run_ms in runs_ms {
        speed.observe(DurationMs(*run_ms), DurationMs(100), TimestampMs(0));
    }
    estimated_slowness(speed.report()).permille
}

cases! {
    // Load pattern: a fleet that has just started. All entries know the same of
    // all targets, which is nothing.
    entries_that_know_nothing_do_not_all_choose_the_same_targets => {
        for seed in 0..5 {
            let mut world = fleet(20, 40, seed);
            for entry in 0..20 {
                world.submit(entry, job(&format!("first{entry}"), 4, 100));
            }
            world.run_for(1_000);
            let most = world.starts_at.iter().max().copied().unwrap_or(0);
            assert!(most <= ROOM, "seed {seed}: {most} of 80 tasks went to one of 40 targets");
        }
    }

    // All power lost: agents and entries come back together, with new names.
    a_fleet_that_begins_again_does_not_herd_either => {
        let mut config = config(20, 40, 7);
        config.slots = 10;
        config.zones = 5;
        config.rules = queue_rules();
        let mut world = world(&config);
        for entry in 0..20 {
            world.submit(entry, job(&format!("before{entry}"), 4, 50));
        }
        world.run_for(1_000);
        for agent in 0..40 {
            world.restart_agent(agent, &config);
        }
        world.run_for(1_000);
        let before = world.starts_at.clone();
        for entry in 0..20 {
            world.submit(entry, job(&format!("after{entry}"), 4, 100));
        }
        world.run_for(1_000);
        let most = world.starts_at.iter().zip(&before).map(|(now, before)| now - before).max();
        assert!(most.unwrap_or(0) <= ROOM, "{most:?} of 80 tasks went to one of 40 targets");
    }

    a_free_worker_that_is_in_time_goes_before_a_nearly_full_faster_one => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        assert_eq!(choose(&candidates, within(300)), Some(1));
    }

    a_slower_worker_that_would_be_late_is_left_alone => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        assert_eq!(choose(&candidates, within(150)), Some(0));
    }

    // Load pattern: a fleet that is nearly full, and runs that spread around what
    // is expected of them. A task that waits for a worker that is surely fast
    // enough loses more often than one that takes a fair chance.
    a_fair_chance_now_is_taken_where_runs_spread => {
        let candidates = [candidate(7, 700), candidate(0, 1_700)];
        let spread = |deviation_permille| PlacementContext { deviation_permille, ..within(150) };
        assert_eq!(choose(&candidates, spread(0)), None, "exact runs: it would be late");
        assert_eq!(choose(&candidates, spread(200)), Some(1));
        assert_eq!(choose(&candidates, spread(100)), None, "there is no chance");
    }

    // Load pattern: all targets are full, and one of them for longer than the
    // rest.
    what_waits_is_bound_to_no_target => {
        for seed in 0..10 {
            let mut config = config(1, 2, seed);
            config.slots = 1;
            config.look_ahead = DEFAULT_LOOK_AHEAD;
            let mut world = world(&config);
            for (name, run_ms) in [("long", 2_000), ("short", 100)] {
                world.submit(0, plain_job(name, 1, run_ms));
            }
            let waiting = ["first", "second"].map(|name| world.submit(0, plain_job(name, 1, 100)));
            world.run_for(500);
            let done = waiting.iter().all(|caller| is_complete(&world, *caller));
            assert!(done, "seed {seed}: a task waits at the target that is full for longer");
        }
    }

    how_far_runs_are_off_is_learned => {
        let kind = WorkKind {
            service: "dispatch".parse().expect("the name is valid"),
            queue: None,
        };
        let expected_ms = DurationMs(100);
        let spread = |runs_ms: [u64; 2]| {
            let mut run_times = RunTimes::default();
            for run_ms in runs_ms.into_iter().cycle().take(100) {
                run_times.observe(&kind, DurationMs(run_ms), DurationMs::ZERO, expected_ms);
            }
            run_times.deviation_permille(&kind)
        };
        assert_eq!(spread([100, 100]), 0);
        assert!((280..=320).contains(&spread([70, 130])), "{}", spread([70, 130]));
        assert!(spread([100, 900_000]) <= 500, "a sick target counts as a spread");
    }

    without_a_promise_the_sooner_end_decides => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        let context = PlacementContext { time_left_ms: None, ..within(0) };
        assert_eq!(choose(&candidates, context), Some(0));
    }

    the_own_zone_goes_first_until_it_is_much_fuller => {
        let near = |load| Candidate { is_same_zone: true, ..candidate(load, 1_000) };
        assert_eq!(choose(&[candidate(1, 1_000), near(2)], within(300)), Some(1));
        assert_eq!(choose(&[candidate(1, 1_000), near(5)], within(300)), Some(0));
    }

    work_stays_in_its_zone_on_a_calm_day => {
        let mut world = fleet(10, 30, 3);
        for number in 0..300 {
            world.submit(number % 10, job(&format!("calm{number}"), 2, 100));
            world.run_for(10);
        }
        world.run_for(1_000);
        let starts = u64::from(world.starts_at.iter().sum::<u32>());
        assert!(world.cross_zone_starts * 20 < starts, "{} of {starts}", world.cross_zone_starts);
    }

    a_zone_that_is_full_spills_over => {
        let mut world = fleet(5, 10, 4);
        for number in 0..10 {
            world.submit(0, job(&format!("spill{number}"), 4, 400));
        }
        world.run_for(150);
        let started: u32 = world.starts_at.iter().sum();
        assert_eq!(started, 40, "tasks wait for their own zone's targets beside free ones");
    }

    // Load pattern: reports that are old. A target that was full a second ago
    // is as full as any.
    an_old_report_counts_for_little => {
        let mut mean = MeanPeerLoad::default();
        for _ in 0..9 {
            mean.add(share(2), DurationMs(20));
        }
        mean.add(share(8), DurationMs(5_000));
        let slots = SlotCount(8);
        let old = mean.estimate(share(8), DurationMs(5_000)).slots_of(slots);
        let fresh = mean.estimate(share(8), DurationMs(0)).slots_of(slots);
        assert!(old <= 3, "{old} of 8 slots");
        assert_eq!(fresh, 8);
    }

    no_report_at_all_is_believed_to_be_empty => {
        assert_eq!(MeanPeerLoad::default().estimate(share(0), DurationMs(0)), share(0));
    }

    one_lucky_run_does_not_make_a_target_fast => {
        assert!(slowness_after(&[30]) > 700);
        assert!(slowness_after(&[30, 150, 90, 110]) > 850);
    }

    many_runs_show_a_targets_speed => {
        let slow = slowness_after(&[170; 40]);
        assert!((1_550..=1_700).contains(&slow), "{slow}");
    }

    a_report_that_makes_no_sense_is_bounded => {
        let absurd = Speed { slowness_permille: 0, runs: u16::MAX };
        assert!(estimated_slowness(absurd).permille > 0);
        let absurd = Speed { slowness_permille: u32::MAX, runs: u16::MAX };
        assert!(estimated_slowness(absurd).permille >= 1_000);
        assert_eq!(estimated_slowness(Speed::default()), Slowness::AVERAGE);
    }

    a_target_that_was_sick_is_tried_again_when_time_has_passed => {
        let mut speed = TargetSpeed::default();
        for _ in 0..40 {
            speed.observe(DurationMs(800), DurationMs(100), TimestampMs(0));
        }
        let sick = estimated_slowness(speed.report());
        for second in 1..=30 {
            speed.decay(TimestampMs(second * 1_000));
        }
        let later = estimated_slowness(speed.report());
        assert!(sick.permille > 6_000 && later.permille < 3_000, "{sick:?} {later:?}");
    }

    // Load pattern: a straggler seen by many. Each entry orders a run there now
    // and then; none alone could tell.
    an_entry_that_ordered_nothing_there_knows_a_slow_target => {
        let slow = TargetModel { slowness_permille: 2_500, ..average_target() };
        let mut config = config(6, 4, 5);
        config.targets[0] = slow;
        config.slots = 10;
        config.rules = queue_rules();
        let mut world = world(&config);
        for number in 0..200 {
            world.submit(number % 5, job(&format!("learn{number}"), 4, 100));
            world.run_for(15);
        }
        world.run_for(3_000);
        let before = world.starts_at[0];
        for number in 0..5 {
            world.submit(5, job(&format!("informed{number}"), 2, 100));
            world.run_for(300);
        }
        assert_eq!(world.starts_at[0], before, "the sixth entry had to find out by itself");
    }

    // A target's new life may be of another kind.
    a_new_target_is_not_judged_by_the_old_one => {
        let mut world = fleet(1, 1, 6);
        world.set_target(0, TargetModel { slowness_permille: 2_000, ..average_target() });
        for number in 0..10 {
            world.submit(0, job(&format!("old{number}"), 1, 50));
            world.run_for(150);
        }
        let target = world.agent(0).and_then(|agent| agent.target().cloned());
        world.with_agent(0, |agent, now| agent.set_target(None, now));
        world.with_agent(0, |agent, now| agent.set_target(target, now));
        let speed = world.agent(0).map(Agent::speed);
        assert_eq!(speed, Some(Speed::default()));
    }

    an_entry_is_never_without_a_target_because_its_zone_has_none => {
        let mut world = fleet(5, 2, 8);
        let caller = world.submit(4, job("far", 2, 50));
        world.run_for(500);
        assert_eq!(world.zone_of(NodeId::Entry(4)), 4);
        assert!(is_complete(&world, caller));
    }
}
