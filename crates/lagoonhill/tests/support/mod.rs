//! Test fleets: entries and agents as child processes, stand-ins for targets
//! and the platform in the test process.

#![allow(dead_code, reason = "each test file uses some of the items")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

use hyper::Method;
use lagoonhill_http::{ClientReply, HttpClient};
use lagoonhill_operator::{EntryReport, new_edit_id, query_entry, read_rules, submit_edit};
use lagoonhill_platform::EtcdStore;
use lagoonhill_rules::{Edit, RuleLine};
use lagoonhill_standin::{PlatformStandin, StartLog, TargetBehavior, TargetStandin};
use lagoonhill_types::prelude::*;

/// Longest wait for an expected event; generous, since it is no bound on speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(25);

const RULES: [&str; 2] = [
    "service dispatch deadline=20s run-time=100ms run-limit=15s  # tests",
    "team parents class=rush  # tests",
];

/// An entry or agent as a child process; its addresses are parsed from its log.
pub(crate) struct Process {
    child: Child,
    /// Lines written to standard output so far.
    lines: Arc<Mutex<Vec<String>>>,
    pub(crate) http: SocketAddr,
    pub(crate) inbox: SocketAddr,
}

impl Process {
    fn start(arguments: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lagoonhill"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary was built for this test");
        let output = child.stdout.take().expect("standard output is piped");
        let (sender, addresses) = mpsc::channel();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared_lines = Arc::clone(&lines);
        let shows_logs = std::env::var_os("LAGOONHILL_TEST_LOGS").is_some();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // `cargo test` prints standard error with the failed test.
                if shows_logs {
                    eprintln!("{line}");
                }
                if let Some(found) = parse_addresses(&line) {
                    let _ = sender.send(found);
                }
                shared_lines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
            }
        });
        let (http, inbox) = addresses
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the process announces its addresses");
        Self {
            child,
            lines,
            http,
            inbox,
        }
    }

    /// Returns the lines written to standard output so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a signal by name; `STOP` returns after all threads have stopped.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(sent.success(), "the process is gone already");
        if name == "STOP" {
            self.wait_until_stopped();
        }
    }

    /// Waits until all threads have stopped: `kill` returns earlier, and on a
    /// busy machine threads keep running for a while.
    fn wait_until_stopped(&self) {
        let threads = format!("/proc/{}/task", self.child.id());
        let is_stopped = |thread: std::fs::DirEntry| {
            let status = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the name, which is in parentheses.
            status
                .rsplit_once(')')
                .is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
        };
        let started = Instant::now();
        loop {
            let threads = std::fs::read_dir(&threads).expect("the process runs");
            if threads.map_while(Result::ok).all(is_stopped) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the process does not stop"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be asked") {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the process did not end");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Parses `… on ADDRESS and packets on ADDRESS` in a log line; returns the HTTP
/// and the inbox address.
fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (front, inbox) = line.split_once(" and packets on ")?;
    let (_, http) = front.rsplit_once(" on ")?;
    // In JSON format, the message ends with a quote.
    let (inbox, _) = inbox.split_once('"').unwrap_or((inbox, ""));
    Some((http.parse().ok()?, inbox.trim().parse().ok()?))
}

/// A worker: an agent process and its stand-in target.
pub(crate) struct TestWorker {
    pub(crate) name: String,
    pub(crate) agent: Process,
    pub(crate) target: TargetStandin,
}

/// Entries, workers and a stand-in platform.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) entries: Vec<Process>,
    pub(crate) workers: Vec<TestWorker>,
    pub(crate) log: StartLog,
    pub(crate) http: HttpClient,
    pub(crate) balancer: Option<SocketAddr>,
}

impl Fleet {
    /// Starts a fleet and waits until every entry serves with every worker.
    pub(crate) async fn start(entries: usize, workers: usize) -> Self {
        let mut fleet = Self::empty().await;
        for _ in 0..entries {
            fleet.add_entry(&[]);
        }
        for index in 0..workers {
            fleet.add_worker(&format!("worker-{index}"), &[]).await;
        }
        fleet.until_joined().await;
        fleet
    }

    /// Starts a platform with rules, without entries or workers.
    pub(crate) async fn empty() -> Self {
        let platform = PlatformStandin::start().await.expect("a port is free");
        let fleet = Self {
            platform,
            entries: Vec::new(),
            workers: Vec::new(),
            log: StartLog::default(),
            http: HttpClient::new(),
            balancer: None,
        };
        for rule in RULES {
            fleet.set_rule(rule).await;
        }
        fleet
    }

    /// Sets one rule through the operators' interface; returns the accepted revision.
    pub(crate) async fn set_rule(&self, text: &str) -> Revision {
        let store = EtcdStore::new(self.platform.address());
        let seen = read_rules(&store)
            .await
            .expect("the platform answers")
            .rules;
        let line: RuleLine = text.parse().expect("the rule is valid");
        let edit = Edit::set_line(new_edit_id(), &seen, line.key.clone(), Some(line));
        submit_edit(&store, &edit, None)
            .await
            .expect("nobody else edits")
    }

    fn common_arguments(&self) -> Vec<String> {
        let mut arguments = vec![
            "--platform".to_owned(),
            self.platform.address().to_string(),
            "--http".to_owned(),
            "127.0.0.1:0".to_owned(),
        ];
        if let Some(balancer) = self.balancer {
            arguments.extend(["--balancer".to_owned(), balancer.to_string()]);
        }
        arguments
    }

    pub(crate) fn start_entry(&self, extra: &[&str]) -> Process {
        let mut arguments = vec!["entry".to_owned()];
        arguments.extend(self.common_arguments());
        arguments.extend(["--drain-delay".to_owned(), "1s".to_owned()]);
        arguments.extend(extra.iter().map(ToString::to_string));
        Process::start(&arguments)
    }

    pub(crate) fn add_entry(&mut self, extra: &[&str]) {
        let entry = self.start_entry(extra);
        self.entries.push(entry);
    }

    pub(crate) fn start_agent(&self, name: &str, extra: &[&str]) -> Process {
        let mut arguments = vec!["agent".to_owned()];
        arguments.extend(self.common_arguments());
        arguments.extend(["--worker", name, "--zone", "cymru-a"].map(ToOwned::to_owned));
        arguments.extend(extra.iter().map(ToString::to_string));
        Process::start(&arguments)
    }

    pub(crate) async fn add_worker(&mut self, name: &str, extra: &[&str]) {
        let agent = self.start_agent(name, extra);
        let target = TargetStandin::start(TargetBehavior::default(), self.log.clone())
            .await
            .expect("a port is free");
        announce(&target, agent.http).await;
        self.workers.push(TestWorker {
            name: name.to_owned(),
            agent,
            target,
        });
    }

    /// Kills a worker's agent and starts a new process in its place.
    pub(crate) async fn restart_agent(&mut self, index: usize) {
        self.workers[index].agent.kill();
        let agent = self.start_agent(&self.workers[index].name, &[]);
        announce(&self.workers[index].target, agent.http).await;
        self.workers[index].agent = agent;
        let http = self.workers[index].agent.http;
        until(async || {
            let asked = self.http.send(
                http,
                Method::GET,
                "/readyz",
                &[],
                Vec::new().into(),
                WAIT_TIMEOUT,
            );
            asked.await.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
    }

    pub(crate) async fn report(&self, entry: usize) -> Option<EntryReport> {
        query_entry(&self.http, self.entries[entry].http).await.ok()
    }

    /// Waits until every entry serves with every worker.
    pub(crate) async fn until_joined(&self) {
        for index in 0..self.entries.len() {
            let workers = self.workers.len();
            until(async || {
                self.report(index).await.is_some_and(|report| {
                    let serving = report
                        .workers
                        .iter()
                        .filter(|w| w.state == "serving")
                        .count();
                    serving == workers && report.rules_revision > Revision(0)
                })
            })
            .await;
        }
    }

    /// Waits until a worker has a state at an entry; `None` means unknown there.
    pub(crate) async fn until_state(&self, entry: usize, worker: &str, state: Option<&str>) {
        until(async || {
            self.report(entry).await.is_some_and(|report| {
                let found = report.workers.iter().find(|w| w.worker == worker);
                found.map(|worker| worker.state.as_str()) == state
            })
        })
        .await;
    }

    pub(crate) async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &serde_json::Value,
    ) -> Option<Answer> {
        let body = body.to_string().into();
        let sent = self
            .http
            .send(entry, Method::POST, path, headers, body, WAIT_TIMEOUT);
        sent.await.ok().map(Answer)
    }

    /// Submits a job of marked tasks; `None` if the connection broke.
    pub(crate) async fn submit(
        &self,
        entry: usize,
        headers: &[(&str, &str)],
        mark: &str,
        tasks: usize,
        run_ms: u64,
    ) -> Option<Answer> {
        let body = job(mark, tasks, run_ms);
        self.post(self.entries[entry].http, "/v1/jobs", headers, &body)
            .await
    }

    /// Waits until a marked task has started.
    pub(crate) async fn until_started(&self, mark: &str) {
        until(async || self.log.starts_of(mark) > 0).await;
    }
}

pub(crate) async fn announce(target: &TargetStandin, agent: SocketAddr) {
    let service = "dispatch".parse().expect("the name is valid");
    target
        .announce(agent, &service, SlotCount(8))
        .await
        .expect("the agent accepts its target");
}

/// A job whose tasks are marked `mark-0`, `mark-1` and so on.
pub(crate) fn job(mark: &str, tasks: usize, run_ms: u64) -> serde_json::Value {
    let task = |index| serde_json::json!({ "run_ms": run_ms, "echo": format!("{mark}-{index}") });
    let tasks: Vec<serde_json::Value> = (0..tasks).map(task).collect();
    serde_json::json!({ "service": "dispatch", "team": "parents", "tasks": tasks })
}

/// Polls until a condition holds.
pub(crate) async fn until(mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "what was waited for did not come"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The response that a caller received.
pub(crate) struct Answer(pub(crate) ClientReply);

impl Answer {
    pub(crate) fn status(&self) -> u16 {
        self.0.status.as_u16()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.0.body).unwrap_or_default()
    }

    /// Returns `not-run` or `may-have-run`; empty for a complete answer.
    pub(crate) fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    pub(crate) fn echoes(&self) -> Vec<String> {
        let results = self.json()["results"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        results
            .iter()
            .map(|r| r["echo"].as_str().unwrap_or_default().to_owned())
            .collect()
    }

    /// Asserts that the answer has exactly this job's results, in order.
    pub(crate) fn assert_complete(&self, mark: &str, tasks: usize) {
        let expected: Vec<String> = (0..tasks).map(|index| format!("{mark}-{index}")).collect();
        assert_eq!(
            self.echoes(),
            expected,
            "{}",
            String::from_utf8_lossy(&self.0.body)
        );
    }
}
