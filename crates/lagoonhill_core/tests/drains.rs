//! Drained zones: nothing starts there from the moment on at which its agents
//! know, and no order of messages brings back what operators have ended.
//!
//! Load pattern: operators drain an availability zone under load, while some
//! entries can't read the store, processes restart, and the zone is taken back.

mod support;

use std::collections::BTreeSet;

use lagoonhill_core::DrainSync;
use lagoonhill_core::entry::{DrainSource, RunCertainty, Submission};
use lagoonhill_protocol::RulesUpdate;
use lagoonhill_rules::{RuleSet, ZoneDrain, ZoneDrains, parse_rules};
use lagoonhill_standin::{NodeId, WorldConfig};
use lagoonhill_types::prelude::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use support::{OutcomeChecker, TestWorld, config, failure, is_complete, job, queue_job, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Time within which all that can be reached know of a drain: a round trip.
const KNOWN_WITHIN_MS: u64 = 20;

fn zone(number: usize) -> AvailabilityZone {
    format!("zone-{number}").parse().expect("the name is valid")
}

fn drains(revision: u64, zones: &[usize]) -> ZoneDrains {
    ZoneDrains {
        revision: Revision(revision),
        zones: zones.iter().map(|number| zone(*number)).collect(),
    }
}

/// Two zones; the workers with even numbers are in zone 0.
fn two_zones(entries: usize, workers: usize, seed: u64) -> WorldConfig {
    WorldConfig {
        zones: 2,
        slots: 4,
        ..config(entries, workers, seed)
    }
}

fn install(world: &mut TestWorld, entry: usize, drains: &ZoneDrains) {
    let drains = drains.clone();
    world.with_entry(entry, |machine, now| {
        machine.install_drains(drains, DrainSource::Store, now);
    });
}

fn starts_in_zone(world: &TestWorld, number: usize) -> u32 {
    let starts = world.starts_at.iter().enumerate();
    let in_zone = starts.filter(|(agent, _)| world.zone_of(NodeId::Agent(*agent)) == number);
    in_zone.map(|(_, count)| *count).sum()
}

/// Submits jobs at an even rate, to each entry in turn.
fn load(
    world: &mut TestWorld,
    checker: &mut OutcomeChecker,
    mark: &str,
    jobs: usize,
    entries: usize,
) {
    for number in 0..jobs {
        let submission = job(&format!("{mark}-{number}"), 3, 60);
        let caller = world.submit(number % entries, submission.clone());
        checker.watch(caller, &submission);
        world.run_for(15);
    }
}

fn durable(mark: &str) -> Submission {
    let mut submission = queue_job("short", mark, 2, MilliProcessors(0), 50);
    submission.durable = true;
    submission
}

cases! {
    nothing_starts_in_a_drained_zone_and_no_job_is_lost => {
        let mut world = world(&two_zones(2, 6, 1));
        let mut checker = OutcomeChecker::default();
        load(&mut world, &mut checker, "before", 20, 2);
        for entry in 0..2 {
            install(&mut world, entry, &drains(5, &[0]));
        }
        world.run_for(KNOWN_WITHIN_MS);
        let started = starts_in_zone(&world, 0);
        load(&mut world, &mut checker, "during", 60, 2);
        assert_eq!(starts_in_zone(&world, 0), started);
        for entry in 0..2 {
            install(&mut world, entry, &drains(6, &[]));
        }
        load(&mut world, &mut checker, "after", 20, 2);
        assert!(starts_in_zone(&world, 0) > started, "the zone was not taken back");
        world.run_for(2_000);
        checker.assert_no_violations(&world);
        for (caller, _) in &checker.submitted {
            assert!(is_complete(&world, *caller));
        }
    }

    // An entry that the store turns away goes on placing tasks in the zone. Its
    // agents return them, and tell it why.
    an_entry_that_cannot_read_the_store_learns_of_a_drain_from_the_agents => {
        let mut world = world(&two_zones(2, 6, 2));
        let mut checker = OutcomeChecker::default();
        install(&mut world, 0, &drains(5, &[0]));
        world.run_for(KNOWN_WITHIN_MS);
        let started = starts_in_zone(&world, 0);
        load(&mut world, &mut checker, "unaware", 40, 2);
        assert_eq!(starts_in_zone(&world, 0), started);
        install(&mut world, 0, &drains(7, &[]));
        world.run_for(KNOWN_WITHIN_MS);
        for number in 0..20 {
            let submission = job(&format!("back-{number}"), 3, 60);
            let caller = world.submit(1, submission.clone());
            checker.watch(caller, &submission);
        }
        world.run_for(2_000);
        assert!(starts_in_zone(&world, 0) > started, "the agents did not tell of the return");
        checker.assert_no_violations(&world);
    }

    // Earlier releases can't decode the reason for a drain: an entry that has not
    // told of one gets a reason that all know.
    only_entries_that_have_told_of_a_drain_are_given_it_as_the_reason => {
        let mut world = world(&two_zones(2, 2, 7));
        world.record_decisions = true;
        for entry in 0..2 {
            for number in 0..20 {
                world.submit(entry, job(&format!("under-way-{entry}-{number}"), 1, 400));
            }
        }
        install(&mut world, 0, &drains(5, &[0]));
        world.run_for(200);
        let reasons = |entry: u64| -> BTreeSet<String> {
            let texts = world.decisions.iter().filter(|decision| decision.job.is_some_and(|job| job.entry == Incarnation(entry)));
            let moved = texts.map(ToString::to_string).filter(|text| text.contains(" moved "));
            moved.filter_map(|text| Some(text.split_once("why=")?.1.to_owned())).collect()
        };
        assert_eq!(reasons(100), BTreeSet::from(["\"its zone is drained\"".to_owned()]));
        assert_eq!(reasons(101), BTreeSet::from(["\"the worker is leaving\"".to_owned()]));
    }

    // A task that lies at the agent when the drain arrives has not begun.
    tasks_that_wait_at_an_agent_are_returned_and_run_elsewhere => {
        let mut config = two_zones(1, 2, 3);
        config.slots = 1;
        let mut world = world(&config);
        let mut checker = OutcomeChecker::default();
        let submission = job("buffered", 4, 300);
        let caller = world.submit(0, submission.clone());
        checker.watch(caller, &submission);
        world.run_for(20);
        assert!(world.agent(0).is_some_and(|agent| agent.held() > 1), "nothing waits at the agent");
        install(&mut world, 0, &drains(5, &[0]));
        world.run_for(KNOWN_WITHIN_MS);
        assert_eq!(world.agent(0).map(lagoonhill_core::agent::Agent::held), Some(1));
        world.run_for(3_000);
        assert!(is_complete(&world, caller));
        assert_eq!(world.starts_at[0], 1);
        checker.assert_no_violations(&world);
    }

    an_agent_that_restarts_in_a_drained_zone_starts_nothing => {
        let config = two_zones(2, 4, 4);
        let mut world = world(&config);
        let mut checker = OutcomeChecker::default();
        for entry in 0..2 {
            install(&mut world, entry, &drains(5, &[0]));
        }
        world.run_for(KNOWN_WITHIN_MS);
        world.restart_agent(0, &config);
        let started = starts_in_zone(&world, 0);
        load(&mut world, &mut checker, "restarted", 60, 2);
        assert_eq!(starts_in_zone(&world, 0), started);
        assert!(world.agent(0).is_some_and(lagoonhill_core::agent::Agent::is_zone_drained));
    }

    // Jobs that only drained workers can run are refused, as not run, on arrival
    // and while they wait; durable ones wait for the return.
    with_every_zone_drained_jobs_are_refused_and_durable_ones_wait => {
        let mut config = two_zones(1, 2, 5);
        let rules = support::class_rules();
        let more = "team parents class=rush  # tests\n";
        let lines = parse_rules(&(rules.to_text() + more)).expect("the rules are valid");
        config.rules = RuleSet::new(Revision(1), lines);
        let mut world = world(&config);
        world.extend_ownership(0, 60_000);
        let waits = world.submit(0, job("waits", 30, 400));
        world.run_for(10);
        install(&mut world, 0, &drains(5, &[0, 1]));
        let late = world.submit(0, job("late", 1, 50));
        let stored = world.submit_durable(0, durable("kept"));
        world.run_for(50);
        let (run, cause) = failure(&world, late).expect("the job was not refused");
        assert_eq!(run, RunCertainty::NotRun);
        assert!(cause.contains("drained by operators"), "{cause}");
        assert!(is_complete(&world, stored), "the durable job was not accepted");
        let before = world.starts.len();
        world.run_for(2_000);
        assert_eq!(world.starts.len(), before, "a task started in a drained zone");
        install(&mut world, 0, &drains(6, &[]));
        world.run_for(6_000);
        assert!(is_complete(&world, waits), "a job that had begun was given up");
        assert_eq!(world.acknowledged_ends.len(), 2, "the durable job did not run");
    }

    // All entries see the returned workers as free in the same moment.
    a_returned_zone_is_not_overrun => {
        let mut world = world(&two_zones(6, 12, 6));
        let mut checker = OutcomeChecker::default();
        for entry in 0..6 {
            install(&mut world, entry, &drains(5, &[0]));
        }
        load(&mut world, &mut checker, "drained", 100, 6);
        world.record_decisions = true;
        for entry in 0..6 {
            install(&mut world, entry, &drains(6, &[]));
        }
        load(&mut world, &mut checker, "returned", 100, 6);
        let moved = world.decisions.iter().filter(|decision| decision.to_string().contains("moved")).count();
        assert!(moved <= 3, "{moved} of 300 tasks were returned unstarted");
    }

    a_drain_is_told_in_a_form_that_earlier_releases_ignore => {
        for is_drained in [true, false] {
            let drain = ZoneDrain { revision: Revision(7), zone: zone(1), is_drained };
            let update = RulesUpdate::of_zone_drain(&drain);
            assert_eq!(update.to, Revision(0));
            assert!(!lagoonhill_core::RulesSync::default().install_update(&update));
            assert_eq!(update.zone_drain(), Some(drain));
        }
    }
}

/// What operators have done: the drained zones, out of three, at each revision.
fn history(edits: &[u8]) -> Vec<ZoneDrains> {
    let mut zones: BTreeSet<AvailabilityZone> = BTreeSet::new();
    let mut history = vec![drains(1, &[])];
    for (number, edit) in edits.iter().enumerate() {
        let zone = zone(usize::from(*edit % 3));
        if !zones.remove(&zone) {
            zones.insert(zone);
        }
        let revision = Revision(number as u64 + 2);
        history.push(ZoneDrains {
            revision,
            zones: zones.clone(),
        });
    }
    history
}

/// In whatever order a process learns of sets and single zones, repeated and late
/// ones included, each zone has the state of the highest revision received.
#[test]
fn no_order_of_messages_reverts_a_zone() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn check(edits: Vec<u8>, messages: Vec<(u8, u8)>) -> TestResult {
        let history = history(&edits);
        let mut sync = DrainSync::default();
        let mut newest = [Revision(0); 3];
        for (at, kind) in messages {
            let set = &history[usize::from(at) % history.len()];
            match usize::from(kind % 4) {
                3 => {
                    sync.install(set.clone());
                    newest = newest.map(|revision| revision.max(set.revision));
                }
                number => {
                    sync.learn(set.of(&zone(number)));
                    newest[number] = newest[number].max(set.revision);
                }
            }
            for (number, revision) in newest.iter().enumerate() {
                let zone = zone(number);
                let known = history.iter().find(|set| set.revision == *revision);
                let expected = known.is_some_and(|set| set.zones.contains(&zone));
                if sync.is_drained(&zone) != expected
                    || sync.drained_zones().contains(&zone) != expected
                {
                    return TestResult::failed();
                }
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(300)
        .quickcheck(check as fn(Vec<u8>, Vec<(u8, u8)>) -> TestResult);
}

/// Random edits, kills, cuts and entries that the store turns away: once the last
/// edit has had time to arrive, nothing starts in a drained zone, and each
/// process that can be reached knows it.
#[test]
fn random_faults_leave_every_drain_in_force() {
    fn check(seed: u64) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let config = two_zones(3, 6, seed);
        let mut world = world(&config);
        let mut checker = OutcomeChecker {
            repeated: true,
            ..OutcomeChecker::default()
        };
        let mut revision = 1;
        for round in 0..8 {
            revision += random.u64(1..4);
            let zones: &[usize] = [&[][..], &[0], &[1]][random.usize(0..3)];
            let set = drains(revision, zones);
            let cut = (random.usize(0..3), random.usize(0..6));
            world.partition(NodeId::Entry(cut.0), NodeId::Agent(cut.1));
            if random.bool() {
                world.restart_agent(random.usize(0..6), &config);
            }
            // The store turns one entry away; the others read it at once or late.
            let turned_away = random.usize(0..3);
            for entry in (0..3).filter(|entry| *entry != turned_away) {
                world.run_for(random.u64(0..30));
                install(&mut world, entry, &set);
            }
            // An older view arrives last.
            install(
                &mut world,
                random.usize(0..3),
                &drains(revision - 1, &[1 - round % 2]),
            );
            world.run_for(500);
            let started: Vec<u32> = zones
                .iter()
                .map(|number| starts_in_zone(&world, *number))
                .collect();
            load(&mut world, &mut checker, &format!("round-{round}"), 15, 3);
            let now: Vec<u32> = zones
                .iter()
                .map(|number| starts_in_zone(&world, *number))
                .collect();
            if started != now {
                return false;
            }
            world.heal(NodeId::Entry(cut.0), NodeId::Agent(cut.1));
            world.run_for(1_500);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 12))
        .tests(25)
        .quickcheck(check as fn(u64) -> bool);
}
