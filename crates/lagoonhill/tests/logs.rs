//! The decision log lines match their documentation, and suffice to find the cause of a failure.

mod support;

use std::collections::BTreeSet;
use std::process::Command;
use std::time::Duration;

use hyper::Method;
use lagoonhill_operator::{LogLine, LogMessage, LogSchema};
use lagoonhill_standin::TargetBehavior;
use support::{Fleet, Process, TestWorker, until};

/// Runs one async test body for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}

const PAGE: &str = include_str!("../../../docs/LOGS.md");

fn decisions(process: &Process) -> Vec<LogMessage> {
    let lines = process.lines();
    let lines = lines.iter().filter_map(|line| LogLine::parse(line));
    lines
        .filter(LogLine::is_decision)
        .map(|line| line.message)
        .collect()
}

/// Longest wait for the answer to a request.
const WAIT: Duration = Duration::from_secs(60);

const JSON: [&str; 2] = ["--log-format", "json"];

/// Submits a job under an idempotency key; returns the status code of its answer.
async fn submit(fleet: &Fleet, key: &str, tasks: usize, run_ms: u64) -> u16 {
    let headers = [("idempotency-key", key)];
    let answer = fleet.submit(0, &headers, key, tasks, run_ms).await;
    answer.expect("an answer").status()
}

/// Writes the logs to files named after their processes and runs `explain` on them.
fn explain(fleet: &Fleet, job: &str) -> String {
    let folder = std::env::temp_dir().join(format!("lagoonhill-{job}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let mut arguments = vec!["explain".to_owned()];
    let agents = fleet
        .workers
        .iter()
        .map(|worker| (worker.name.clone(), &worker.agent));
    let entries = fleet.entries.iter().enumerate();
    let entries = entries.map(|(index, entry)| (format!("entry-{index}"), entry));
    for (name, process) in entries.chain(agents) {
        let path = folder.join(format!("{name}.log"));
        std::fs::write(&path, process.lines().join("\n")).expect("the log can be written");
        arguments.extend(["--log".to_owned(), path.display().to_string()]);
    }
    arguments.push(job.to_owned());
    let output = Command::new(env!("CARGO_BIN_EXE_lagoonhill"))
        .args(arguments)
        .output();
    let output = output.expect("the binary was built for this test");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    String::from_utf8(output.stdout).expect("text")
}

/// Explains a job once its end has been logged.
async fn explain_when_ended(fleet: &Fleet, job: &str) -> String {
    until(async || explain(fleet, job).contains("cause: ")).await;
    explain(fleet, job)
}

cases! {
    decision_lines_match_their_documentation_in_text_and_json => {
        let mut fleet = Fleet::empty().await;
        fleet.add_entry(&[]);
        fleet.add_entry(&JSON);
        fleet.add_worker("worker-0", &[]).await;
        fleet.add_worker("worker-1", &JSON).await;
        fleet.until_joined().await;
        for entry in 0..2 {
            let answer = fleet.submit(entry, &[], "well", 6, 20).await.expect("an answer");
            answer.assert_complete("well", 6);
        }
        assert_eq!(fleet.submit(1, &[], "nothing", 0, 20).await.expect("an answer").status(), 400);
        let abandoned = fleet.submit(0, &[], "left", 4, 5_000);
        assert!(tokio::time::timeout(Duration::from_millis(300), abandoned).await.is_err());
        let broken = TargetBehavior { fails_all: true, ..TargetBehavior::default() };
        fleet.workers[1].target.set_behavior(broken);
        for number in 0..30 {
            fleet.submit(0, &[], &format!("broken{number}"), 2, 1).await;
        }
        fleet.workers[0].agent.kill();
        fleet.until_state(0, "worker-0", None).await;
        let schema = LogSchema::parse(PAGE);
        let mut seen: BTreeSet<String> = BTreeSet::new();
        let agents = fleet.workers.iter().map(|worker| &worker.agent);
        for process in fleet.entries.iter().chain(agents) {
            for message in decisions(process) {
                assert_eq!(schema.difference(&message), None, "{message:?}");
                seen.insert(message.event);
            }
        }
        for event in ["admitted", "refused", "placed", "completed", "failed", "joined", "left", "rules", "started", "stopping", "ended"] {
            assert!(seen.contains(event), "no `{event}` was logged; seen: {seen:?}");
        }
    }

    a_target_that_shrinks_and_grows_is_logged_and_counted => {
        let fleet = Fleet::start(1, 1).await;
        let TestWorker { agent, target, .. } = &fleet.workers[0];
        for processors in [2, 64] {
            let body = serde_json::json!({
                "service": "dispatch", "address": target.address(), "slots": 8,
                "processors": processors, "memory_bytes": 256_u64 << 30,
            });
            let body = body.to_string().into();
            let headers = [("content-type", "application/json")];
            let sent = fleet.http.send(agent.http, Method::PUT, "/v1/target", &headers, body, WAIT);
            assert!(sent.await.expect("an answer").status.is_success());
        }
        let changes = || {
            let lines = decisions(agent).into_iter();
            lines.filter(|message| message.event == "capacity-changed").collect::<Vec<_>>()
        };
        until(async || changes().len() == 2).await;
        let schema = LogSchema::parse(PAGE);
        for message in changes() {
            assert_eq!(schema.difference(&message), None, "{message:?}");
        }
        let path = "/metrics";
        let metrics = fleet.http.send(agent.http, Method::GET, path, &[], Vec::new().into(), WAIT);
        let metrics = metrics.await.expect("an answer");
        let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
        for direction in ["shrunk", "grown"] {
            let counter = format!("lagoonhill_target_capacity_changes_total{{direction=\"{direction}\"}} 1");
            assert!(metrics.contains(&counter), "{metrics}");
        }
    }

    the_causes_of_three_failures_are_found_from_logs_alone => {
        let fleet = Fleet::start(1, 1).await;
        assert_eq!(submit(&fleet, "learn", 4, 100).await, 200);
        // Before the fleet counts as complete, nobody is refused by a forecast.
        let is_complete = async || {
            let mut entry = decisions(&fleet.entries[0]).into_iter();
            entry.any(|message| message.event == "formed")
        };
        until(is_complete).await;

        // Refused: every slot is busy beyond the job's deadline.
        let busy = fleet.submit(0, &[], "busy", 64, 2_000);
        let late_job = async {
            fleet.until_started("busy-0").await;
            let mut body = support::job("refused", 1, 100);
            body["deadline_ms"] = 300.into();
            let headers = [("idempotency-key", "refused")];
            let answer = fleet.post(fleet.entries[0].http, "/v1/jobs", &headers, &body).await;
            assert_eq!(answer.expect("an answer").run(), "not-run");
        };
        tokio::select! {
            _ = busy => panic!("the fleet was not busy"),
            () = late_job => {}
        }
        let explanation = explain_when_ended(&fleet, "refused").await;
        assert!(explanation.contains("cause: the queue is too long"), "{explanation}");

        // Failed: the target fails the task.
        let fleet = Fleet::start(1, 1).await;
        let broken = TargetBehavior { fails_all: true, ..TargetBehavior::default() };
        fleet.workers[0].target.set_behavior(broken);
        assert_eq!(submit(&fleet, "failed", 1, 20).await, 502);
        let explanation = explain_when_ended(&fleet, "failed").await;
        assert!(explanation.contains("cause: task 0 failed on worker worker-0"), "{explanation}");

        // Lost: the agent is stopped while the task runs.
        let fleet = Fleet::start(1, 2).await;
        let lost = submit(&fleet, "lost", 1, 4_000);
        let pause = async {
            fleet.until_started("lost-0").await;
            let runs_it = fleet.workers.iter().find(|worker| worker.target.running() > 0);
            runs_it.expect("one runs it").agent.signal("STOP");
        };
        let (status, ()) = tokio::join!(lost, pause);
        assert_eq!(status, 502);
        let explanation = explain_when_ended(&fleet, "lost").await;
        assert!(explanation.contains("was lost while it held task 0"), "{explanation}");
        assert!(explanation.contains("left worker=worker-") && explanation.contains("running at worker-"), "{explanation}");
    }
}
