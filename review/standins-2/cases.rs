//! Plays one case of the review: `cases NAME FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case couldn't run.

mod attempts;
mod json;
mod long_job;
mod same_rack;
mod two_leases;
mod two_owners;
mod world;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let code = match name.as_str() {
        "attempts" => attempts::play(&folder),
        "long-job" => long_job::play(&folder),
        "same-rack" => same_rack::play(&folder),
        "two-owners" => two_owners::play(&folder),
        "two-leases" => two_leases::play(&folder),
        _ => {
            eprintln!("no such case: {name}");
            2
        }
    };
    std::process::exit(code);
}
