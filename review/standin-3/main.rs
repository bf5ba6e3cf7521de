//! Cases of the review: each starts a small deployment, disturbs it and judges what clients,
//! workers and the platform saw.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod record;
mod store;
mod targets;

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, job_body};
use json::Json;
use record::Record;
use targets::{DEADLY, Event};

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

const CLIENT_LIMIT: Duration = Duration::from_millis(1_500);

enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let record = Arc::new(Record::create(&path));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let late = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        fleet::end_all();
        late.line("NOT RUN: the case took too long");
        println!("NOT RUN: the case took too long");
        exit(2);
    });
    // A panic ends the processes of the deployment too, as their owner is dropped.
    let run = std::panic::catch_unwind(|| match case.as_str() {
        "late-count" => late_count(&record, has_trouble),
        "cut-off" => cut_off(&record, has_trouble),
        "deadly" => deadly(&record, has_trouble),
        "one-crash" => one_crash(&record, has_trouble),
        _ => Verdict::NotRun(format!("there is no case `{case}`")),
    });
    let verdict = run.unwrap_or_else(|_| Verdict::NotRun("the case has panicked".to_owned()));
    let (status, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}

fn pause_until(from: Instant, ms: u64) {
    let until = from + Duration::from_millis(ms);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    assert!(from.elapsed() < TIME_LIMIT, "the case takes too long");
}

/// A write gets no answer while jobs come, and is carried out late; the entries are asked
/// how many jobs wait.
fn late_count(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), 3, 2, 16_000);
    if !fleet.warm_up(Duration::from_secs(15)) {
        return Verdict::NotRun("the deployment did not come up".to_owned());
    }
    let accepted = |answer: Option<(u16, String)>| answer.is_some_and(|(status, _)| status == 200);
    let from = Instant::now();
    let filler = job_body("50000", &[(2, 16_000, 50_000)]);
    if !accepted(fleet.ask(1, "POST", "00000000000000f1", &filler, CLIENT_LIMIT)) {
        return Verdict::NotRun("the long job was not accepted".to_owned());
    }
    pause_until(from, 1_500);
    if has_trouble {
        record.line("trouble: for 4 s; one write, the first that publishes a count, gets no answer and is carried out 6 s later");
        fleet.store.lose_one("lagoonhill/waiting/", Duration::from_secs(6));
    }
    let jobs: Vec<String> = (0..12).map(|at| format!("{:016x}", 0xb0 + at)).collect();
    let body = job_body("300", &[(1, 16_000, 300)]);
    for (at, job) in jobs.iter().enumerate() {
        // The first two are published before the others come.
        if at == 2 { pause_until(from, 3_500); }
        if !accepted(fleet.ask(0, "POST", job, &body, CLIENT_LIMIT)) {
            return Verdict::NotRun(format!("job {job} was not accepted"));
        }
    }
    let accepted_by = Instant::now();
    pause_until(from, 5_500);
    let (seen, late) = fleet.store.answer_all();
    record.line(format!("{late} of {seen} writes got no answer"));
    let mut wrong = Vec::new();
    let mut asked = 0;
    while from.elapsed() < Duration::from_secs(32) {
        thread::sleep(Duration::from_millis(250));
        for entry in [1, 2] {
            // visible_ms and 2 s.
            if accepted_by.elapsed() < Duration::from_millis(5_000) { continue; }
            let answer = fleet.ask(entry, "GET", "", "", CLIENT_LIMIT);
            let begun = fleet.ledger.events().iter().filter(|event| {
                matches!(event, Event::Start { task, .. } if jobs.iter().any(|job| task.starts_with(job.as_str())))
            }).count();
            let owed = jobs.len().saturating_sub(begun) as i64;
            let Some((200, body)) = answer else { continue };
            asked += 1;
            let shown = Json::parse(&body).and_then(|body| body.get("waiting").as_i64()).unwrap_or(-1);
            if shown * 2 < owed {
                wrong.push(format!("entry-{entry} gave {shown} at {} ms while {owed} jobs had not begun", record.now_ms()));
            }
        }
    }
    match wrong.as_slice() {
        [first, .., last] => Verdict::Broken(format!(
            "{} of {asked} answers gave fewer than half of the waiting jobs; the first: {first}; the last: {last}", wrong.len()
        )),
        _ => Verdict::Held(format!("{asked} answers, {} of them under half of the waiting jobs", wrong.len())),
    }
}

/// Workers are cut off one after the other while they run the task of a durable job; they
/// refuse connections and run on.
fn cut_off(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const CUT_MS: u64 = 5_500;
    const CUTS: usize = 3;
    let fleet = Fleet::start(Arc::clone(record), 3, 6, 16_000);
    if !fleet.warm_up(Duration::from_secs(15)) {
        return Verdict::NotRun("the deployment did not come up".to_owned());
    }
    let job = "00000000000000c1";
    let body = job_body("20000", &[(1, 1_000, 20_000)]);
    let from = Instant::now();
    if !fleet.ask(0, "POST", job, &body, CLIENT_LIMIT).is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let runs_on = || {
        let events = fleet.ledger.events();
        let start = events.iter().rposition(|event| matches!(event, Event::Start { task, .. } if task.starts_with(job)))?;
        let Event::Start { worker, run, .. } = &events[start] else { return None };
        let is_over = events[start..].iter().any(|event| matches!(event, Event::End { task, run: ended, .. } if task.starts_with(job) && ended == run));
        if is_over { None } else { fleet.workers.iter().find(|known| known.name() == worker) }
    };
    let state = || fleet.ask(1, "GET", job, "", CLIENT_LIMIT).map_or(String::new(), |(_, body)| body);
    let mut cuts = 0;
    while from.elapsed() < Duration::from_secs(60) {
        thread::sleep(Duration::from_millis(700));
        let state = state();
        if state.contains("failed") || state.contains("complete") { break; }
        let Some(worker) = runs_on() else { continue };
        if has_trouble && cuts < CUTS {
            cuts += 1;
            worker.cut_off(true);
            thread::sleep(Duration::from_millis(CUT_MS));
            worker.cut_off(false);
        }
    }
    let failed = fleet.ledger.events().iter().filter(|event| {
        matches!(event, Event::End { task, how: "failed", .. } if task.starts_with(job))
    }).count();
    let state = state();
    if state.contains("failed") {
        return Verdict::Broken(format!("the job is shown as failed after {cuts} cuts; {failed} of its runs have ended failed, and no worker has crashed"));
    }
    Verdict::Held(format!("the job is shown as {state} after {cuts} cuts"))
}

/// A durable job comes whose task crashes each worker that starts it; a crashed worker is
/// silent, and back after some seconds.
fn deadly(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), 3, 6, 16_000);
    if !fleet.warm_up(Duration::from_secs(15)) {
        return Verdict::NotRun("the deployment did not come up".to_owned());
    }
    let job = "00000000000000d1";
    let body = job_body(if has_trouble { DEADLY } else { "300" }, &[(1, 1_000, 300)]);
    let from = Instant::now();
    if !fleet.ask(0, "POST", job, &body, CLIENT_LIMIT).is_some_and(|(status, _)| status == 200) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let state = || fleet.ask(1, "GET", job, "", CLIENT_LIMIT).map_or(String::new(), |(_, body)| body);
    while from.elapsed() < Duration::from_secs(30) {
        thread::sleep(Duration::from_millis(1_000));
        let state = state();
        if state.contains("failed") || state.contains("complete") { break; }
    }
    let events = fleet.ledger.events();
    let of_job = events.iter().filter(|event| match event {
        Event::Start { task, .. } | Event::End { task, .. } | Event::Noted { task, .. } => task.starts_with(job),
    });
    let (mut crashes, mut starts, mut later) = (0, 0, 0);
    for event in of_job {
        match event {
            Event::Start { .. } => { starts += 1; later += usize::from(crashes >= 3); }
            Event::End { how: "crashed", .. } => crashes += 1,
            _ => {}
        }
    }
    let text = format!("{starts} starts, {crashes} crashes, {later} starts after three workers had crashed; the job is shown as {}", state());
    if later >= 3 { Verdict::Broken(text) } else { Verdict::Held(text) }
}

/// A worker crashes right after a run of a durable job has ended on it, and once more while the
/// task runs again.
fn one_crash(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const ATTEMPTS: u64 = 6;
    // Racks of three: the last one has one worker.
    let fleet = Fleet::start(Arc::clone(record), 3, 7, 16_000);
    if !fleet.warm_up(Duration::from_secs(15)) {
        return Verdict::NotRun("the deployment did not come up".to_owned());
    }
    let from = Instant::now();
    let mut verdict = Verdict::Held(String::new());
    for attempt in 0..ATTEMPTS {
        verdict = crash_once(&fleet, attempt, has_trouble);
        if !matches!(verdict, Verdict::Held(_)) || from.elapsed() > Duration::from_secs(60) { break; }
    }
    verdict
}

/// One round of the case above: a job at each entry. Short jobs run beside them, so that ends wait
/// to be stored.
fn crash_once(fleet: &Fleet, attempt: u64, has_trouble: bool) -> Verdict {
    const RACK: &str = "r1-2";
    let worker = fleet.workers.last().expect("there are workers");
    let jobs: Vec<String> = (0..3).map(|at| format!("{:016x}", 0xc00 + attempt * 16 + at)).collect();
    let task_of = |job: &String| format!("{job}.0.0.0");
    let with_rack = |body: String| body.replace("\"mem-mb\"", &format!("\"requirements\":\"{RACK}\",\"mem-mb\""));
    let count = |job: &String, wanted: &str| fleet.ledger.events().iter().filter(|event| {
        matches!(event, Event::End { task, how, .. } if *task == task_of(job) && *how == wanted)
    }).count();
    if has_trouble { worker.crash_after(Some(&task_of(&jobs[2]))); }
    // All at once, so that their runs end together.
    let hand_in = |at: usize| {
        let entry = (at + attempt as usize) % 3;
        let body = with_rack(job_body("2500", &[(1, 1_000, 2_500)]));
        fleet.ask(entry, "POST", &jobs[at], &body, CLIENT_LIMIT).is_some_and(|(status, _)| status == 200)
    };
    let are_accepted = thread::scope(|scope| {
        let hand_in = &hand_in;
        let clients: Vec<_> = (0..jobs.len()).map(|at| scope.spawn(move || hand_in(at))).collect();
        clients.into_iter().all(|client| client.join().expect("a client does not panic"))
    });
    if !are_accepted {
        return Verdict::NotRun("a job was not accepted".to_owned());
    }
    let from = Instant::now();
    for at in 0..100u64 {
        if count(&jobs[2], "done") > 0 { break; }
        let other = format!("{:016x}", 0x10_0000 + attempt * 0x1000 + at);
        fleet.ask((at % 3) as usize, "POST", &other, &with_rack(job_body("60,400", &[(1, 1_000, 60), (1, 1_000, 400)])), CLIENT_LIMIT);
        thread::sleep(Duration::from_millis(25));
    }
    let starts = |job: &String| fleet.ledger.events().iter().filter(|event| {
        matches!(event, Event::Start { task, .. } if *task == task_of(job))
    }).count();
    let state = |job: &String| fleet.ask(1, "GET", job, "", CLIENT_LIMIT).map_or(String::new(), |(_, body)| body);
    let mut has_crashed = false;
    let mut open = jobs.clone();
    while !open.is_empty() && from.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(200));
        if has_trouble && !has_crashed && jobs.iter().any(|job| starts(job) == 2) {
            has_crashed = true;
            thread::sleep(Duration::from_millis(500));
            worker.crash();
        }
        for job in std::mem::take(&mut open) {
            let state = state(&job);
            let (crashes, failed) = (count(&job, "crashed"), count(&job, "failed"));
            if state.contains("failed") && crashes < 2 && failed == 0 {
                return Verdict::Broken(format!("job {job} is shown as failed: {crashes} worker has crashed under its task, and {failed} of its runs have ended failed"));
            }
            if !state.contains("complete") { open.push(job); }
        }
    }
    worker.crash_after(None);
    // Waits until the worker is back.
    if has_trouble { thread::sleep(Duration::from_millis(2_500)); }
    Verdict::Held(format!("{} of the last 3 jobs are complete", jobs.len() - open.len()))
}
