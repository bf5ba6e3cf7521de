//! Stand-in workers, after PROTOCOL.md, and the ledger of what they ran.
//!
//! The spec of a job gives the time of a task of each step in milliseconds,
//! separated by commas; a task whose time begins with `f` fails then.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, serve};
use crate::json::Json;
use crate::record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time from the start of a worker, when it takes calls, to its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(10);
const STOP_TIME: Duration = Duration::from_millis(30);
const HOLD_MAX_MS: i64 = 1_000;

/// Most ends in one list.
const MAX_LISTED: usize = 500;

/// A run in the ledger. Times are those of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: i64,
    pub worker: usize,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// When `observed` reached its end.
    pub observed_ms: Option<u64>,
    /// Whether the worker's lease lapsed between its end and that.
    pub lapsed_between: bool,
}

impl Run {
    /// Whether it ended `done` and that counts as taken note of.
    pub fn is_done(&self) -> bool {
        self.how == "done" && self.observed_ms.is_some() && !self.lapsed_between
    }
}

struct Active {
    ledger: usize,
    /// When it ends by itself or by a stop, and how.
    end: (Instant, &'static str),
}

struct Finished {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
    ended: Instant,
    ledger: usize,
}

struct Worker {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    rack: String,
    kind: &'static str,
    is_up: bool,
    born_ms: i64,
    started: Instant,
    sequence: i64,
    token: i64,
    lease_until: Option<Instant>,
    lapsed_at: Option<Instant>,
    /// By task and run.
    runs: BTreeMap<(String, i64), Active>,
    highest: HashMap<String, i64>,
    finished: Vec<Finished>,
    last_end: i64,
}

/// The time of day in milliseconds.
fn now_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(0)
}

impl Worker {
    /// A new life, which holds and knows nothing.
    fn new(
        id: String,
        address: SocketAddr,
        zone: &'static str,
        rack: String,
        kind: &'static str,
    ) -> Self {
        Self {
            id,
            address,
            zone,
            rack,
            kind,
            is_up: true,
            born_ms: now_ms(),
            started: Instant::now(),
            sequence: 0,
            token: 0,
            lease_until: None,
            lapsed_at: None,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            finished: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> i64 {
        i64::try_from(self.started.elapsed().as_millis()).unwrap_or(i64::MAX)
    }

    fn note_lapse(&mut self) {
        if let Some(until) = self.lease_until.filter(|until| *until <= Instant::now()) {
            self.lapsed_at = Some(until);
        }
    }

    fn extend(&mut self, until_ms: i64) {
        self.note_lapse();
        let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS).max(0);
        let until = self.started + Duration::from_millis(until_ms.unsigned_abs());
        self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
    }
}

struct State {
    workers: Vec<Worker>,
    ledger: Vec<Run>,
}

#[derive(Clone)]
pub struct Workers(Arc<Mutex<State>>);

/// A worker's place: its address, the agent's `control` address, zone and kind.
pub struct Place {
    pub app: SocketAddr,
    pub control: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
}

impl Workers {
    pub fn start(service: &'static str, places: &[Place]) -> Self {
        let unique = now_ms();
        let worker = |(index, place): (usize, &Place)| {
            let id = format!("i-{unique:x}{index:02}");
            Worker::new(id, place.app, place.zone, format!("r1-{}", index / 3), place.kind)
        };
        let workers = places.iter().enumerate().map(worker).collect();
        let workers = Self(Arc::new(Mutex::new(State { workers, ledger: Vec::new() })));
        for (index, place) in places.iter().enumerate() {
            let listener = TcpListener::bind(place.app).expect("the address of a worker is free");
            let served = workers.clone();
            serve(listener, move |request| served.handle(index, request));
            let (beating, control) = (workers.clone(), place.control);
            thread::spawn(move || beating.beat(index, service, control));
        }
        let ending = workers.clone();
        thread::spawn(move || {
            loop {
                drop(ending.lock());
                sleep(Duration::from_millis(5));
            }
        });
        workers
    }

    /// Crashes a worker: it answers nothing, and all that ran there is gone.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.is_up = false;
        worker.finished.clear();
        let runs = std::mem::take(&mut worker.runs);
        for (_, run) in runs {
            let entry = &mut state.ledger[run.ledger];
            entry.ended_ms = Some(record::now_ms());
            entry.how = "crashed";
        }
        record::write(&format!("trouble: worker {index} crashes"));
    }

    /// Starts a crashed worker again under the id that it had.
    pub fn start_again(&self, index: usize) {
        let mut state = self.lock();
        let old = &state.workers[index];
        let life = Worker::new(old.id.clone(), old.address, old.zone, old.rack.clone(), old.kind);
        state.workers[index] = life;
        record::write(&format!("worker {index} is up again, under the id that it had"));
    }

    /// The runs so far.
    pub fn ledger(&self) -> Vec<Run> {
        self.lock().ledger.clone()
    }

    /// Of the ends that the workers have listed, how many, and how many are not taken
    /// note of.
    pub fn listed_ends(&self) -> (usize, usize) {
        let state = self.lock();
        let noted = state.ledger.iter().filter(|run| run.observed_ms.is_some()).count();
        let listed = state.workers.iter().map(|worker| worker.finished.len().min(MAX_LISTED));
        let open: usize = listed.sum();
        (noted + open, open)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance();
        state
    }

    fn beat(&self, index: usize, service: &str, control: SocketAddr) {
        loop {
            let (life, path, body) = {
                let mut state = self.lock();
                let worker = &mut state.workers[index];
                if !worker.is_up {
                    drop(state);
                    sleep(FIRST_HEARTBEAT);
                    continue;
                }
                worker.sequence += 1;
                let capacity = Json::map(vec![
                    ("cpu", Json::Int(16_000)),
                    ("mem-mb", Json::Int(65_536)),
                    ("gpu", Json::Int(0)),
                ]);
                let body = Json::map(vec![
                    ("service", Json::text(service)),
                    ("address", Json::text(&worker.address.to_string())),
                    ("zone", Json::text(worker.zone)),
                    ("version", Json::text("v1")),
                    ("slots", Json::Int(8)),
                    ("state", Json::text("ready")),
                    ("cold-remaining-ms", Json::Int(0)),
                    ("capacity", capacity),
                    (
                        "labels",
                        Json::List(vec![Json::text(worker.kind), Json::text(&worker.rack)]),
                    ),
                    ("clock-ms", Json::Int(worker.clock_ms())),
                    ("sequence", Json::Int(worker.sequence)),
                    ("born", Json::Int(worker.born_ms)),
                ]);
                (worker.started, format!("/api/Instances.Heartbeat/{}", worker.id), body)
            };
            let limit = Duration::from_secs(1);
            let host = [("host", control.to_string())];
            let _ = http::send(control, "POST", &path, &host, &body.write(), limit);
            let sent = Instant::now();
            while sent.elapsed() < HEARTBEAT && self.lock().workers[index].started == life {
                sleep(FIRST_HEARTBEAT / 2);
            }
        }
    }

    fn handle(&self, index: usize, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, Json::map(vec![]));
        };
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        if !worker.is_up {
            return Answer::Close;
        }
        let clock = |worker: &Worker| ("clock-ms", Json::Int(worker.clock_ms()));
        if request
            .header("lagoonhill-expected-instance")
            .is_some_and(|expected| expected != worker.id)
        {
            return Answer::Reply(421, Json::map(vec![clock(worker)]));
        }
        let token = body.get("fencing-token").as_int().unwrap_or(0);
        if token < worker.token {
            return refusal(worker, "fence");
        }
        worker.token = token;
        match request.path.as_str() {
            "/api/run-start" => state.start(index, &body),
            "/api/run-stop" => state.stop(index, &body),
            "/api/hold" => {
                if let Some(until_ms) = body.get("until-ms").as_int() {
                    worker.extend(until_ms);
                }
                state.observe(index, body.get("observed").as_int().unwrap_or(0));
                let wait_ms = body.get("wait-ms").as_int().unwrap_or(0).clamp(0, 2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms.unsigned_abs());
                while state.workers[index].finished.is_empty() && Instant::now() < until {
                    drop(state);
                    sleep(Duration::from_millis(2));
                    state = self.lock();
                }
                Answer::Reply(200, state.lists(index))
            }
            _ => Answer::Reply(400, Json::map(vec![clock(worker)])),
        }
    }
}

fn refusal(worker: &Worker, reason: &str) -> Answer {
    let fields = vec![("clock-ms", Json::Int(worker.clock_ms())), ("reason", Json::text(reason))];
    Answer::Reply(409, Json::map(fields))
}

impl State {
    /// Ends the runs whose time or lease is over.
    fn advance(&mut self) {
        let now = Instant::now();
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let lapse = worker.lease_until.map(|until| (until, "lapsed"));
            let mut due: Vec<(Instant, &'static str, (String, i64))> = Vec::new();
            for (key, run) in &worker.runs {
                let end = lapse.map_or(run.end, |lapse| lapse.min(run.end));
                if end.0 <= now {
                    due.push((end.0, end.1, key.clone()));
                }
            }
            due.sort();
            for (at, how, key) in due {
                let Some(run) = worker.runs.remove(&key) else { continue };
                let (task, number) = key;
                worker.last_end += 1;
                record::write(&format!("worker {index}: {task} run {number} ended {how}"));
                let entry = &mut self.ledger[run.ledger];
                entry.ended_ms = Some(record::now_ms());
                entry.how = how;
                worker.finished.push(Finished {
                    number: worker.last_end,
                    task,
                    run: number,
                    how,
                    ended: at,
                    ledger: run.ledger,
                });
            }
        }
    }

    fn start(&mut self, index: usize, body: &Json) -> Answer {
        let worker = &mut self.workers[index];
        let clock_ms = worker.clock_ms();
        let accepted = Answer::Reply(200, Json::map(vec![("clock-ms", Json::Int(clock_ms))]));
        let (Some(task), Some(number)) = (body.get("task").as_str(), body.get("run").as_int()) else {
            return Answer::Reply(400, Json::map(vec![("clock-ms", Json::Int(clock_ms))]));
        };
        let until_ms = body.get("until-ms").as_int().unwrap_or(0);
        let is_late = until_ms <= clock_ms;
        worker.extend(until_ms);
        let key = (task.to_owned(), number);
        if worker.runs.contains_key(&key) {
            return accepted;
        }
        if worker.highest.get(task).is_some_and(|highest| number <= *highest) {
            return refusal(worker, "old");
        }
        if is_late {
            return refusal(worker, "late");
        }
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let spec = body.get("spec").as_str().unwrap_or_default();
        let time = spec.split(',').nth(step).unwrap_or_default();
        let how = if time.starts_with('f') { "failed" } else { "done" };
        let run_ms = time.trim_start_matches('f').parse().unwrap_or(200);
        record::write(&format!("worker {index}: {task} run {number} started, takes {run_ms} ms"));
        worker.highest.insert(task.to_owned(), number);
        let active = Active {
            ledger: self.ledger.len(),
            end: (Instant::now() + Duration::from_millis(run_ms), how),
        };
        worker.runs.insert(key, active);
        self.ledger.push(Run {
            task: task.to_owned(),
            run: number,
            worker: index,
            started_ms: record::now_ms(),
            ended_ms: None,
            how: "",
            observed_ms: None,
            lapsed_between: false,
        });
        accepted
    }

    fn stop(&mut self, index: usize, body: &Json) -> Answer {
        let worker = &mut self.workers[index];
        let clock_ms = Json::Int(worker.clock_ms());
        let (Some(task), Some(number)) = (body.get("task").as_str(), body.get("run").as_int()) else {
            return Answer::Reply(400, Json::map(vec![("clock-ms", clock_ms)]));
        };
        let highest = worker.highest.entry(task.to_owned()).or_default();
        *highest = number.max(*highest);
        if let Some(run) = worker.runs.get_mut(&(task.to_owned(), number)) {
            run.end = run.end.min((Instant::now() + STOP_TIME, "stopped"));
        }
        Answer::Reply(200, Json::map(vec![("clock-ms", clock_ms)]))
    }

    fn observe(&mut self, index: usize, observed: i64) {
        let worker = &mut self.workers[index];
        worker.note_lapse();
        let lapsed_at = worker.lapsed_at;
        for end in worker.finished.extract_if(.., |end| end.number <= observed) {
            let entry = &mut self.ledger[end.ledger];
            entry.observed_ms = Some(record::now_ms());
            entry.lapsed_between = lapsed_at.is_some_and(|at| at > end.ended);
            record::write(&format!(
                "worker {index}: end of {} run {} taken note of{}",
                end.task,
                end.run,
                if entry.lapsed_between { ", after the lease had lapsed" } else { "" }
            ));
        }
    }

    fn lists(&self, index: usize) -> Json {
        let worker = &self.workers[index];
        let running = worker.runs.keys().map(|(task, number)| {
            Json::List(vec![
                Json::text(task),
                Json::Int(*number),
                Json::text(""),
                Json::Int(100),
                Json::Int(0),
            ])
        });
        let finished = worker.finished.iter().take(MAX_LISTED).map(|end| {
            Json::List(vec![
                Json::Int(end.number),
                Json::text(&end.task),
                Json::Int(end.run),
                Json::text(end.how),
                Json::text(""),
            ])
        });
        Json::map(vec![
            ("clock-ms", Json::Int(worker.clock_ms())),
            ("born", Json::Int(worker.born_ms)),
            ("running-count", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
    }
}
