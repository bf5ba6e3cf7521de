//! The entry: admission, placement, queues, limits, worker health and tickets.

mod support;

use lagoonhill_core::Slowness;
use lagoonhill_core::entry::{
    Candidate, Health, JobQueue, LeastExpectedFinish, Placement, PlacementContext, SlotLimit,
    TokenBucket, WorkerKey,
};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{NodeId, TargetModel};
use lagoonhill_types::prelude::*;
use support::{TestWorld, average_target, config, failure, is_complete, job, world};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn with_rules(text: &str) -> TestWorld {
    let mut config = config(1, 2, 1);
    config.rules = RuleSet::new(Revision(1), parse_rules(text).expect("the rules are valid"));
    world(&config)
}

const SERVICE: &str = "service dispatch deadline=20s run-time=200ms  # tests\n";

fn candidate(load: u16, slowness_permille: u32) -> Candidate {
    let key = WorkerKey::default();
    Candidate {
        key,
        slots: 8,
        load,
        slowness: Slowness {
            permille: slowness_permille,
        },
        is_same_zone: false,
        is_probe: false,
    }
}

fn context() -> PlacementContext {
    PlacementContext {
        deviation_permille: 0,
        time_left_ms: None,
        run_time_ms: DurationMs(200),
        slot_limit: SlotLimit::LookAhead(1),
    }
}

cases! {
    prefers_the_faster_of_two_free_workers => {
        let candidates = [candidate(0, 2_000), candidate(0, 500)];
        assert_eq!(LeastExpectedFinish::with_seed(1).choose(&candidates, context()), Some(1));
    }

    uses_a_slow_worker_rather_than_leave_it_idle => {
        let candidates = [candidate(0, 2_000), candidate(9, 1_000)];
        assert_eq!(LeastExpectedFinish::with_seed(1).choose(&candidates, context()), Some(0));
    }

    counts_the_tasks_ahead_on_a_busy_worker => {
        let candidates = [candidate(8, 1_000), candidate(0, 1_100)];
        assert_eq!(LeastExpectedFinish::with_seed(1).choose(&candidates, context()), Some(1));
    }

    never_chooses_a_full_worker => {
        let candidates = [candidate(9, 1_000), candidate(9, 500)];
        assert_eq!(LeastExpectedFinish::with_seed(1).choose(&candidates, context()), None);
    }

    an_undefined_service_or_team_is_refused => {
        let mut world = with_rules(SERVICE);
        let caller = world.submit(0, job("nobody", 1, 10));
        let (_, cause) = failure(&world, caller).expect("the job was not refused");
        assert!(cause.contains("team `parents` does not exist"), "{cause}");
    }

    a_job_that_fits_no_announced_worker_is_refused_at_once => {
        let mut world = with_rules(&format!("{SERVICE}team parents  # tests\n"));
        let mut impossible = job("impossible", 1, 10);
        impossible.needs.resources.accelerators = 3;
        let caller = world.submit(0, impossible);
        let (run, cause) = failure(&world, caller).expect("the job was not refused");
        assert_eq!(run.to_string(), "not-run");
        assert!(cause.contains("accelerators 3"), "{cause}");
    }

    a_team_over_its_rate_is_served_after_the_retry_time => {
        let mut world = with_rules(&format!("{SERVICE}team parents rate=10/s  # tests\n"));
        let mut refused = None;
        for number in 0..30 {
            let caller = world.submit(0, job(&format!("job{number}"), 5, 1));
            if failure(&world, caller).is_some() {
                refused = Some(caller);
                break;
            }
        }
        let answer = &world.received[&refused.expect("no job was refused")][0].answer;
        let retry_ms = answer.outcome.as_ref().unwrap_err().retry_after_ms.expect("the refusal has no retry time");
        world.run_for(retry_ms.0);
        let again = world.submit(0, job("again", 1, 1));
        world.run_for(1_000);
        assert!(is_complete(&world, again));
    }

    a_team_stays_within_its_concurrency => {
        let mut world = with_rules(&format!("{SERVICE}team parents concurrency=1  # tests\n"));
        world.submit(0, job("narrow", 6, 100));
        for _ in 0..60 {
            world.run_for(10);
            let running: u16 =
                (0..2).map(|agent| world.agent(agent).map_or(0, lagoonhill_core::agent::Agent::running)).sum();
            assert!(running <= 1, "{running} tasks run at once");
        }
    }

    a_job_that_cannot_meet_its_deadline_is_refused_before_it_starts => {
        let mut world = with_rules(&format!("{SERVICE}team parents  # tests\n"));
        world.submit(0, job("backlog", 100, 1_000));
        world.run_for(5_000);
        let mut urgent = job("urgent", 1, 10);
        urgent.deadline_ms = Some(DurationMs(300));
        let caller = world.submit(0, urgent);
        let (run, cause) = failure(&world, caller).expect("the job was not refused");
        assert_eq!(run.to_string(), "not-run");
        assert!(cause.contains("deadline"), "{cause}");
    }

    a_deadline_that_passes_in_the_queue_is_not_run => {
        let mut world = with_rules(&format!("{SERVICE}team parents  # tests\n"));
        world.submit(0, job("long", 6, 3_000));
        let mut short = job("short", 1, 10);
        short.deadline_ms = Some(DurationMs(500));
        let caller = world.submit(0, short);
        world.run_for(1_000);
        let (run, _) = failure(&world, caller).expect("the job did not fail");
        assert_eq!(run.to_string(), "not-run");
        world.run_for(20_000);
        let started = world.starts.keys().any(|p| p.as_slice().starts_with(b"10 short"));
        assert!(!started);
    }

    rush_jobs_are_not_delayed_by_office_jobs => {
        let text = format!("{SERVICE}team parents class=rush  # tests\nteam offices class=office  # tests\n");
        let mut world = with_rules(&text);
        let mut office = job("office", 200, 200);
        office.team = "offices".parse().expect("the name is valid");
        world.submit(0, office);
        world.run_for(1_000);
        let rush = world.submit(0, job("rush", 2, 50));
        world.run_for(1_000);
        assert!(is_complete(&world, rush), "the rush job waits behind office jobs");
    }

    a_slot_of_each_worker_stays_free_during_a_rush => {
        let mut config = config(1, 1, 15);
        config.slots = 8;
        let text = format!("{SERVICE}team parents class=rush  # tests\nteam offices class=office  # tests\n");
        config.rules = RuleSet::new(Revision(1), parse_rules(&text).expect("the rules are valid"));
        let mut world = world(&config);
        world.submit(0, job("rush", 1, 10));
        world.run_for(100);
        let mut office = job("office", 60, 300);
        office.team = "offices".parse().expect("the name is valid");
        world.submit(0, office);
        for _ in 0..40 {
            world.run_for(50);
            let held = world.agent(0).map_or(0, lagoonhill_core::agent::Agent::held);
            assert!(held <= 7, "office jobs hold {held} of 8 slots");
        }
        // The reserved slot is released once the rush is over.
        world.run_for(6_000);
        world.submit(0, { let mut more = job("more", 60, 300); more.team = "offices".parse().expect("valid"); more });
        world.run_for(200);
        assert!(world.agent(0).map_or(0, lagoonhill_core::agent::Agent::held) >= 8);
    }

    a_job_with_special_needs_does_not_block_its_class_during_a_rush => {
        let mut config = config(1, 2, 16);
        config.slots = 8;
        config.network.jitter_ms = 0;
        let text = format!("{SERVICE}team parents class=rush  # tests\nteam offices class=office  # tests\n");
        config.rules = RuleSet::new(Revision(1), parse_rules(&text).expect("the rules are valid"));
        let mut world = world(&config);
        let mut special = world.agent(0).and_then(|agent| agent.target().cloned()).expect("the agent has no target");
        special.capacity.accelerators = 1;
        world.with_agent(0, |agent, now| agent.set_target(Some(special), now));
        world.run_for(100);
        world.submit(0, job("rush", 1, 10));
        let office = |mark, tasks, accelerators| {
            let mut submission = job(mark, tasks, 1_000);
            submission.team = "offices".parse().expect("the name is valid");
            submission.needs.resources.accelerators = accelerators;
            submission
        };
        world.submit(0, office("special", 30, 1));
        world.submit(0, office("plain", 60, 0));
        world.run_for(500);
        assert!(world.starts_at[1] >= 7, "only {} tasks without special needs were started", world.starts_at[1]);
    }

    office_jobs_are_not_starved_by_rush_jobs => {
        let text = format!("{SERVICE}team parents class=rush  # tests\nteam offices class=office  # tests\n");
        let mut world = with_rules(&text);
        let mut office = job("office", 4, 50);
        office.team = "offices".parse().expect("the name is valid");
        office.deadline_ms = Some(DurationMs(60_000));
        let mut rush = job("rush", 400, 100);
        rush.deadline_ms = Some(DurationMs(60_000));
        world.submit(0, rush);
        let caller = world.submit(0, office);
        world.run_for(8_000);
        assert!(is_complete(&world, caller), "the office job was not completed");
    }

    teams_share_by_weight => {
        let mut queue = JobQueue::default();
        let mut keys: slotmap::SlotMap<lagoonhill_core::entry::JobKey, ()> = slotmap::SlotMap::with_key();
        let teams: Vec<TeamName> =
            ["heavy", "light"].iter().map(|name| name.parse().expect("valid")).collect();
        let class = lagoonhill_rules::Class::Standard;
        let jobs = [keys.insert(()), keys.insert(())];
        for (team, job) in teams.iter().zip(jobs) {
            queue.insert(class, team, lagoonhill_core::entry::DelayCost::useful(0, 0), job);
        }
        let mut served = [0_u32; 2];
        for _ in 0..400 {
            let next = queue.next(|_| true, |_, _| true).expect("a team with waiting jobs was not offered");
            let index = usize::from(next == jobs[1]);
            served[index] += 1;
            let team_weight = [3, 1][index];
            let charge = lagoonhill_core::entry::Charge {
                run_time_ms: DurationMs(100),
                class_weight: 1,
                team_weight,
            };
            queue.charge(class, &teams[index], charge);
        }
        assert_eq!(served, [300, 100]);
    }

    a_worker_that_fails_tasks_others_complete_is_quarantined => {
        let mut config = config(1, 3, 5);
        config.targets[0] = TargetModel { slowness_permille: 1_000, fails_all: true };
        let mut world = world(&config);
        for number in 0..60 {
            world.submit(0, job(&format!("job{number}"), 3, 20));
            world.run_for(30);
        }
        let status = world.entry(0).expect("the entry is not running").status();
        assert!(status.workers.iter().any(|worker| worker.id.as_str() == "worker-0" && worker.quarantined));
        assert!(world.starts_at[0] <= 6, "{} tasks went to the failing worker", world.starts_at[0]);
    }

    a_service_that_fails_everywhere_quarantines_at_most_one_worker => {
        let mut config = config(1, 3, 6);
        config.targets = vec![TargetModel { slowness_permille: 1_000, fails_all: true }; 3];
        let mut world = world(&config);
        for number in 0..60 {
            world.submit(0, job(&format!("job{number}"), 3, 20));
            world.run_for(30);
        }
        let status = world.entry(0).expect("the entry is not running").status();
        let quarantined_workers = status.workers.iter().filter(|worker| worker.quarantined).count();
        assert!(quarantined_workers <= 1, "{quarantined_workers} of 3 workers are quarantined");
    }

    probes_come_at_growing_intervals => {
        let mut health = Health::default();
        let start = TimestampMs(0);
        let job = |text: &str| text.parse().expect("the job's id is valid");
        for id in ["1a-1", "1a-2", "1a-2", "1a-3"] {
            assert!(!health.is_failing(), "several failures of one job counted as failures of several jobs");
            health.record_failure(job(id), start);
        }
        assert!(health.is_failing());
        let first = health.quarantine_failing(start);
        assert!(!health.may_probe(start));
        assert!(health.may_probe(start + first));
        health.record_failure(job("1a-4"), start + first);
        assert!(!health.may_probe(start + first + first));
        assert!(health.record_success());
        assert!(!health.is_quarantined());
    }

    a_bucket_admits_its_rate_and_no_more => {
        let mut bucket = TokenBucket::default();
        let mut admitted = 0;
        for ms in 0..10_000 {
            if bucket.take(1, 50.0, TimestampMs(1 + ms)).is_ok() {
                admitted += 1;
            }
        }
        // The bucket holds one second of its rate.
        assert!((500..=551).contains(&admitted), "{admitted} were admitted");
    }

    a_refused_request_is_admitted_after_its_retry_time => {
        let mut bucket = TokenBucket::default();
        let now = TimestampMs(1_000);
        bucket.take(1_600, 20.0, now).expect("a full bucket refused the first request");
        let wait = bucket.take(1, 20.0, now).expect_err("an overdrawn bucket admitted a request");
        assert!(bucket.take(1, 20.0, now + wait).is_ok());
    }

    losing_an_idle_worker_fails_no_job => {
        let mut world = world(&config(1, 2, 8));
        world.kill(NodeId::Agent(0));
        world.run_for(60_000);
        let caller = world.submit(0, job("after", 2, 10));
        world.run_for(1_000);
        assert!(is_complete(&world, caller));
        assert_eq!(world.entry(0).expect("the entry is not running").status().workers.len(), 1);
    }

    a_drained_zone_gets_no_work => {
        let text = format!("{SERVICE}team parents  # tests\nzone zone-0 state=drain  # tests\n");
        let mut config = config(1, 2, 1);
        config.zones = 2;
        config.rules = RuleSet::new(Revision(1), parse_rules(&text).expect("the rules are valid"));
        let mut world = world(&config);
        for number in 0..10 {
            world.submit(0, job(&format!("job{number}"), 4, 10));
            world.run_for(100);
        }
        assert_eq!(world.starts_at[0], 0);
        assert_eq!(world.starts_at[1], 40);
    }

    a_worker_quarantined_by_rule_gets_one_task_at_a_time => {
        let text = format!("{SERVICE}team parents  # tests\nworker worker-0 state=quarantine  # tests\n");
        let mut world = with_rules(&text);
        for number in 0..20 {
            world.submit(0, job(&format!("job{number}"), 4, 60));
            world.run_for(20);
            let running = world.agent(0).map_or(0, lagoonhill_core::agent::Agent::held);
            assert!(running <= 1, "{running} tasks are held by a quarantined worker");
        }
        assert!(world.starts_at[0] > 0);
    }

    a_frozen_entry_starts_no_overdue_task_when_it_resumes => {
        let mut world = with_rules(&format!("{SERVICE}team parents  # tests\n"));
        world.submit(0, job("first", 6, 1_000));
        let mut short = job("short", 1, 10);
        short.deadline_ms = Some(DurationMs(2_000));
        let caller = world.submit(0, short);
        world.run_for(100);
        world.freeze(NodeId::Entry(0), 3_000);
        world.run_for(10_000);
        let (run, _) = failure(&world, caller).expect("the job did not fail");
        assert_eq!(run.to_string(), "not-run");
        assert!(!world.starts.keys().any(|p| p.as_slice().starts_with(b"10 short")));
    }

    a_frozen_entry_does_not_count_its_own_pause_as_worker_silence => {
        let mut world = world(&config(1, 1, 9));
        let caller = world.submit(0, job("slept", 1, 8_000));
        world.run_for(100);
        world.freeze(NodeId::Entry(0), 7_000);
        world.run_for(12_000);
        assert!(is_complete(&world, caller), "{:?}", failure(&world, caller));
    }

    // Runs take 1 ms where the rules declare 200 ms.
    a_new_worker_gets_its_share_despite_a_wrong_run_time_estimate => {
        let mut world = world(&config(1, 3, 13));
        world.partition(NodeId::Entry(0), NodeId::Agent(0));
        for number in 0..100 {
            world.submit(0, job(&format!("learn{number}"), 1, 1));
            world.run_for(100);
        }
        world.heal(NodeId::Entry(0), NodeId::Agent(0));
        world.run_for(30_000);
        let before = world.starts_at[0];
        for number in 0..60 {
            world.submit(0, job(&format!("after{number}"), 1, 1));
            world.run_for(20);
        }
        let share = world.starts_at[0] - before;
        assert!(share >= 10, "{share} of 60 tasks went to one of three equal workers");
    }

    an_expired_ticket_is_never_started => {
        let mut world = world(&config(1, 1, 10));
        let ticket = world.ticket(0).expect("no ticket was issued");
        world.run_for(301_000);
        let caller = world.submit_ticket(0, ticket, job("expired", 1, 10));
        world.run_for(1_000);
        let (run, _) = failure(&world, caller).expect("the job was not refused");
        assert_eq!(run.to_string(), "may-have-run");
        assert!(world.starts.is_empty());
    }

    a_ticket_that_was_never_issued_is_never_started => {
        let mut world = world(&config(1, 1, 11));
        let mut ticket = world.ticket(0).expect("no ticket was issued");
        ticket.number += 100;
        let caller = world.submit_ticket(0, ticket, job("forged", 1, 10));
        world.run_for(1_000);
        assert!(failure(&world, caller).is_some());
        assert!(world.starts.is_empty());
    }

    a_worker_with_stuck_tasks_gets_only_probes => {
        let mut config = config(1, 3, 13);
        config.slots = 4;
        let mut world = world(&config);
        for number in 0..40 {
            world.submit(0, job(&format!("before{number}"), 3, 50));
            world.run_for(60);
        }
        world.set_target(0, TargetModel { slowness_permille: 100_000, fails_all: false });
        for number in 0..100 {
            world.submit(0, job(&format!("during{number}"), 6, 50));
            world.run_for(60);
        }
        let at_onset = world.starts_at[0];
        for number in 0..50 {
            world.submit(0, job(&format!("after{number}"), 6, 50));
            world.run_for(60);
        }
        let given = world.starts_at[0] - at_onset;
        assert!(given <= 1, "{given} tasks were placed on a stuck worker");
    }

    one_long_task_does_not_quarantine_its_worker => {
        let mut world = world(&config(1, 3, 14));
        for number in 0..40 {
            world.submit(0, job(&format!("before{number}"), 3, 50));
            world.run_for(60);
        }
        world.submit(0, job("long", 1, 9_000));
        world.run_for(8_000);
        let status = world.entry(0).expect("the entry is not running").status();
        assert!(!status.workers.iter().any(|worker| worker.quarantined));
    }

    learned_speeds_steer_work_away_from_a_straggler => {
        let mut config = config(1, 3, 12);
        config.targets[0] = TargetModel { slowness_permille: 10_000, fails_all: false };
        let mut world = world(&config);
        for number in 0..300 {
            world.submit(0, job(&format!("job{number}"), 1, 50));
            world.run_for(40);
        }
        assert!(world.starts_at[0] < 30, "{} of 300 tasks went to the straggler", world.starts_at[0]);
        assert_eq!(average_target().slowness_permille, 1_000);
    }
}
