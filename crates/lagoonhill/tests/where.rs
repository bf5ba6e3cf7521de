//! `lagoonhill where` on running entries: what it tells is what then happens, it sends
//! nothing, and its errors name what is unknown.

mod support;

use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;
use support::Fleet;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() $body)+
    };
}

const JOB: &str = r#"{"service": "dispatch", "team": "parents", "tasks": [1, 2, 3]}"#;

async fn run(arguments: &[&str], body: &str) -> Output {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let (process, file) = (std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(format!("lagoonhill-where-{process}-{file}.json"));
    std::fs::write(&path, body).expect("a file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lagoonhill"));
    command.arg("where").args(arguments).arg(&path);
    let run = move || {
        command
            .output()
            .expect("the binary was built for this test")
    };
    let output = tokio::task::spawn_blocking(run).await;
    std::fs::remove_file(&path).expect("the file can be removed");
    output.expect("the command ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

cases! {
    each_entry_tells_where_the_tasks_would_go => {
        let fleet = Fleet::start(2, 2).await;
        let entry = fleet.entries[0].http.to_string();
        let output = run(&["--entry", &entry], JOB).await;
        let (told, errors) = (text(&output.stdout), text(&output.stderr));
        assert!(output.status.success(), "{errors}");
        assert_eq!(told.matches("would admit").count(), 2, "{told}");
        assert_eq!(told.matches("  task ").count(), 6, "{told}");
        assert!(told.contains("worker-1") && told.contains("next best"), "{told}");
        let status = lagoonhill_operator::query_entry(&lagoonhill_http::HttpClient::new(), fleet.entries[0].http).await;
        assert_eq!(status.expect("the entry answers").jobs, 0);
    }

    json_is_one_line_an_entry => {
        let fleet = Fleet::start(2, 1).await;
        let entry = fleet.entries[0].http.to_string();
        let output = run(&["--entry", &entry, "--json"], JOB).await;
        let told = text(&output.stdout);
        let lines: Vec<Value> = told.lines().map(|line| serde_json::from_str(line).expect("a line is JSON")).collect();
        assert_eq!(lines.len(), 2, "{told}");
        for line in lines {
            assert!(line["refusal"].is_null(), "{line}");
            let placed = line["placed"].as_array().map_or(0, Vec::len) as u64;
            assert_eq!(placed + line["waiting_tasks"].as_u64().unwrap_or_default(), 3, "{line}");
        }
    }

    what_is_unknown_is_named => {
        let fleet = Fleet::start(1, 1).await;
        let entry = fleet.entries[0].http.to_string();
        let output = run(&["--entry", &entry], &JOB.replace("dispatch", "nowhere")).await;
        assert!(text(&output.stdout).contains("would refuse (unknown_service)"), "{}", text(&output.stdout));
        let output = run(&["--entry", &entry], &JOB.replace("parents", "strangers")).await;
        assert!(text(&output.stdout).contains("strangers"), "{}", text(&output.stdout));
        let queued = r#"{"input": 1, "steps": [{"count": 1}]}"#;
        let output = run(&["--entry", &entry, "--queue", "missing"], queued).await;
        assert!(!output.status.success());
        assert!(text(&output.stderr).contains("queue `missing` does not exist"), "{}", text(&output.stderr));
        let output = run(&["--entry", &entry], "{").await;
        assert!(!output.status.success());
        assert!(text(&output.stderr).contains("not a valid request"), "{}", text(&output.stderr));
        let output = run(&["--entry", &entry, "--best-effort"], JOB).await;
        assert!(text(&output.stderr).contains("--queue"), "{}", text(&output.stderr));
    }

    an_entry_that_does_not_answer_is_an_error => {
        let mut fleet = Fleet::start(2, 1).await;
        let entry = fleet.entries[0].http.to_string();
        let lost = fleet.entries[1].http.to_string();
        fleet.entries[1].kill();
        let output = run(&["--entry", &entry], JOB).await;
        assert!(!output.status.success());
        assert_eq!(text(&output.stdout).matches("would admit").count(), 1);
        assert!(text(&output.stderr).contains(&lost), "{}", text(&output.stderr));
        let output = run(&["--entry", &lost], JOB).await;
        assert!(!output.status.success());
        assert!(text(&output.stderr).contains(&lost), "{}", text(&output.stderr));
    }
}
