//! Faults with real processes, sockets and clocks: processes killed or stopped
//! and continued, silent connections, platform outages, shutdown under load.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lagoonhill_standin::{
    Balancer, Load, PlatformFaults, Relay, RelayMode, TargetBehavior, TaskMix, run_load,
};
use support::{Fleet, job, until};

/// Runs one async test body for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}

cases! {
    any_entry_serves_and_answers_are_complete => {
        let fleet = Fleet::start(3, 2).await;
        for entry in 0..3 {
            let mark = format!("through-{entry}");
            let answer = fleet.submit(entry, &[], &mark, 20, 10).await.expect("an answer");
            answer.assert_complete(&mark, 20);
        }
        assert_eq!(fleet.log.duplicates(), 0);
    }

    three_entries_and_eleven_agents_serve_through_any_entry => {
        let fleet = Fleet::start(3, 11).await;
        for entry in 0..3 {
            let mark = format!("fleet-{entry}");
            let answer = fleet.submit(entry, &[], &mark, 88, 20).await.expect("an answer");
            answer.assert_complete(&mark, 88);
        }
        assert_eq!(fleet.log.duplicates(), 0);
        for worker in &fleet.workers {
            assert!(worker.target.max_running() <= 8, "a target ran more than its slots");
        }
    }

    a_job_of_the_largest_size_gets_one_complete_answer => {
        let fleet = Fleet::start(1, 2).await;
        let answer = fleet.submit(0, &[], "large", 1_600, 1).await.expect("an answer");
        answer.assert_complete("large", 1_600);
    }

    entry_killed_mid_job_does_not_run_it_again => {
        let mut fleet = Fleet::start(2, 2).await;
        let headers = [("idempotency-key", "stop-request-1")];
        let pending_answer = fleet.submit(0, &headers, "stop", 1, 2_000);
        let started = async {
            fleet.until_started("stop-0").await;
            fleet.entries[0].signal("KILL");
        };
        let (answer, ()) = tokio::join!(pending_answer, started);
        assert!(answer.is_none(), "the caller's connection broke with its entry");
        fleet.entries[0].kill();
        let retried = fleet.submit(1, &headers, "stop", 1, 2_000).await.expect("an answer");
        assert_eq!(retried.run(), "may-have-run");
        assert_eq!(fleet.log.starts_of("stop-0"), 1);
    }

    retry_through_another_entry_gets_the_complete_answer => {
        let fleet = Fleet::start(2, 2).await;
        let headers = [("idempotency-key", "reminder-7")];
        let first = fleet.submit(0, &headers, "reminder", 2, 100);
        let second = fleet.submit(1, &headers, "reminder", 2, 100);
        let (first, second) = tokio::join!(first, second);
        first.expect("an answer").assert_complete("reminder", 2);
        second.expect("an answer").assert_complete("reminder", 2);
        let later = fleet.submit(1, &headers, "reminder", 2, 100).await.expect("an answer");
        later.assert_complete("reminder", 2);
        assert_eq!(fleet.log.starts_of("reminder-0"), 1);
    }

    ticket_runs_once_through_any_entry => {
        let fleet = Fleet::start(2, 1).await;
        let ticket_request = serde_json::json!({ "count": 1 });
        let issued = fleet.post(fleet.entries[0].http, "/v1/tickets", &[], &ticket_request).await;
        let ticket = issued.expect("an answer").json()["tickets"][0].as_str().unwrap_or_default().to_owned();
        let headers = [("lagoonhill-ticket", ticket.as_str())];
        for entry in [1, 0, 1] {
            let answer = fleet.submit(entry, &headers, "once", 1, 20).await.expect("an answer");
            answer.assert_complete("once", 1);
        }
        assert_eq!(fleet.log.starts_of("once-0"), 1);
    }

    an_entry_started_during_an_outage_is_announced_soon_after_it => {
        let mut fleet = Fleet::empty().await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        fleet.add_entry(&[]);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.platform.set_faults(PlatformFaults::default());
        let back = std::time::Instant::now();
        until(async || fleet.platform.count("lagoonhill/entries/") == 1).await;
        assert!(back.elapsed() < Duration::from_secs(5), "it took {:?}", back.elapsed());
    }

    key_is_refused_as_not_run_while_the_platform_is_down => {
        let fleet = Fleet::start(1, 1).await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        let headers = [("idempotency-key", "during-outage")];
        let refused = fleet.submit(0, &headers, "outage", 1, 10).await.expect("an answer");
        assert_eq!((refused.status(), refused.run().as_str()), (503, "not-run"));
        assert!(refused.0.headers.contains_key("retry-after"));
        fleet.platform.set_faults(PlatformFaults::default());
        let served = fleet.submit(0, &headers, "outage", 1, 10).await.expect("an answer");
        served.assert_complete("outage", 1);
        assert_eq!(fleet.log.starts_of("outage-0"), 1);
    }

    job_runs_once_after_the_response_to_its_key_binding_was_lost => {
        let fleet = Fleet::start(2, 1).await;
        let headers = [("idempotency-key", "lost-answer")];
        let warm = [("idempotency-key", "warm")];
        fleet.submit(0, &warm, "warm", 1, 1).await.expect("an answer").assert_complete("warm", 1);
        fleet.platform.set_faults(PlatformFaults { unanswered_transactions: 1, ..PlatformFaults::default() });
        let first = fleet.submit(0, &headers, "lost", 1, 10).await.expect("an answer");
        let second = fleet.submit(1, &headers, "lost", 1, 10).await.expect("an answer");
        assert!(first.status() == 200 || first.run() == "not-run");
        second.assert_complete("lost", 1);
        assert_eq!(fleet.log.starts_of("lost-0"), 1);
    }

    agent_killed_mid_task_fails_its_job_only => {
        let mut fleet = Fleet::start(1, 2).await;
        let pending_answer = fleet.submit(0, &[], "mid", 2, 3_000);
        let started = async {
            fleet.until_started("mid-0").await;
            fleet.until_started("mid-1").await;
            fleet.workers[0].agent.signal("KILL");
        };
        let (answer, ()) = tokio::join!(pending_answer, started);
        let answer = answer.expect("an answer");
        assert_eq!(answer.run(), "may-have-run");
        fleet.until_state(0, "worker-0", None).await;
        let after = fleet.submit(0, &[], "after", 4, 10).await.expect("an answer");
        after.assert_complete("after", 4);
        fleet.restart_agent(0).await;
        fleet.until_joined().await;
        assert_eq!(fleet.log.duplicates(), 0);
    }

    agent_stopped_past_its_lease_drops_buffered_starts => {
        let fleet = Fleet::start(1, 1).await;
        fleet.workers[0].agent.signal("STOP");
        let answer = fleet.submit(0, &[], "frozen", 2, 10).await.expect("an answer");
        assert_eq!(answer.run(), "may-have-run");
        fleet.until_state(0, "worker-0", None).await;
        fleet.workers[0].agent.signal("CONT");
        fleet.until_joined().await;
        let after = fleet.submit(0, &[], "thawed", 2, 10).await.expect("an answer");
        after.assert_complete("thawed", 2);
        assert_eq!(fleet.log.starts_of("frozen-0") + fleet.log.starts_of("frozen-1"), 0);
    }

    entry_stopped_and_continued_during_a_job_keeps_its_workers => {
        let fleet = Fleet::start(1, 1).await;
        let pending_answer = fleet.submit(0, &[], "slept", 1, 1_000);
        let freeze = async {
            fleet.until_started("slept-0").await;
            fleet.entries[0].signal("STOP");
            tokio::time::sleep(Duration::from_secs(3)).await;
            fleet.entries[0].signal("CONT");
        };
        let (answer, ()) = tokio::join!(pending_answer, freeze);
        answer.expect("an answer").assert_complete("slept", 1);
    }

    connection_silent_to_the_agent_is_replaced_in_time => {
        assert_silent_connection_is_replaced(true, false).await;
    }

    connection_silent_to_the_entry_is_replaced_in_time => {
        assert_silent_connection_is_replaced(false, true).await;
    }

    connections_silent_both_ways_are_replaced_in_time => {
        assert_silent_connection_is_replaced(true, true).await;
    }

    agent_restarts_while_the_platform_is_down => {
        let mut fleet = Fleet::empty().await;
        fleet.add_entry(&[]);
        let balancer = Balancer::start(vec![fleet.entries[0].http]).await.expect("a port is free");
        fleet.balancer = Some(balancer.address());
        fleet.add_worker("worker-0", &[]).await;
        fleet.until_joined().await;
        until(async || !balancer.ready().is_empty()).await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        fleet.restart_agent(0).await;
        fleet.until_joined().await;
        let answer = fleet.submit(0, &[], "outage", 3, 10).await.expect("an answer");
        answer.assert_complete("outage", 3);
    }

    entry_started_while_the_platform_is_down_gets_its_peers_rules => {
        let mut fleet = Fleet::empty().await;
        fleet.add_entry(&[]);
        fleet.add_worker("worker-0", &[]).await;
        fleet.until_joined().await;
        let balancer = Balancer::start(vec![fleet.entries[0].http]).await.expect("a port is free");
        until(async || !balancer.ready().is_empty()).await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        fleet.balancer = Some(balancer.address());
        fleet.add_entry(&[]);
        fleet.until_joined().await;
        let answer = fleet.submit(1, &[], "newcomer", 3, 10).await.expect("an answer");
        answer.assert_complete("newcomer", 3);
    }

    entry_without_rules_refuses_work_with_the_reason => {
        let mut fleet = Fleet::empty().await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        fleet.add_entry(&[]);
        let refused = fleet.submit(0, &[], "early", 1, 10).await.expect("an answer");
        assert_eq!((refused.status(), refused.run().as_str()), (503, "not-run"));
        assert!(refused.json()["detail"].as_str().unwrap_or_default().contains("rules"));
    }

    outage_with_expired_leases_loses_no_serving_worker => {
        let fleet = Fleet::start(2, 2).await;
        fleet.platform.expire_all_leases();
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        for round in 0..8 {
            let mark = format!("round-{round}");
            let answer = fleet.submit(round % 2, &[], &mark, 8, 50).await.expect("an answer");
            answer.assert_complete(&mark, 8);
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        fleet.until_joined().await;
    }

    rule_accepted_just_before_an_outage_is_in_force_everywhere => {
        let fleet = Fleet::start(3, 4).await;
        let revision = fleet.set_rule("team chapels rate=5/s  # the outage test").await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        for entry in 0..3 {
            until(async || {
                fleet.report(entry).await.is_some_and(|report| {
                    report.rules_revision >= revision
                        && report.workers.iter().all(|w| w.rules_revision >= revision)
                })
            })
            .await;
        }
    }

    // An entry that does not answer may decide by older rules.
    an_entry_that_does_not_answer_is_not_in_force => {
        let mut fleet = Fleet::start(2, 1).await;
        let silent = fleet.entries[1].http;
        until(async || {
            let report = fleet.report(0).await;
            report.is_some_and(|report| report.entries.len() == 2)
        })
        .await;
        fleet.entries[1].kill();
        let processes = lagoonhill_operator::query_fleet(&fleet.http, fleet.entries[0].http).await;
        let processes = processes.expect("the other entry answers");
        let named = processes.iter().find(|it| it.process == format!("entry {silent}"));
        assert_eq!(named.map(|it| it.revision), Some(None), "{processes:?}");
    }

    rules_in_force_stay_after_an_undecodable_value_is_stored => {
        let fleet = Fleet::start(1, 1).await;
        let before = fleet.report(0).await.expect("a status").rules_revision;
        fleet.platform.put(lagoonhill_platform::RULES_KEY, b"not ours");
        let answer = fleet.submit(0, &[], "still", 2, 10).await.expect("an answer");
        answer.assert_complete("still", 2);
        assert_eq!(fleet.report(0).await.expect("a status").rules_revision, before);
    }

    terminating_an_entry_under_load_cuts_no_request => {
        let mut fleet = Fleet::start(2, 3).await;
        let upstreams = fleet.entries.iter().map(|entry| entry.http).collect();
        let balancer = Balancer::start(upstreams).await.expect("a port is free");
        until(async || balancer.ready().len() == 2).await;
        let load = tokio::spawn(run_load(steady_load(balancer.address())));
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.entries[0].signal("TERM");
        let status = fleet.entries[0].wait_for_exit().await;
        let report = load.await.expect("the load ends");
        assert!(status.success(), "the entry ended with {status}");
        assert_eq!((report.unanswered, report.wrong, report.failed, report.refused), (0, 0, 0, 0));
        assert!(report.completed > 0);
        assert_eq!(fleet.log.duplicates(), 0);
    }

    terminating_an_agent_under_load_cuts_no_request => {
        let mut fleet = Fleet::start(2, 3).await;
        let load = tokio::spawn(run_load(steady_load(fleet.entries[0].http)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.workers[0].agent.signal("TERM");
        let status = fleet.workers[0].agent.wait_for_exit().await;
        let report = load.await.expect("the load ends");
        assert!(status.success(), "the agent ended with {status}");
        assert_eq!((report.unanswered, report.wrong, report.failed, report.refused), (0, 0, 0, 0));
        assert!(report.completed > 0);
        assert_eq!(fleet.log.duplicates(), 0);
    }

    leaving_target_gets_nothing_new => {
        let fleet = Fleet::start(2, 2).await;
        let load = tokio::spawn(run_load(steady_load(fleet.entries[0].http)));
        tokio::time::sleep(Duration::from_millis(500)).await;
        let leaving = &fleet.workers[0];
        leaving.target.leave(leaving.agent.http).await.expect("the agent accepts the leave message");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(leaving.target.running(), 0, "tasks are still dispatched to a leaving target");
        let report = load.await.expect("the load ends");
        assert_eq!(leaving.target.running(), 0);
        assert_eq!((report.unanswered, report.wrong, report.failed), (0, 0, 0));
    }

    many_simultaneous_cancellations_free_their_slots => {
        let fleet = Fleet::start(1, 1).await;
        let disconnect_after = Duration::from_millis(300);
        let wave = (0..20).map(|index| {
            let mark = format!("wave{index}");
            let fleet = &fleet;
            async move { tokio::time::timeout(disconnect_after, fleet.submit(0, &[], &mark, 8, 5_000)).await }
        });
        let cancelled = join_all(wave).await;
        assert!(cancelled.iter().all(Result::is_err), "a job ended before its caller disconnected");
        until(async || fleet.workers[0].target.running() == 0).await;
        until(async || fleet.report(0).await.is_some_and(|report| report.jobs == 0)).await;
        let after = fleet.submit(0, &[], "after", 8, 10).await.expect("an answer");
        after.assert_complete("after", 8);
        assert_eq!(fleet.log.duplicates(), 0);
    }

    failing_target_is_quarantined_and_recovers => {
        let fleet = Fleet::start(1, 3).await;
        let broken = TargetBehavior { fails_all: true, ..TargetBehavior::default() };
        fleet.workers[0].target.set_behavior(broken);
        let is_quarantined = async |wanted: bool| {
            fleet.report(0).await.is_some_and(|report| {
                report.workers.iter().any(|w| w.worker == "worker-0" && w.quarantined == wanted)
            })
        };
        let mut number = 0;
        while !is_quarantined(true).await {
            number += 1;
            assert!(number < 500, "the worker was never quarantined");
            fleet.submit(0, &[], &format!("job{number}"), 4, 1).await;
        }
        fleet.workers[0].target.set_behavior(TargetBehavior::default());
        until(async || {
            number += 1;
            fleet.submit(0, &[], &format!("probe{number}"), 1, 1).await;
            is_quarantined(false).await
        })
        .await;
    }

    invalid_requests_are_refused_with_a_remedy_and_the_entry_keeps_serving => {
        let fleet = Fleet::start(1, 1).await;
        let entry = fleet.entries[0].http;
        let bad = [
            (serde_json::json!({ "service": "dispatch" }), 400, "docs/API.md"),
            (serde_json::json!({ "service": "nowhere", "team": "parents", "tasks": [1] }), 404, "service"),
            (serde_json::json!({ "service": "dispatch", "team": "nobody", "tasks": [1] }), 404, "team"),
            (serde_json::json!({ "service": "dispatch", "team": "parents", "tasks": [] }), 400, "1 to"),
            (job("many", 1_601, 1), 413, "split"),
            (serde_json::json!({ "service": "dispatch", "team": "parents", "tasks": [1], "accelerators": 9 }), 422, "needs"),
            (serde_json::json!({ "service": "dispatch", "team": "parents", "tasks": [1], "repeatable": false }), 400, "ticket"),
            (serde_json::json!({ "service": "a b", "team": "parents", "tasks": [1] }), 400, "service name"),
        ];
        for (body, status, hint) in bad {
            let answer = fleet.post(entry, "/v1/jobs", &[], &body).await.expect("an answer");
            assert_eq!((answer.status(), answer.run().as_str()), (status, "not-run"), "{body}");
            let detail = answer.json()["detail"].as_str().unwrap_or_default().to_owned();
            assert!(detail.contains(hint), "`{detail}` does not name `{hint}`");
        }
        let huge = serde_json::json!({ "service": "dispatch", "team": "parents", "tasks": ["x".repeat(5 << 20)] });
        let answer = fleet.post(entry, "/v1/jobs", &[], &huge).await.expect("an answer");
        assert_eq!((answer.status(), answer.run().as_str()), (413, "not-run"));
        fleet.submit(0, &[], "after", 1, 1).await.expect("an answer").assert_complete("after", 1);
    }

    broken_packets_close_that_connection_only => {
        let fleet = Fleet::start(1, 1).await;
        for garbage in [&b"\0\0\0\0"[..], b"\0\0\0\x08\x01garbage", b"\0\0\0\x03\xff\xff\xff", b"\xff\xff\xff\xff"] {
            let mut socket = std::net::TcpStream::connect(fleet.entries[0].inbox).expect("a connection");
            std::io::Write::write_all(&mut socket, garbage).expect("the garbage is sent");
            let closed = std::io::Read::read(&mut socket, &mut [0; 1]);
            assert!(matches!(closed, Ok(0) | Err(_)), "the connection stays open after {garbage:?}");
        }
        fleet.submit(0, &[], "after", 4, 10).await.expect("an answer").assert_complete("after", 4);
    }

    metrics_count_job_durations => {
        let fleet = Fleet::start(1, 1).await;
        fleet.submit(0, &[], "timed", 3, 20).await.expect("an answer").assert_complete("timed", 3);
        let client = lagoonhill_http::HttpClient::new();
        let path = "/metrics";
        let limit = Duration::from_secs(5);
        let sent = client.send(fleet.entries[0].http, hyper::Method::GET, path, &[], Vec::new().into(), limit);
        let text = String::from_utf8(sent.await.expect("an answer").body.to_vec()).expect("text");
        for line in [
            "lagoonhill_job_seconds_count{stage=\"placed\"} 3",
            "lagoonhill_job_seconds_count{stage=\"completed\"} 1",
        ] {
            assert!(text.contains(line), "`{line}` is missing in:\n{text}");
        }
    }

    a_reused_key_for_another_request_is_refused => {
        let fleet = Fleet::start(1, 1).await;
        let headers = [("idempotency-key", "reused")];
        fleet.submit(0, &headers, "first", 1, 1).await.expect("an answer").assert_complete("first", 1);
        let other = fleet.submit(0, &headers, "second", 1, 1).await.expect("an answer");
        assert_eq!((other.status(), other.run().as_str()), (422, "not-run"));
        assert_eq!(fleet.log.starts_of("second-0"), 0);
    }
}

fn steady_load(entry: std::net::SocketAddr) -> Load {
    Load {
        entries: vec![entry],
        service: "dispatch".to_owned(),
        team: "parents".to_owned(),
        jobs_per_s: 40.0,
        length: Duration::from_secs(4),
        mix: TaskMix {
            min_run_ms: 20,
            max_run_ms: 150,
            min_tasks: 1,
            max_tasks: 3,
        },
        deadline_ms: 15_000,
        seed: 11,
    }
}

async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    let mut done = Vec::new();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| match future.as_mut().poll(context) {
            std::task::Poll::Ready(output) => {
                done.push(output);
                false
            }
            std::task::Poll::Pending => true,
        });
        if pending.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    done
}

/// Connects an entry and an agent through relays. While a job runs, the existing
/// connections in the given directions go silent for good; new connections work.
async fn assert_silent_connection_is_replaced(to_agent: bool, to_entry: bool) {
    let mut fleet = Fleet::empty().await;
    let (entry_inbox, agent_inbox) = (free_port().await, free_port().await);
    let entry_relay = Relay::start(entry_inbox).await.expect("a port is free");
    let agent_relay = Relay::start(agent_inbox).await.expect("a port is free");
    let (listen, advertise) = (entry_inbox.to_string(), entry_relay.address().to_string());
    fleet.add_entry(&["--inbox", &listen, "--advertise", &advertise]);
    let (listen, advertise) = (agent_inbox.to_string(), agent_relay.address().to_string());
    fleet
        .add_worker("worker-0", &["--inbox", &listen, "--advertise", &advertise])
        .await;
    fleet.until_joined().await;
    let pending_answer = fleet.submit(0, &[], "silent", 12, 700);
    let silence = async {
        fleet.until_started("silent-0").await;
        if to_agent {
            agent_relay.set_mode(RelayMode::DropExisting);
        }
        if to_entry {
            entry_relay.set_mode(RelayMode::DropExisting);
        }
    };
    let (answer, ()) = tokio::join!(pending_answer, silence);
    answer.expect("an answer").assert_complete("silent", 12);
    assert_eq!(fleet.log.duplicates(), 0);
}

/// A free port, below those that the system gives to outgoing connections: one of these
/// could take the port before the process listens on it.
async fn free_port() -> std::net::SocketAddr {
    const FIRST: u16 = 20_000;
    const COUNT: u32 = 10_000;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(16).wrapping_add(taken) % COUNT;
        let port = FIRST + u16::try_from(offset).expect("the offset is small");
        let bound = tokio::net::TcpListener::bind(("127.0.0.1", port)).await;
        if let Ok(listener) = bound {
            return listener
                .local_addr()
                .expect("a bound listener has an address");
        }
    }
}
