//! The `lagoonhill` command: a thin shell over the libraries.

mod cli;
mod commands;
mod demo;
mod settings;

use std::process::ExitCode;

use cli::Command;

fn main() -> ExitCode {
    let command = cli::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("could not start the runtime: {error}; raise the limit on processes");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(run(command));
    // Blocked helper threads must not hold up the exit.
    runtime.shutdown_background();
    lagoonhill_daemon::logging::flush();
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Entry { common, options } => commands::entry(common, options).await,
        Command::Agent { common, options } => commands::agent(common, options).await,
        Command::Rules(command) => commands::rules(command).await,
        Command::Status { entry } => commands::status(&entry).await,
        Command::Explain { entry, job } => commands::explain(&entry, &job).await,
        Command::Demo(options) => demo::run(options).await,
    }
}
