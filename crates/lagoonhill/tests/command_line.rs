//! The command line: all invalid settings are reported at once, and operators' commands work
//! on a running platform and fleet.

mod support;

use std::process::{Command, Output};

use lagoonhill_standin::PlatformStandin;
use support::Fleet;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lagoonhill"))
        .args(arguments)
        .output()
        .expect("the binary was built for this test")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

async fn run_blocking(arguments: Vec<String>) -> Output {
    let run = move || run(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run)
        .await
        .expect("the command ends")
}

fn arguments(words: &[&str]) -> Vec<String> {
    words.iter().map(ToString::to_string).collect()
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let output = run(&[
        "agent",
        "--http",
        "localhost:80",
        "--inbox",
        "x",
        "--drain-limit",
        "5",
        "--zone",
        "a b",
    ]);
    assert!(!output.status.success());
    let errors = errors(&output);
    for flag in [
        "--http",
        "--inbox",
        "--drain-limit",
        "--zone",
        "--worker",
        "--platform",
    ] {
        assert!(errors.contains(flag), "{flag} is missing in: {errors}");
    }
}

#[test]
fn settings_are_read_from_the_environment() {
    let output = Command::new(env!("CARGO_BIN_EXE_lagoonhill"))
        .args(["entry", "--print-settings"])
        .env("LAGOONHILL_PLATFORM", "127.0.0.1:2379")
        .env("LAGOONHILL_MAX_BODY", "1MiB")
        .output()
        .expect("the binary was built for this test");
    assert!(output.status.success());
    assert!(text(&output).contains("127.0.0.1:2379"));
    assert!(text(&output).contains("1048576"));
}

#[test]
fn an_unknown_flag_is_rejected() {
    let output = run(&["entry", "--plaform", "127.0.0.1:1"]);
    assert!(!output.status.success());
    assert!(errors(&output).contains("plaform"));
}

#[test]
fn help_lists_every_command() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    for command in ["entry", "agent", "rules", "status", "explain", "demo"] {
        assert!(
            text(&output).contains(command),
            "{command} is not in the help"
        );
    }
}

#[test]
fn errors_in_a_rule_file_are_reported_with_line_and_column() {
    let path = std::env::temp_dir().join(format!("lagoonhill-{}.rules", std::process::id()));
    std::fs::write(&path, "team a\nteam b rat=1/s  # x\n").expect("a file can be written");
    let output = run(&["rules", "check", path.to_str().expect("the path is text")]);
    let _ = std::fs::remove_file(&path);
    assert!(!output.status.success());
    let errors = errors(&output);
    assert!(errors.contains("line 1, column 7"), "{errors}");
    assert!(
        errors.contains("line 2, column 8") && errors.contains("`rate`"),
        "{errors}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_set_show_log_and_remove_rules() {
    let platform = PlatformStandin::start().await.expect("a port is free");
    let address = platform.address().to_string();
    let line = "team north rate=50/s  # Asha";
    let set = run_blocking(arguments(&["rules", "set", "--platform", &address, line])).await;
    assert!(text(&set).contains("revision 1"), "{}", errors(&set));
    let show = run_blocking(arguments(&["rules", "show", "--platform", &address])).await;
    assert!(text(&show).contains(line));
    let log = run_blocking(arguments(&["rules", "log", "--platform", &address])).await;
    assert!(text(&log).contains("Asha"));
    let remove_north = || arguments(&["rules", "remove", "--platform", &address, "team", "north"]);
    let remove = run_blocking(remove_north()).await;
    assert!(text(&remove).contains("revision 2"), "{}", errors(&remove));
    let again = run_blocking(remove_north()).await;
    assert!(errors(&again).contains("no line"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_where_rules_are_in_force_and_how_a_job_was_placed() {
    let fleet = Fleet::start(2, 2).await;
    let platform = fleet.platform.address().to_string();
    let entry = fleet.entries[0].http.to_string();
    fleet.set_rule("team chapels  # Huw").await;
    let status = arguments(&[
        "rules",
        "status",
        "--platform",
        &platform,
        "--entry",
        &entry,
    ]);
    let status = run_blocking(status).await;
    assert!(status.status.success(), "{}", errors(&status));
    assert_eq!(
        text(&status).matches("in force").count(),
        4,
        "{}",
        text(&status)
    );
    let answer = fleet.submit(0, &[], "why", 2, 5).await.expect("an answer");
    let job = answer.json()["job"].as_str().unwrap_or_default().to_owned();
    let explain = run_blocking(arguments(&["explain", "--entry", &entry, &job])).await;
    assert_eq!(
        text(&explain).matches("placed").count(),
        2,
        "{}",
        errors(&explain)
    );
    let status = run_blocking(arguments(&["status", "--entry", &entry])).await;
    assert!(text(&status).contains("worker-1"));
}
