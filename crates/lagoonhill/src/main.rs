//! The `lagoonhill` command: parses the command line and calls the libraries.

mod analyze;
mod cli;
mod commands;
mod demo;
mod demo_queue;
mod settings;

use std::process::ExitCode;

use cli::Command;
use lagoonhill_daemon::run_command;
use tokio::runtime::Builder;

fn main() -> ExitCode {
    let command = cli::parse();
    run_command(&mut Builder::new_multi_thread(), run(command))
}

async fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Entry { common, options } => commands::entry(common, options).await,
        Command::Agent { common, options } => commands::agent(common, options).await,
        Command::Analyze(options) => analyze::analyze(&options),
        Command::Rules(command) => commands::rules(command).await,
        Command::Status { entry } => commands::status(&entry).await,
        Command::Explain { entry, log, job } => {
            commands::explain(entry.as_deref(), &log, &job).await
        }
        Command::Demo(options) => demo::run(options).await,
    }
}
