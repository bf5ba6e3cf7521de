//! A small deployment: the project's own entries and agents as processes, with stand-ins for
//! the store, the workers and the clients.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::targets::{Ledger, Spec, Worker};

pub const HOST: &str = "nony24.example";
pub const QUEUE: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];

/// The command of a role, as the deploy file has it.
fn command(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("the deploy file has the role");
    let line = section.lines().find_map(|line| line.strip_prefix("run = ")).expect("the role has a command");
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}

pub struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Process {
    fn start(&self) {
        let words = command(self.role);
        let log = File::options().create(true).append(true).open(&self.log).expect("the log can be written");
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("LAGOONHILL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        *self.child.lock().unwrap() = Some(child);
    }

}

impl Drop for Process {
    fn drop(&mut self) {
        end(&self.child);
    }
}

/// All processes that were started.
static STARTED: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

fn end(child: &Mutex<Option<Child>>) {
    if let Some(mut running) = child.lock().unwrap().take() {
        let _ = (running.kill(), running.wait());
    }
}

/// Ends all processes that were started.
pub fn end_all() {
    for child in STARTED.lock().unwrap().iter() {
        end(child);
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub ledger: Arc<Ledger>,
    pub entries: Vec<Process>,
    pub workers: Vec<Arc<Worker>>,
    _agents: Vec<Process>,
    net: u8,
    folder: PathBuf,
    _claim: TcpListener,
}

impl Fleet {
    /// Starts `entries` entries, and an agent and a worker of `cpu` thousandths for each of `workers`.
    pub fn start(record: Arc<Record>, entries: usize, workers: usize, cpu: i64) -> Self {
        let claimed = (130..250u8).find_map(|net| {
            TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), 8_170)).ok().map(|claim| (net, claim))
        });
        let (net, claim) = claimed.expect("a loopback network is free");
        let folder = std::env::temp_dir().join(format!("lagoonhill-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let store = Store::start(address(net, 9, 0, 8_169), Arc::clone(&record));
        store.put("op/config", &desired_state());
        let ledger = Ledger::new(Arc::clone(&record));
        let mut fleet = Self {
            record, store, ledger, entries: Vec::new(), workers: Vec::new(), _agents: Vec::new(), net, folder, _claim: claim,
        };
        for at in 0..workers {
            let agent = fleet.process("agent", at);
            agent.start();
            fleet._agents.push(agent);
        }
        for at in 0..entries {
            let entry = fleet.process("entry", at);
            entry.start();
            fleet.entries.push(entry);
        }
        for at in 0..workers {
            let spec = Spec {
                name: format!("i-{at}"),
                app: address(net, 2, at, 8_165),
                agent: address(net, 2, at, 8_166),
                zone: ZONES[at % ZONES.len()].to_owned(),
                service: SERVICE.to_owned(),
                labels: vec!["a".to_owned(), format!("r1-{}", at / 3)],
                cpu,
            };
            let worker = Worker::start(spec, Arc::clone(&fleet.ledger));
            fleet.workers.push(worker);
        }
        fleet
    }

    fn process(&self, role: &'static str, at: usize) -> Process {
        let name = format!("{role}-{at}");
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, at)).expect("the settings can be written");
        let child = Arc::default();
        STARTED.lock().unwrap().push(Arc::clone(&child));
        Process { settings, log: self.folder.join(format!("{name}.log")), role, child }
    }

    fn settings(&self, role: &str, at: usize) -> String {
        let (group, zone) = (if role == "entry" { 1 } else { 2 }, ZONES[at % ZONES.len()]);
        let on = |port| address(self.net, group, at, port);
        let (class, listen, app) = if role == "entry" {
            let listen = format!("frontend = \"{}\"\nreadiness = \"{}\"\n", on(8_161), on(8_167));
            ("edge", listen, String::new())
        } else {
            ("side", format!("control = \"{}\"\n", on(8_166)), format!("app = \"{}\"\nservice = \"{SERVICE}\"\n", on(8_165)))
        };
        let store = address(self.net, 9, 0, 8_169);
        format!(
            "node-name = \"{class}-{zone}-{at}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\nserves = [\"{class}\"]\n\
             ip = \"{}\"\nzone = \"{zone}\"\nregion = \"cymru\"\ninternal-ports = [7720,7735]\nseeds = []\n\
             bootstrap = true\ncounts-as-loss = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat-ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\ncontrol-mode = \"invoke\"\n{app}\
             [listen-addrs]\n{listen}\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregion-count = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n\
             grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nmax-extension-ms = 5000\n\
             recovery-s = 12\nhold-max-ms = 1000\nstop-ms = 50\ngang-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             early_ms = 250\nfinish_s = 14\nstatus_s = 120\nspread-factor = 1.5\ncheckpoint-s = 0.5\nrestore-ms = 600\n\
             notice-ms = 4500\nlease-ms = 3000\nthaw-ms = 300\npace-ms = 100\nharm-ms = 4000\nresend-ms = 1300\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\n\
             value-bytes = 1048576\nttl-min-ms = 1000\n",
            on(0).ip(),
        )
    }

    /// Sends a client's request to an entry, and records it with its answer.
    pub fn ask(&self, entry: usize, method: &str, job: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
        let (path, limit_ms) = (format!("{QUEUE}{job}"), limit.as_millis().to_string());
        let headers = [("host", HOST), ("content-type", "application/json"), ("lagoonhill-deadline-ms", limit_ms.as_str())];
        let sent_ms = self.record.now_ms();
        let answer = call(address(self.net, 1, entry, 8_161), method, &path, &headers, body, limit);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.line(format!("client  {method} {path} {body} to entry-{entry} at {sent_ms} ms: {shown}"));
        answer
    }

    /// Waits until every entry accepts and completes a job, so that all of them are in use.
    pub fn warm_up(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        (0..self.entries.len()).all(|entry| {
            let job = format!("{:016x}", 0xabc0 + entry);
            let body = job_body("50", &[(1, 1_000, 50)]);
            while !self.ask(entry, "POST", &job, &body, Duration::from_millis(1_500)).is_some_and(|(status, _)| status == 200) {
                if Instant::now() > until { return false; }
                thread::sleep(Duration::from_millis(300));
            }
            loop {
                let answer = self.ask(entry, "GET", &job, "", Duration::from_millis(1_500));
                if answer.is_some_and(|(_, body)| body.contains("complete")) { return true; }
                if Instant::now() > until { return false; }
                thread::sleep(Duration::from_millis(300));
            }
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self._agents.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

fn address(net: u8, group: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, net, group, at as u8 + 1), port))
}

fn desired_state() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-wrr6x73\",\"host\":\"{HOST}\",\"prefix\":\"{QUEUE}\",\"kind\":\"unsafe\",\
         \"timeout-ms\":1500,\"target-latency-ms\":60,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":2,\"slack-factor\":1.6}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/healthz\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces-capacity\":false,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// A durable job: its spec, and the count, cpu and estimate of each of its independent steps.
pub fn job_body(spec: &str, steps: &[(i64, i64, i64)]) -> String {
    let step = |(count, cpu, estimate_ms): &(i64, i64, i64)| {
        Json::map([
            ("count", Json::Int(*count)),
            ("cpu", Json::Int(*cpu)),
            ("mem-mb", Json::Int(64)),
            ("estimate-ms", Json::Int(*estimate_ms)),
        ])
    };
    Json::map([("spec", Json::text(spec)), ("steps", Json::List(steps.iter().map(step).collect()))]).write()
}
