//! Measures a fleet on loopback: each entry is a separate process; agents, targets
//! and the platform's stand-in run in this one. Prints one CSV line per run.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_bench::{Usage, read_usage, scrape};
use lagoonhill_http::HttpClient;
use lagoonhill_operator::{count_serving, new_edit_id, query_entry, read_rules, submit_edit};
use lagoonhill_platform::EtcdStore;
use lagoonhill_rules::{Edit, RuleLine, RuleSet, parse_rules};
use lagoonhill_standin::{
    Load, LoadReport, PlatformStandin, StartLog, TargetBehavior, TargetStandin, TaskMix, run_load,
};
use lagoonhill_types::prelude::*;
use tokio::time::{sleep, timeout};

const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for start-up traffic to end before a measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Measures a fleet on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Entries, each a process
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    entries: u16,
    /// Agents, all in this process
    #[bpaf(argument("COUNT"), fallback(11), display_fallback)]
    agents: u16,
    /// Slots of each target
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    slots: u16,
    /// Jobs a second over all entries; 0 measures an idle fleet
    #[bpaf(argument("RATE"), fallback(0.0), display_fallback)]
    jobs_per_s: f64,
    /// Tasks in each job
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    tasks: u16,
    /// Run time of each task
    #[bpaf(argument("MS"), fallback(50), display_fallback)]
    run_ms: u64,
    /// Rule edits a second
    #[bpaf(argument("RATE"), fallback(0.0), display_fallback)]
    edits_per_s: f64,
    /// Rule lines besides the service's, as teams
    #[bpaf(argument("COUNT"), fallback(83), display_fallback)]
    teams: u16,
    /// Length of the measurement
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// Streams that submit the load side by side
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    streams: u16,
    /// Print the names of the columns first
    #[bpaf(switch)]
    header: bool,
}

struct EntryProcess {
    child: Child,
    http: SocketAddr,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The `lagoonhill` binary beside this one.
fn binary() -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.set_file_name("lagoonhill");
    path
}

fn start_entry(platform: SocketAddr) -> Result<EntryProcess, String> {
    let platform = platform.to_string();
    let mut child = Command::new(binary())
        .args(["entry", "--http", "127.0.0.1:0", "--platform", &platform])
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|error| format!("{error}; run `cargo build --release` first"))?;
    let output = child.stdout.take().ok_or("standard output is not piped")?;
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let http = lines.find_map(|line| {
        let (front, _) = line.split_once(" and packets on ")?;
        front.rsplit_once(" on ")?.1.parse().ok()
    });
    // Reads the decision log, so that the pipe doesn't fill up.
    std::thread::spawn(move || lines.for_each(drop));
    let http = http.ok_or("the entry ended without printing its address")?;
    Ok(EntryProcess { child, http })
}

struct Fleet {
    platform: PlatformStandin,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentDaemon>,
    _targets: Vec<TargetStandin>,
    log: StartLog,
    http: HttpClient,
}

impl Fleet {
    async fn start(options: &Options) -> Result<Self, String> {
        let text = |error: &dyn std::fmt::Display| error.to_string();
        let platform = PlatformStandin::start()
            .await
            .map_err(|error| text(&error))?;
        set_rules(&platform, options.teams).await?;
        let mut entries = Vec::new();
        for _ in 0..options.entries {
            entries.push(start_entry(platform.address())?);
        }
        let log = StartLog::default();
        let (mut agents, mut targets) = (Vec::new(), Vec::new());
        let service: ServiceName = "dispatch".parse().expect("the name is valid");
        for index in 0..options.agents {
            let worker = format!("worker-{index}")
                .parse()
                .expect("the name is valid");
            let zone = format!("zone-{}", index % 6)
                .parse()
                .expect("the name is valid");
            let mut settings = AgentSettings::new(worker, zone);
            settings.platform = Some(platform.address());
            let agent = AgentDaemon::start(settings)
                .await
                .map_err(|error| text(&error))?;
            let target = TargetStandin::start(TargetBehavior::default(), log.clone())
                .await
                .map_err(|error| text(&error))?;
            target
                .announce(agent.http(), &service, SlotCount(options.slots))
                .await?;
            agents.push(agent);
            targets.push(target);
        }
        let fleet = Self {
            platform,
            entries,
            agents,
            _targets: targets,
            log,
            http: HttpClient::new(),
        };
        timeout(JOIN_TIMEOUT, fleet.wait_until_joined())
            .await
            .map_err(|_| "the agents did not join in time".to_owned())?;
        Ok(fleet)
    }

    async fn wait_until_joined(&self) {
        for entry in &self.entries {
            while count_serving(&self.http, entry.http).await != self.agents.len() {
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn entry_usage(&self) -> Vec<Usage> {
        self.entries
            .iter()
            .map(|entry| read_usage(entry.child.id()))
            .collect()
    }

    async fn entry_counter(&self, name: &str) -> f64 {
        let mut total = 0.0;
        for entry in &self.entries {
            total += scrape(&self.http, entry.http).await.sum(name);
        }
        total
    }
}

async fn set_rules(platform: &PlatformStandin, teams: u16) -> Result<(), String> {
    let mut text = "service dispatch deadline=30s run-time=50ms  # bench\n\
                    team parents class=rush  # bench\n"
        .to_owned();
    for team in 0..teams {
        let line = format!("team team-{team} rate=500/s weight=2  # bench\n");
        text.push_str(&line);
    }
    let lines = parse_rules(&text).map_err(|error| error.to_string())?;
    let wanted = RuleSet::new(Revision(0), lines);
    let edit = Edit::replace_all(new_edit_id(), &RuleSet::default(), &wanted);
    let store = EtcdStore::new(platform.address());
    submit_edit(&store, &edit, None)
        .await
        .map(drop)
        .map_err(|error| error.to_string())
}

/// Edits one team's rule line `edits_per_s` times a second; returns the number of edits
/// and the longest time until an edit was in force at all processes.
async fn edit_rules(fleet: &Fleet, edits_per_s: f64, length: Duration) -> (u32, Duration) {
    let store = EtcdStore::new(fleet.platform.address());
    let started = Instant::now();
    let (mut edits, mut longest) = (0_u32, Duration::ZERO);
    while edits_per_s > 0.0 && started.elapsed() < length {
        let due = started + Duration::from_secs_f64(f64::from(edits) / edits_per_s);
        tokio::time::sleep_until(due.into()).await;
        let line: RuleLine = format!("team team-0 rate={}/s weight=2  # bench", 500 + edits)
            .parse()
            .expect("valid");
        let Ok(seen) = read_rules(&store).await else {
            continue;
        };
        let edit = Edit::set_line(new_edit_id(), &seen.rules, line.key.clone(), Some(line));
        let Ok(revision) = submit_edit(&store, &edit, None).await else {
            continue;
        };
        let accepted = Instant::now();
        while !is_in_force(fleet, revision).await {
            sleep(Duration::from_millis(5)).await;
        }
        longest = longest.max(accepted.elapsed());
        edits += 1;
    }
    (edits, longest)
}

async fn is_in_force(fleet: &Fleet, revision: Revision) -> bool {
    for entry in &fleet.entries {
        let is_behind = match query_entry(&fleet.http, entry.http).await {
            Ok(report) => {
                report.rules_revision < revision
                    || report
                        .workers
                        .iter()
                        .any(|worker| worker.rules_revision < revision)
            }
            Err(_) => true,
        };
        if is_behind {
            return false;
        }
    }
    true
}

async fn submit_load(fleet: &Fleet, options: &Options) -> Option<LoadReport> {
    if options.jobs_per_s <= 0.0 {
        sleep(Duration::from_secs(options.seconds)).await;
        return None;
    }
    let streams = options.streams.max(1);
    let entries: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.http).collect();
    let load = |stream: u16| Load {
        entries: entries.clone(),
        service: "dispatch".to_owned(),
        team: "parents".to_owned(),
        jobs_per_s: options.jobs_per_s / f64::from(streams),
        length: Duration::from_secs(options.seconds),
        mix: TaskMix {
            min_run_ms: options.run_ms,
            max_run_ms: options.run_ms,
            min_tasks: options.tasks,
            max_tasks: options.tasks,
        },
        deadline_ms: 30_000,
        seed: u64::from(stream) + 1,
    };
    let running: Vec<_> = (0..streams)
        .map(|stream| tokio::spawn(run_load(load(stream))))
        .collect();
    let mut merged: Option<LoadReport> = None;
    for stream in running {
        let report = stream.await.ok()?;
        match &mut merged {
            Some(merged) => merged.merge(&report),
            None => merged = Some(report),
        }
    }
    merged
}

const COLUMNS: &str = "entries,agents,jobs_per_s,tasks,run_ms,edits_per_s,starts_per_s,\
entry_cpu_percent,entry_rss_mib,entry_packets_per_s,entry_bytes_per_s,agent_cpu_percent,\
agent_rss_mib,platform_calls_per_s,p50_overhead_ms,p99_overhead_ms,refused,failed,cut,wrong,\
duplicates,edits,longest_in_force_ms";

async fn measure(options: &Options) -> Result<String, String> {
    let fleet = Fleet::start(options).await?;
    sleep(WARM_UP).await;
    let own = std::process::id();
    let (entry_before, own_before) = (fleet.entry_usage(), read_usage(own));
    let packets_before = fleet.entry_counter("lagoonhill_packets_total").await;
    let bytes_before = fleet.entry_counter("lagoonhill_packet_bytes_total").await;
    let (calls_before, starts_before) = (fleet.platform.calls(), fleet.log.total());
    let started = Instant::now();
    let length = Duration::from_secs(options.seconds);
    let (report, (edits, longest)) = tokio::join!(
        submit_load(&fleet, options),
        edit_rules(&fleet, options.edits_per_s, length)
    );
    let seconds = started.elapsed().as_secs_f64();
    let entries = f64::from(options.entries);
    let agents = f64::from(options.agents.max(1));
    let cpu: f64 = fleet
        .entry_usage()
        .iter()
        .zip(&entry_before)
        .map(|(after, before)| (after.cpu.saturating_sub(before.cpu)).as_secs_f64())
        .sum();
    let max_rss = fleet
        .entry_usage()
        .iter()
        .map(|usage| usage.resident_bytes)
        .max()
        .unwrap_or(0);
    let own_after = read_usage(own);
    let own_cpu = own_after.cpu.saturating_sub(own_before.cpu).as_secs_f64();
    let packets = fleet.entry_counter("lagoonhill_packets_total").await - packets_before;
    let bytes = fleet.entry_counter("lagoonhill_packet_bytes_total").await - bytes_before;
    let calls = (fleet.platform.calls() - calls_before) as f64;
    let starts = (fleet.log.total() - starts_before) as f64;
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    let overhead = |quantile| {
        report.as_ref().map_or(0.0, |r| {
            r.overhead_us.value_at_quantile(quantile) as f64 / 1_000.0
        })
    };
    let (refused, failed, unanswered, wrong) = report.as_ref().map_or((0, 0, 0, 0), |r| {
        (r.refused, r.failed, r.unanswered, r.wrong)
    });
    Ok(format!(
        "{},{},{},{},{},{},{:.0},{:.2},{:.1},{:.1},{:.0},{:.3},{:.2},{:.2},{:.2},{:.2},{refused},{failed},{unanswered},{wrong},{},{edits},{}",
        options.entries,
        options.agents,
        options.jobs_per_s,
        options.tasks,
        options.run_ms,
        options.edits_per_s,
        starts / seconds,
        cpu / seconds / entries * 100.0,
        mib(max_rss),
        packets / seconds / entries,
        bytes / seconds / entries,
        own_cpu / seconds / agents * 100.0,
        mib(own_after.resident_bytes) / agents,
        calls / seconds,
        overhead(0.5),
        overhead(0.99),
        fleet.log.duplicates(),
        longest.as_millis(),
    ))
}

fn main() -> ExitCode {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let line = match runtime {
        Ok(runtime) => {
            let line = runtime.block_on(measure(&options));
            runtime.shutdown_background();
            line
        }
        Err(error) => Err(error.to_string()),
    };
    match line {
        Ok(line) => {
            if options.header {
                println!("{COLUMNS}");
            }
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
