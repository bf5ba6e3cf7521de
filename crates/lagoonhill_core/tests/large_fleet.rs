//! Load patterns of a large fleet: many entries, each of which sees only a small
//! part of the load of each target.

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

/// Number of tasks that a target of the fleet runs at the same time.
const TARGET_CAPACITY: u32 = 10;

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
    // Load pattern: a fleet that has just started. No entry knows anything about
    // any target yet, so all would rank them the same.
    entries_without_load_reports_spread_over_the_targets => {
        for seed in 0..5 {
            let mut world = fleet(20, 40, seed);
            for entry in 0..20 {
                world.submit(entry, job(&format!("first{entry}"), 4, 100));
            }
            world.run_for(1_000);
            let most = world.starts_at.iter().max().copied().unwrap_or(0);
            assert!(most <= TARGET_CAPACITY, "seed {seed}: {most} of 80 tasks went to one of 40 targets");
        }
    }

    // Load pattern: several entries near the fleet's capacity, each with reports
    // that are some tens of milliseconds old. A task that is dispatched to a worker
    // that has become full meanwhile is bound to it, if it waits there, while others
    // have free capacity.
    a_task_that_finds_its_worker_full_starts_elsewhere_at_once => {
        let held_up = |overcommit| {
            let mut config = config(11, 21, 3);
            config.slots = 10;
            config.zones = 3;
            config.rules = queue_rules();
            config.look_ahead = DEFAULT_LOOK_AHEAD;
            config.overcommit = overcommit;
            let mut world = world(&config);
            let mut random = fastrand::Rng::with_seed(5);
            let mut submitted = Vec::new();
            for number in 0..2_600 {
                let submission = job(&format!("near-full-{number}"), 2, 100);
                submitted.push((world.now(), submission.tasks.clone()));
                world.submit(random.usize(0..11), submission);
                world.run_for(1 + u64::from(number % 8 == 0));
            }
            world.run_for(2_000);
            let is_held_up = |(at_ms, payload): &(TimestampMs, Payload)| {
                world.started_ms.get(payload).is_none_or(|started_ms| started_ms.since(*at_ms) > DurationMs(30))
            };
            let tasks = submitted.into_iter().flat_map(|(at_ms, tasks)| tasks.into_iter().map(move |task| (at_ms, task)));
            tasks.filter(is_held_up).count()
        };
        let (bound, returned) = (held_up(8), held_up(0));
        assert!(returned * 2 < bound, "{returned} of 5200 tasks started late, {bound} if they wait at agents");
    }

    // Load pattern: power loss. All agents restart together, with new
    // incarnations.
    a_restarted_fleet_spreads_over_the_targets => {
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
        assert!(most.unwrap_or(0) <= TARGET_CAPACITY, "{most:?} of 80 tasks went to one of 40 targets");
    }

    an_idle_worker_that_is_in_time_beats_a_nearly_full_faster_one => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        assert_eq!(choose(&candidates, within(300)), Some(1));
    }

    a_slower_worker_that_would_be_late_is_not_chosen => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        assert_eq!(choose(&candidates, within(150)), Some(0));
    }

    // Load pattern: a nearly full fleet, and run times that vary around their
    // expected value. A task that waits for a worker that is certainly fast enough
    // is late more often than one that takes a worker with a fair chance.
    a_worker_that_may_be_in_time_is_taken_when_run_times_vary => {
        let candidates = [candidate(7, 700), candidate(0, 1_700)];
        let with_deviation = |deviation_permille| PlacementContext { deviation_permille, ..within(150) };
        assert_eq!(choose(&candidates, with_deviation(0)), None, "run times do not vary, so the task would be late");
        assert_eq!(choose(&candidates, with_deviation(200)), Some(1));
        assert_eq!(choose(&candidates, with_deviation(100)), None, "the task is too unlikely to be in time");
    }

    // Load pattern: all targets are full, one of them for longer than the others.
    waiting_tasks_are_bound_to_no_target => {
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
            assert!(done, "seed {seed}: a task waits for the target that stays full for longer");
        }
    }

    run_time_deviation_is_learned => {
        let kind = WorkKind {
            service: "dispatch".parse().expect("the name is valid"),
            queue: None,
        };
        let expected_ms = DurationMs(100);
        let deviation = |runs_ms: [u64; 2]| {
            let mut run_times = RunTimes::default();
            for run_ms in runs_ms.into_iter().cycle().take(100) {
                run_times.observe(&kind, DurationMs(run_ms), DurationMs::ZERO, expected_ms);
            }
            run_times.deviation_permille(&kind)
        };
        assert_eq!(deviation([100, 100]), 0);
        assert!((280..=320).contains(&deviation([70, 130])), "{}", deviation([70, 130]));
        assert!(deviation([100, 900_000]) <= 500, "the run time on a faulty target counts as deviation");
    }

    without_a_time_limit_the_earliest_finish_is_chosen => {
        let candidates = [candidate(5, 700), candidate(0, 1_700)];
        let context = PlacementContext { time_left_ms: None, ..within(0) };
        assert_eq!(choose(&candidates, context), Some(0));
    }

    the_same_zone_is_preferred_until_it_is_much_fuller => {
        let near = |load| Candidate { is_same_zone: true, ..candidate(load, 1_000) };
        assert_eq!(choose(&[candidate(1, 1_000), near(2)], within(300)), Some(1));
        assert_eq!(choose(&[candidate(1, 1_000), near(5)], within(300)), Some(0));
    }

    work_stays_in_its_zone_under_light_load => {
        let mut world = fleet(10, 30, 3);
        for number in 0..300 {
            world.submit(number % 10, job(&format!("calm{number}"), 2, 100));
            world.run_for(10);
        }
        world.run_for(1_000);
        let starts = u64::from(world.starts_at.iter().sum::<u32>());
        assert!(world.cross_zone_starts * 20 < starts, "{} of {starts}", world.cross_zone_starts);
    }

    a_full_zone_overflows_to_others => {
        let mut world = fleet(5, 10, 4);
        for number in 0..10 {
            world.submit(0, job(&format!("spill{number}"), 4, 400));
        }
        world.run_for(150);
        let started: u32 = world.starts_at.iter().sum();
        assert_eq!(started, 40, "tasks wait for targets of their zone while others are free");
    }

    // Load pattern: outdated reports. The load of a target that was full seconds
    // ago is estimated close to the mean of all targets.
    old_load_reports_weigh_little => {
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

    without_load_reports_peers_are_assumed_idle => {
        assert_eq!(MeanPeerLoad::default().estimate(share(0), DurationMs(0)), share(0));
    }

    one_fast_run_does_not_make_a_target_fast => {
        assert!(slowness_after(&[30]) > 700);
        assert!(slowness_after(&[30, 150, 90, 110]) > 850);
    }

    many_runs_determine_a_targets_speed => {
        let slow = slowness_after(&[170; 40]);
        assert!((1_550..=1_700).contains(&slow), "{slow}");
    }

    absurd_speed_reports_are_bounded => {
        let absurd = Speed { slowness_permille: 0, runs: u16::MAX };
        assert!(estimated_slowness(absurd).permille > 0);
        let absurd = Speed { slowness_permille: u32::MAX, runs: u16::MAX };
        assert!(estimated_slowness(absurd).permille >= 1_000);
        assert_eq!(estimated_slowness(Speed::default()), Slowness::AVERAGE);
    }

    the_estimate_of_a_slow_target_decays_over_time => {
        let mut speed = TargetSpeed::default();
        for _ in 0..40 {
            speed.observe(DurationMs(800), DurationMs(100), TimestampMs(0));
        }
        let before_decay = estimated_slowness(speed.report());
        for second in 1..=30 {
            speed.decay(TimestampMs(second * 1_000));
        }
        let after_decay = estimated_slowness(speed.report());
        assert!(before_decay.permille > 6_000 && after_decay.permille < 3_000, "{before_decay:?} {after_decay:?}");
    }

    // Load pattern: a straggler used by many entries. Each starts only a few runs
    // there, too few to detect it alone.
    an_entry_without_runs_on_a_slow_target_avoids_it => {
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
        assert_eq!(world.starts_at[0], before, "the sixth entry placed tasks on the slow target");
    }

    // A new target of the same agent may run at another speed.
    a_new_target_does_not_inherit_the_old_targets_speed => {
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

    an_entry_whose_zone_has_no_target_uses_other_zones => {
        let mut world = fleet(5, 2, 8);
        let caller = world.submit(4, job("far", 2, 50));
        world.run_for(500);
        assert_eq!(world.zone_of(NodeId::Entry(4)), 4);
        assert!(is_complete(&world, caller));
    }
}
