//! Plays the cases of the review against the project's own processes.
//! Usage: standins CASE FOLDER. With TROUBLE=0 the disruption is left out.
//! Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod record;
mod store;
mod workers;

mod cancelled;
mod checks;
mod ends_taken;
mod ends_stuck;
mod foreign_beat;
mod late_writes;
mod orphaned;
mod paused;
mod quarantined;
mod reborn;
mod repeated;
mod revoked;
mod waiting;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// No case takes longer than this.
const LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule held, or why the case could not run.
type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    fleet::open_record(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::write(&format!("case {case}, trouble: {trouble}"));
    // The processes end with this one.
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record::write("the case could not run: it took too long");
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| play(case, trouble));
    let outcome = played.unwrap_or_else(|_| Err("a stand-in has failed".to_owned()));
    let (verdict, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(why) => (format!("the case could not run: {why}"), 2),
    };
    record::write(&verdict);
    println!("{case}: {verdict}");
    ExitCode::from(code)
}

fn play(case: &str, trouble: bool) -> Outcome {
    match case {
        "revoked" => revoked::play(trouble),
        "repeated" => repeated::play(trouble),
        "cancelled" => cancelled::play(trouble),
        "ends-stuck" => ends_stuck::play(trouble),
        "late-writes" => late_writes::play(trouble),
        "quarantined" => quarantined::play(trouble),
        "paused" => paused::play(trouble),
        "reborn" => reborn::play(trouble),
        "foreign-beat" => foreign_beat::play(trouble),
        "orphaned" => orphaned::play(trouble),
        "ends-taken" => ends_taken::play(trouble),
        "waiting" => waiting::play(trouble),
        other => Err(format!("there is no case {other}")),
    }
}
