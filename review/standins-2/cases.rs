//! Plays one case of the review: `cases NAME FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case couldn't run.

mod json;
mod late_progress;
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
        "late-progress" => late_progress::play(&folder),
        _ => {
            eprintln!("no such case: {name}");
            2
        }
    };
    std::process::exit(code);
}
