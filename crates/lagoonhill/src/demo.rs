//! The `demo` command: runs a whole fleet in one process under load and checks
//! the promises.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_daemon::logging::{self, LogFormat};
use lagoonhill_entry::{EntryDaemon, EntrySettings};
use lagoonhill_http::HttpClient;
use lagoonhill_operator::{count_serving, new_edit_id, submit_edit};
use lagoonhill_platform::EtcdStore;
use lagoonhill_rules::{Edit, RuleSet, parse_rules};
use lagoonhill_standin::{
    Load, LoadReport, PlatformStandin, StartLog, TargetBehavior, TargetStandin, TaskMix, run_load,
};
use lagoonhill_types::prelude::*;
use tokio::time::sleep;

use crate::cli::DemoOptions;
use crate::demo_queue;
use crate::settings::read_value;

const SERVICE: &str = "bus-dispatch";
const SLOTS: SlotCount = SlotCount(8);
const ZONES: [&str; 3] = ["howrah-a", "salt-lake-b", "barasat-c"];
const DEADLINE_MS: u64 = 20_000;

/// Longest wait until every entry serves with every worker.
const JOIN_TIMEOUT: Duration = Duration::from_secs(15);

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

const RULES: &str = "\
service bus-dispatch class=standard deadline=20s run-time=200ms  # demo
team parents class=rush weight=4  # demo
team offices class=office  # demo
queue nightly service=bus-dispatch attempts=2 objective=1s  # demo
";

/// Entries, agents and stand-ins for targets and the platform, in one process.
struct Fleet {
    platform: PlatformStandin,
    entries: Vec<EntryDaemon>,
    agents: Vec<AgentDaemon>,
    targets: Vec<TargetStandin>,
    log: StartLog,
}

/// Runs the demonstration; the exit code is a failure if a promise was broken.
pub(crate) async fn run(options: DemoOptions) -> Result<ExitCode, String> {
    logging::start(LogFormat::Text, read_value(&options.log_level)?);
    println!(
        "starting {} entries and {} workers",
        options.entries, options.workers
    );
    let fleet = Fleet::start(options.entries, options.workers).await?;
    let addresses: Vec<SocketAddr> = fleet.entries.iter().map(EntryDaemon::http).collect();
    println!("entries take jobs on {}", join_addresses(&addresses));
    println!(
        "a morning rush of {} s over steady office work",
        options.seconds
    );
    let report = tokio::select! {
        report = rush(&addresses, options.workers, options.seconds) => report,
        never = show_progress(&fleet) => match never {},
    };
    let queue_passed = demo_queue::run(&addresses).await;
    let passed = print_report(&report, &fleet, &addresses).await && queue_passed;
    if options.serve {
        println!("staying up; stop with ctrl-c. Try:");
        println!(
            "curl -s http://{}/v1/jobs -d '{{\"service\":\"{SERVICE}\",\"team\":\"parents\",\"tasks\":[{{\"run_ms\":50,\"echo\":\"hello\"}}]}}'",
            addresses[0]
        );
        println!("platform stand-in: {}", fleet.platform.address());
        let _ = tokio::signal::ctrl_c().await;
    }
    let drained = fleet.stop().await;
    if !drained {
        println!("BROKEN: the fleet did not shut down cleanly");
    }
    Ok(if passed && drained {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

impl Fleet {
    async fn start(entries: u16, workers: u16) -> Result<Self, String> {
        let platform = PlatformStandin::start()
            .await
            .map_err(|error| error.to_string())?;
        let store = EtcdStore::new(platform.address());
        let lines = parse_rules(RULES).map_err(|error| error.to_string())?;
        let wanted = RuleSet::new(Revision(0), lines);
        let edit = Edit::replace_all(new_edit_id(), &RuleSet::default(), &wanted);
        submit_edit(&store, &edit, None)
            .await
            .map_err(|error| error.to_string())?;
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            log: StartLog::default(),
        };
        for _ in 0..entries.max(1) {
            fleet.add_entry().await?;
        }
        for index in 0..workers.max(1) {
            fleet.add_worker(index).await?;
        }
        fleet.until_joined().await?;
        Ok(fleet)
    }

    async fn add_entry(&mut self) -> Result<(), String> {
        let settings = EntrySettings {
            platform: Some(self.platform.address()),
            drain_delay_ms: DurationMs(100),
            ..EntrySettings::default()
        };
        let entry = EntryDaemon::start(settings)
            .await
            .map_err(|error| error.to_string())?;
        self.entries.push(entry);
        Ok(())
    }

    async fn add_worker(&mut self, index: u16) -> Result<(), String> {
        let worker = read_value(&format!("worker-{index:02}"))?;
        let zone = read_value(ZONES[usize::from(index) % ZONES.len()])?;
        let mut settings = AgentSettings::new(worker, zone);
        settings.platform = Some(self.platform.address());
        let agent = AgentDaemon::start(settings)
            .await
            .map_err(|error| error.to_string())?;
        let slowness = 0.7 + 0.6 * f64::from(index % 4) / 3.0;
        let behavior = TargetBehavior {
            slowness,
            ..TargetBehavior::default()
        };
        let target = TargetStandin::start(behavior, self.log.clone())
            .await
            .map_err(|error| error.to_string())?;
        target
            .announce(agent.http(), &read_value(SERVICE)?, SLOTS)
            .await?;
        self.agents.push(agent);
        self.targets.push(target);
        Ok(())
    }

    async fn until_joined(&self) -> Result<(), String> {
        let http = HttpClient::new();
        let joined = async {
            for entry in &self.entries {
                while count_serving(&http, entry.http()).await != self.agents.len() {
                    sleep(JOIN_POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(JOIN_TIMEOUT, joined)
            .await
            .map_err(|_| "the workers did not join in time; run with --log-level info".to_owned())
    }

    async fn stop(self) -> bool {
        let mut clean = true;
        for entry in self.entries {
            clean &= entry.drain().await;
        }
        for agent in self.agents {
            clean &= agent.drain().await;
        }
        clean
    }
}

/// Prints the progress of the load every second.
async fn show_progress(fleet: &Fleet) -> Infallible {
    let started = Instant::now();
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let running: u32 = fleet.targets.iter().map(TargetStandin::running).sum();
        let seconds = started.elapsed().as_secs();
        println!(
            "  {seconds:>3} s: {} tasks started, {running} running",
            fleet.log.total()
        );
    }
}

/// Runs a steady load of one team, and one of another that peaks in the middle
/// third at six times its base rate.
async fn rush(entries: &[SocketAddr], workers: u16, seconds: u16) -> LoadReport {
    let slots = f64::from(workers) * f64::from(SLOTS.0);
    let load =
        |team: &str, jobs_per_s: f64, delay_s: u64, length_s: u64, mix: TaskMix, seed: u64| {
            let load = Load {
                entries: entries.to_vec(),
                service: SERVICE.to_owned(),
                team: team.to_owned(),
                jobs_per_s,
                length: Duration::from_secs(length_s),
                mix,
                deadline_ms: DEADLINE_MS,
                seed,
            };
            async move {
                sleep(Duration::from_secs(delay_s)).await;
                run_load(load).await
            }
        };
    let office = TaskMix {
        min_run_ms: 100,
        max_run_ms: 600,
        min_tasks: 1,
        max_tasks: 8,
    };
    let parents = TaskMix {
        min_run_ms: 50,
        max_run_ms: 150,
        min_tasks: 1,
        max_tasks: 4,
    };
    let seconds = u64::from(seconds.max(3));
    let office = load("offices", slots * 0.25, 0, seconds, office, 1);
    let base_load = load("parents", slots * 0.4, 0, seconds, parents, 2);
    let peak_load = load("parents", slots * 2.0, seconds / 3, seconds / 3, parents, 3);
    let (mut office, base_load, peak_load) = tokio::join!(office, base_load, peak_load);
    office.merge(&base_load);
    office.merge(&peak_load);
    office
}

async fn print_report(report: &LoadReport, fleet: &Fleet, entries: &[SocketAddr]) -> bool {
    let log = &fleet.log;
    let false_refusals = report
        .refused_echoes
        .iter()
        .filter(|mark| log.starts_of(mark) > 0)
        .count();
    let packets = count_packets(entries).await;
    let ratio = |quantile| report.ratio_percent.value_at_quantile(quantile) as f64 / 100.0;
    let starts = log.total();
    println!();
    println!("jobs                     {}", report.jobs);
    println!("  complete               {}", report.completed);
    println!("  refused, not run       {}", report.refused);
    println!("  failed, may have run   {}", report.failed);
    println!("  without an answer      {}", report.unanswered);
    println!("tasks submitted          {}", report.tasks);
    println!("starts                   {starts}");
    println!("duplicate starts         {}", log.duplicates());
    println!("wrong or partial answers {}", report.wrong);
    println!("\"not run\" that ran       {false_refusals}");
    println!(
        "answer time / ideal      p50 {:.2}  p99 {:.2}",
        ratio(0.5),
        ratio(0.99)
    );
    println!(
        "packets per task         {:.2}",
        packets / (starts.max(1) as f64)
    );
    let passed =
        log.duplicates() == 0 && report.wrong == 0 && false_refusals == 0 && report.unanswered == 0;
    println!(
        "{}",
        if passed {
            "every promise held"
        } else {
            "BROKEN: a promise was not kept"
        }
    );
    passed
}

/// Sums up the packets that the entries sent and received.
async fn count_packets(entries: &[SocketAddr]) -> f64 {
    let http = HttpClient::new();
    let mut total = 0.0;
    for entry in entries {
        let limit = Duration::from_secs(2);
        let sent = http.send(
            *entry,
            hyper::Method::GET,
            "/metrics",
            &[],
            Vec::new().into(),
            limit,
        );
        let Ok(reply) = sent.await else {
            continue;
        };
        total += String::from_utf8_lossy(&reply.body)
            .lines()
            .filter(|line| line.starts_with("lagoonhill_packets_total"))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>();
    }
    total
}
