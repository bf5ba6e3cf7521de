//! Stand-ins for the workers: each answers its agent's calls and sends heartbeats to it.
//!
//! A task runs for as long as its job's `spec` says: a list of milliseconds, one for each step.
//! A worker that starts a task of a job whose `spec` is `deadly` crashes under it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, call, serve};
use crate::json::Json;
use crate::record::Record;

const MAX_LEASE_MS: u64 = 1_000;
const STOP_TIME: Duration = Duration::from_millis(30);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(200);
const MAX_WAIT_MS: u64 = 2_000;
const TICK: Duration = Duration::from_millis(2);

/// Spec of a job whose task crashes each worker that starts it.
pub const DEADLY: &str = "deadly";

/// Time from the start of a deadly task to the crash, and for which the worker is down.
const CRASH_DELAY: Duration = Duration::from_millis(50);
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Time from the end of a run to a crash of its worker.
const CRASH_AFTER_END: Duration = Duration::from_millis(4);

/// What the workers saw of the tasks.
#[derive(Clone, Debug)]
pub enum Event {
    Start { task: String, run: i64, worker: String },
    End { task: String, run: i64, worker: String, how: &'static str },
    /// `observed` has reached the end of a run, and the worker's lease has not lapsed since.
    Noted { task: String, run: i64, how: &'static str },
}

pub struct Ledger {
    record: Arc<Record>,
    events: Mutex<Vec<Event>>,
}

impl Ledger {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self { record, events: Mutex::default() })
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    fn add(&self, event: Event) {
        match &event {
            Event::Start { task, run, worker, .. } => self.record.line(format!("{worker}  starts {task}, run {run}")),
            Event::End { task, run, worker, how, .. } => self.record.line(format!("{worker}  end of {task}, run {run}: {how}")),
            Event::Noted { task, run, how, .. } => self.record.line(format!("        end of {task}, run {run} ({how}) is taken note of")),
        }
        self.events.lock().unwrap().push(event);
    }
}

pub struct Spec {
    pub name: String,
    pub app: SocketAddr,
    pub agent: SocketAddr,
    pub zone: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: i64,
}

struct Run {
    number: i64,
    ends: Instant,
    how: &'static str,
}

struct Finished {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
    at: Instant,
}

struct State {
    /// Until when the worker is down after a crash. It sends nothing meanwhile.
    down_until: Option<Instant>,
    /// When it crashes.
    crashes: Option<Instant>,
    /// Whether it refuses connections after that crash, or is silent.
    refuses: bool,
    born_ms: i64,
    started: Instant,
    token: i64,
    sequence: i64,
    lease_until: Option<Instant>,
    lapsed: Option<Instant>,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, i64>,
    finished: Vec<Finished>,
    ends: i64,
}

impl State {
    /// The state of a life that begins.
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            down_until: None,
            crashes: None,
            refuses: false,
            born_ms: born.as_millis() as i64,
            started: Instant::now(),
            token: 0,
            sequence: 0,
            lease_until: None,
            lapsed: None,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            finished: Vec::new(),
            ends: 0,
        }
    }
}

pub struct Worker {
    spec: Spec,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    is_cut_off: Arc<AtomicBool>,
    /// A task; the worker crashes [`CRASH_AFTER_END`] after a run of it has ended here.
    crashes_after: Mutex<Option<String>>,
}

impl Worker {
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Lets the worker crash right after a run of a task has ended here.
    pub fn crash_after(&self, task: Option<&str>) {
        *self.crashes_after.lock().unwrap() = task.map(str::to_owned);
    }

    /// Ends the worker's process; a new life begins at its address after [`DOWN_TIME`]. Connections
    /// are refused meanwhile.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        self.end_life(&mut state);
        self.is_cut_off.store(true, Ordering::Relaxed);
    }

    /// Cuts the worker off from all machines, with connections refused; it runs on. Or heals the cut.
    pub fn cut_off(&self, is_cut_off: bool) {
        self.ledger.record.line(format!("{}  {}", self.spec.name, if is_cut_off { "is cut off and runs on" } else { "is in reach again" }));
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    pub fn start(spec: Spec, ledger: Arc<Ledger>) -> Arc<Self> {
        let state = Mutex::new(State::new());
        let worker = Arc::new(Self { spec, ledger, state, is_cut_off: Arc::default(), crashes_after: Mutex::default() });
        let served = Arc::clone(&worker);
        serve(worker.spec.app, Arc::clone(&worker.is_cut_off), move |request| served.answer(&request));
        let ticking = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(TICK);
            ticking.advance(&mut ticking.state.lock().unwrap());
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || loop {
            let is_acknowledged = beating.is_in_reach() && beating.send_heartbeat();
            thread::sleep(if is_acknowledged { HEARTBEAT_INTERVAL } else { HEARTBEAT_RETRY });
        });
        worker
    }

    fn is_in_reach(&self) -> bool {
        !self.is_cut_off.load(Ordering::Relaxed) && !self.is_down()
    }

    fn is_down(&self) -> bool {
        self.state.lock().unwrap().down_until.is_some()
    }

    fn send_heartbeat(&self) -> bool {
        let body = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            Json::map([
                ("service", Json::text(self.spec.service.as_str())),
                ("address", Json::text(self.spec.app.to_string())),
                ("zone", Json::text(self.spec.zone.as_str())),
                ("version", Json::text("v1")),
                ("slots", Json::Int(8)),
                ("state", Json::text("ready")),
                ("cold-remaining-ms", Json::Int(0)),
                ("capacity", Json::map([("cpu", Json::Int(self.spec.cpu)), ("mem-mb", Json::Int(65_536)), ("gpu", Json::Int(0))])),
                ("labels", Json::List(self.spec.labels.iter().map(|label| Json::text(label.as_str())).collect())),
                ("clock-ms", Json::Int(clock_ms(&state))),
                ("born", Json::Int(state.born_ms)),
                ("sequence", Json::Int(state.sequence)),
            ])
        };
        let path = format!("/api/Instances.Heartbeat/{}", self.spec.name);
        let headers = [("content-type", "application/json")];
        let answer = call(self.spec.agent, "POST", &path, &headers, &body.write(), HEARTBEAT_TIMEOUT);
        answer.is_some_and(|(status, _)| status / 100 == 2)
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.is_down() { return Answer::Silence; }
        if request.method == "GET" { return Answer::Reply(200, "{}".to_owned()); }
        let Some(body) = Json::parse(&request.body) else { return Answer::Reply(400, "{}".to_owned()) };
        if request.path != "/api/hold" {
            let (status, body) = self.handle(&mut self.state.lock().unwrap(), request, &body);
            return Answer::Reply(status, body.write());
        }
        let wait_ms = body.get("wait-ms").as_i64().unwrap_or(0).max(0) as u64;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let born_ms = self.state.lock().unwrap().born_ms;
        let (status, mut answer) = self.handle(&mut self.state.lock().unwrap(), request, &body);
        while status == 200 && Instant::now() < until && answer.get("finished").items().is_empty() {
            thread::sleep(TICK);
            answer = lists(&self.state.lock().unwrap());
        }
        let state = self.state.lock().unwrap();
        if state.down_until.is_some() || state.born_ms != born_ms { return Answer::Silence; }
        drop(state);
        Answer::Reply(status, answer.write())
    }

    fn handle(&self, state: &mut State, request: &Request, body: &Json) -> (u16, Json) {
        self.advance(state);
        let clock = |state: &State| Json::map([("clock-ms", Json::Int(clock_ms(state))), ("born", Json::Int(state.born_ms))]);
        let refused = |state: &State, reason: &str| {
            (409, Json::map([("clock-ms", Json::Int(clock_ms(state))), ("reason", Json::text(reason))]))
        };
        if request.header("lagoonhill-expected-instance").is_some_and(|name| name != self.spec.name) {
            return (421, clock(state));
        }
        let token = body.get("fencing-token").as_i64().unwrap_or(0);
        if token < state.token { return refused(state, "fence"); }
        state.token = token;
        let until_ms = body.get("until-ms").as_i64();
        let (task, run) = (body.get("task").as_str().to_owned(), body.get("run").as_i64().unwrap_or(0));
        match request.path.as_str() {
            "/api/run-start" => {
                let until_ms = until_ms.unwrap_or(0);
                let is_late = until_ms <= clock_ms(state);
                extend_lease(state, until_ms);
                if state.runs.get(&task).is_some_and(|known| known.number == run) { return (200, clock(state)); }
                if state.highest.get(&task).is_some_and(|highest| run <= *highest) { return refused(state, "old"); }
                if is_late { return refused(state, "late"); }
                state.highest.insert(task.clone(), run);
                let spec = body.get("spec").as_str();
                let step: usize = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
                let run_ms = if spec == DEADLY { 10_000 } else { 100 };
                let run_ms = spec.split(',').nth(step).and_then(|text| text.parse().ok()).unwrap_or(run_ms);
                let ends = Instant::now() + Duration::from_millis(run_ms);
                if spec == DEADLY { state.crashes = Some(Instant::now() + CRASH_DELAY); }
                state.runs.insert(task.clone(), Run { number: run, ends, how: "done" });
                let worker = self.spec.name.clone();
                self.ledger.add(Event::Start { task, run, worker });
                (200, clock(state))
            }
            "/api/run-stop" => {
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(known) = state.runs.get_mut(&task).filter(|known| known.number <= run) {
                    let ends = Instant::now() + STOP_TIME;
                    if ends < known.ends { (known.ends, known.how) = (ends, "stopped"); }
                }
                (200, clock(state))
            }
            "/api/hold" => {
                if let Some(until_ms) = until_ms { extend_lease(state, until_ms); }
                let observed = body.get("observed").as_i64().unwrap_or(0);
                let lapsed = state.lapsed;
                let (noted, rest) = std::mem::take(&mut state.finished).into_iter().partition(|end| end.number <= observed);
                state.finished = rest;
                for end in noted as Vec<Finished> {
                    if lapsed.is_none_or(|lapsed| lapsed <= end.at) {
                        self.ledger.add(Event::Noted { task: end.task, run: end.run, how: end.how });
                    }
                }
                (200, lists(state))
            }
            _ => (400, clock(state)),
        }
    }

    fn end_life(&self, state: &mut State) {
        state.crashes = None;
        state.down_until = Some(Instant::now() + DOWN_TIME);
        self.ledger.record.line(format!("{}  crashes", self.spec.name));
        for (task, run) in std::mem::take(&mut state.runs) {
            let worker = self.spec.name.clone();
            self.ledger.add(Event::End { task, run: run.number, worker, how: "crashed" });
        }
    }

    /// Ends the runs that are due, and all of them if the lease has lapsed.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if state.down_until.is_some_and(|until| until <= now) {
            *state = State::new();
            self.is_cut_off.store(false, Ordering::Relaxed);
            self.ledger.record.line(format!("{}  is back in a new life", self.spec.name));
        }
        if state.crashes.is_some_and(|at| at <= now) {
            self.end_life(state);
            if state.refuses { self.is_cut_off.store(true, Ordering::Relaxed); }
        }
        let lapse = state.lease_until.filter(|until| *until <= now);
        let mut due: Vec<(Instant, String, &'static str)> = state.runs.iter()
            .filter_map(|(task, run)| match lapse {
                Some(lapse) if lapse < run.ends => Some((lapse, task.clone(), "lapsed")),
                _ => (run.ends <= now).then(|| (run.ends, task.clone(), run.how)),
            })
            .collect();
        due.sort();
        for (at, task, how) in due {
            let Some(run) = state.runs.remove(&task) else { continue };
            state.ends += 1;
            let (number, worker) = (state.ends, self.spec.name.clone());
            state.finished.push(Finished { number, task: task.clone(), run: run.number, how, at });
            if how == "done" && self.crashes_after.lock().unwrap().take_if(|awaited| *awaited == task).is_some() {
                (state.crashes, state.refuses) = (Some(now + CRASH_AFTER_END), true);
            }
            self.ledger.add(Event::End { task, run: run.number, worker, how });
        }
        if lapse.is_some() { (state.lapsed, state.lease_until) = (lapse, None); }
    }
}

fn clock_ms(state: &State) -> i64 {
    state.started.elapsed().as_millis() as i64
}

fn extend_lease(state: &mut State, until_ms: i64) {
    let until_ms = until_ms.min(clock_ms(state) + MAX_LEASE_MS as i64).max(0);
    let until = state.started + Duration::from_millis(until_ms as u64);
    if until > Instant::now() {
        state.lease_until = Some(state.lease_until.map_or(until, |known| known.max(until)));
    }
}

fn lists(state: &State) -> Json {
    let running = state.runs.iter().map(|(task, run)| {
        Json::List(vec![Json::text(task.as_str()), Json::Int(run.number), Json::text(""), Json::Int(100), Json::Int(0)])
    });
    let finished = state.finished.iter().take(500).map(|end| {
        Json::List(vec![Json::Int(end.number), Json::text(end.task.as_str()), Json::Int(end.run), Json::text(end.how), Json::text("")])
    });
    Json::map([
        ("clock-ms", Json::Int(clock_ms(state))),
        ("born", Json::Int(state.born_ms)),
        ("running-count", Json::List(running.collect())),
        ("finished", Json::List(finished.collect())),
    ])
}
