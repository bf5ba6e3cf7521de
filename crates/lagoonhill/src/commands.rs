//! The commands `entry`, `agent`, `rules`, `status` and `explain`.

use std::fs::File;
use std::io::Read as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lagoonhill_agent::AgentDaemon;
use lagoonhill_daemon::logging;
use lagoonhill_entry::EntryDaemon;
use lagoonhill_http::HttpClient;
use lagoonhill_operator::{
    JobTimeline, LogLine, ProcessRevision, new_edit_id, query_entry, query_fleet, read_rules,
    rules_in_force, submit_edit,
};
use lagoonhill_platform::EtcdStore;
use lagoonhill_rules::{Edit, RuleKey, RuleLine, RuleSet, parse_rules};
use lagoonhill_types::prelude::*;
use log::warn;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::cli::{AgentOptions, CommonOptions, EntryOptions, RulesCommand, StoreOptions};
use crate::settings::{check_agent, check_entry, read_address, read_value};

/// The path that means standard input.
pub(crate) const STDIN_PATH: &str = "-";

/// Time within which accepted rules must be in force everywhere; later, a warning is printed.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(12);

/// Longest wait of `rules status`.
const STATUS_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two polls of the fleet by `rules status`.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits for SIGTERM or SIGINT; a second signal ends the process immediately.
struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
}

impl Shutdown {
    fn new() -> Result<Self, String> {
        let listen = |kind| {
            signal(kind).map_err(|error| format!("failed to install a signal handler: {error}"))
        };
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for the drain to finish, unless a second signal comes first.
    async fn drain(mut self, drained: impl Future<Output = bool>) -> ExitCode {
        tokio::select! {
            in_time = drained => if in_time { ExitCode::SUCCESS } else { ExitCode::FAILURE },
            () = self.wait() => {
                warn!("second signal received: exiting without draining, work in flight may be lost");
                ExitCode::FAILURE
            }
        }
    }
}

pub(crate) async fn entry(
    common: CommonOptions,
    options: EntryOptions,
) -> Result<ExitCode, String> {
    let (settings, log) = check_entry(&common, &options)?;
    if common.print_settings {
        println!("{settings:#?}");
        return Ok(ExitCode::SUCCESS);
    }
    logging::start(log.format, log.level);
    let mut shutdown = Shutdown::new()?;
    let daemon = EntryDaemon::start(settings)
        .await
        .map_err(|error| error.to_string())?;
    shutdown.wait().await;
    Ok(shutdown.drain(daemon.drain()).await)
}

pub(crate) async fn agent(
    common: CommonOptions,
    options: AgentOptions,
) -> Result<ExitCode, String> {
    let (settings, log) = check_agent(&common, &options)?;
    if common.print_settings {
        println!("{settings:#?}");
        return Ok(ExitCode::SUCCESS);
    }
    logging::start(log.format, log.level);
    let mut shutdown = Shutdown::new()?;
    let daemon = AgentDaemon::start(settings)
        .await
        .map_err(|error| error.to_string())?;
    shutdown.wait().await;
    Ok(shutdown.drain(daemon.drain()).await)
}

pub(crate) async fn rules(command: RulesCommand) -> Result<ExitCode, String> {
    match command {
        RulesCommand::Check { file } => check_file(&file),
        RulesCommand::Show { store } => show_rules(&open_store(&store)?).await,
        RulesCommand::Set { store, line } => {
            let line: RuleLine = read_value(&line)?;
            edit_line(&open_store(&store)?, line.key.clone(), Some(line)).await
        }
        RulesCommand::Remove {
            store,
            kind,
            subject,
        } => {
            let kind = read_value(&kind)?;
            edit_line(&open_store(&store)?, RuleKey { kind, subject }, None).await
        }
        RulesCommand::Apply {
            store,
            restore_from,
            file,
        } => apply_file(&open_store(&store)?, restore_from.as_deref(), &file).await,
        RulesCommand::Log { store } => log_edits(&open_store(&store)?).await,
        RulesCommand::Status { store, entry } => {
            rules_status(&open_store(&store)?, read_address(&entry)?).await
        }
    }
}

fn open_store(options: &StoreOptions) -> Result<EtcdStore, String> {
    read_address(&options.platform).map(EtcdStore::new)
}

fn read_file(path: &str) -> Result<Vec<RuleLine>, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{path}: {error}; check the file's name"))?;
    parse_rules(&text).map_err(|errors| {
        let errors = errors.0.iter().map(|error| format!("{path}: {error}"));
        errors.collect::<Vec<_>>().join("\n")
    })
}

fn check_file(path: &str) -> Result<ExitCode, String> {
    let lines = read_file(path)?;
    println!("{path}: {} rules, no mistakes", lines.len());
    Ok(ExitCode::SUCCESS)
}

async fn show_rules(store: &EtcdStore) -> Result<ExitCode, String> {
    let stored = read_rules(store).await.map_err(|error| error.to_string())?;
    println!("# revision {}", stored.rules.revision);
    print!("{}", stored.rules.to_text());
    Ok(ExitCode::SUCCESS)
}

async fn edit_line(
    store: &EtcdStore,
    key: RuleKey,
    after: Option<RuleLine>,
) -> Result<ExitCode, String> {
    let current = read_rules(store)
        .await
        .map_err(|error| error.to_string())?
        .rules;
    if after.is_none() && current.get(&key).is_none() {
        return Err(format!(
            "there is no line `{key}`: see `lagoonhill rules show`"
        ));
    }
    let edit = Edit::set_line(new_edit_id(), &current, key, after);
    submit(store, &edit, None).await
}

async fn apply_file(
    store: &EtcdStore,
    restore_from: Option<&str>,
    path: &str,
) -> Result<ExitCode, String> {
    let lines = read_file(path)?;
    let base = match restore_from {
        Some(entry) => {
            let address = read_address(entry)?;
            let rules = rules_in_force(&HttpClient::new(), address).await;
            Some(rules.map_err(|error| error.to_string())?)
        }
        None => None,
    };
    let current = match (read_rules(store).await, &base) {
        (Ok(stored), _) => stored.rules,
        (Err(_), Some(base)) => base.clone(),
        (Err(error), None) => {
            return Err(format!(
                "{error} (give the address of a running entry with --restore-from)"
            ));
        }
    };
    let edit = Edit::replace_all(
        new_edit_id(),
        &current,
        &RuleSet::new(current.revision, lines),
    );
    submit(store, &edit, base.as_ref()).await
}

async fn submit(
    store: &EtcdStore,
    edit: &Edit,
    base: Option<&RuleSet>,
) -> Result<ExitCode, String> {
    let revision = submit_edit(store, edit, base)
        .await
        .map_err(|error| error.to_string())?;
    println!(
        "accepted as revision {revision} (edit {}, {} lines)",
        edit.id,
        edit.changes.len()
    );
    Ok(ExitCode::SUCCESS)
}

async fn log_edits(store: &EtcdStore) -> Result<ExitCode, String> {
    let stored = read_rules(store).await.map_err(|error| error.to_string())?;
    for record in &stored.records {
        println!(
            "revision {} edit {} at {}",
            record.revision, record.id, record.at_ms
        );
        for line in &record.summary {
            println!("    {line}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn rules_status(store: &EtcdStore, entry: SocketAddr) -> Result<ExitCode, String> {
    let stored = read_rules(store).await.map_err(|error| error.to_string())?;
    let stored_revision = stored.rules.revision;
    let accepted_ms = stored
        .records
        .last()
        .map_or(TimestampMs(0), |record| record.at_ms);
    let http = HttpClient::new();
    let started = Instant::now();
    loop {
        let processes = query_fleet(&http, entry)
            .await
            .map_err(|error| error.to_string())?;
        let behind = processes
            .iter()
            .filter(|process| process.revision < Some(stored_revision))
            .count();
        let is_late = started.elapsed() > IN_FORCE_LIMIT;
        if behind == 0 || started.elapsed() > STATUS_TIMEOUT {
            print_processes(&processes, stored_revision);
            let delay_ms = Clock::start().now().since(accepted_ms);
            println!("revision {stored_revision}: {behind} behind, accepted {delay_ms} ago");
            return Ok(if behind == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            });
        }
        if is_late {
            eprintln!(
                "{behind} processes have been behind for more than 12s: check that they run and can reach an entry"
            );
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn print_processes(processes: &[ProcessRevision], stored_revision: Revision) {
    for ProcessRevision { process, revision } in processes {
        match revision {
            None => println!("{process:<40} does not answer   BEHIND, for all that is known"),
            Some(revision) if *revision < stored_revision => {
                println!("{process:<40} revision {revision:<8} BEHIND");
            }
            Some(revision) => println!("{process:<40} revision {revision:<8} in force"),
        }
    }
}

pub(crate) async fn status(entry: &str) -> Result<ExitCode, String> {
    let report = query_entry(&HttpClient::new(), read_address(entry)?)
        .await
        .map_err(|error| error.to_string())?;
    println!(
        "entry {} at {}: rules revision {}, {} jobs, {} tasks queued{}",
        report.entry.incarnation,
        report.entry.http,
        report.rules_revision,
        report.jobs,
        report.queued_tasks,
        if report.leaving { ", leaving" } else { "" },
    );
    println!("entries known: {}", report.entries.len());
    for worker in &report.workers {
        println!(
            "{:<24} {:<16} {:<10} {:<24} load {}/{} rules {}{}",
            worker.worker,
            worker.zone,
            worker.state,
            worker.service.as_deref().unwrap_or("-"),
            worker.load,
            worker.slots,
            worker.rules_revision,
            if worker.quarantined {
                " quarantined"
            } else {
                ""
            },
        );
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn explain(
    entry: Option<&str>,
    logs: &[String],
    job: &str,
) -> Result<ExitCode, String> {
    if !logs.is_empty() {
        return explain_by_logs(logs, job);
    }
    let Some(entry) = entry else {
        return Err("no source given: give an entry with --entry, or logs with --log".to_owned());
    };
    let (address, job) = (read_address(entry)?, read_value(job)?);
    let decisions = lagoonhill_operator::explain(&HttpClient::new(), address, job).await;
    print!("{}", decisions.map_err(|error| error.to_string())?);
    Ok(ExitCode::SUCCESS)
}

/// Explains a job from logs; the exit code is a failure if no line is about the job.
fn explain_by_logs(logs: &[String], job: &str) -> Result<ExitCode, String> {
    let mut lines = Vec::new();
    for path in logs {
        let process = Path::new(path).file_stem().unwrap_or_default();
        let process = process.to_string_lossy().into_owned();
        let mut text = String::new();
        let read = if path == STDIN_PATH {
            std::io::stdin().read_to_string(&mut text)
        } else {
            File::open(path).and_then(|mut file| file.read_to_string(&mut text))
        };
        read.map_err(|error| format!("{path}: {error}; check the file's name"))?;
        let found = text.lines().filter_map(LogLine::parse);
        lines.extend(found.map(|line| (process.clone(), line)));
    }
    let timeline = JobTimeline::from_logs(job, &lines);
    print!("{timeline}");
    Ok(if timeline.is_empty() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}
