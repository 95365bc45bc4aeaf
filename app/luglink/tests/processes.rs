//! Tests of a cluster of `luglink` processes: crashes, planned stops, the operator client and faulty
//! settings.

mod support;

use luglink_types::Role;
use std::process::Command;
use support::{LUGLINK, TestCluster, text};

fn contents(history: &[serde_json::Value]) -> Vec<String> {
    let content = |message: &serde_json::Value| message["content"].as_str().map(str::to_owned);
    history.iter().filter_map(content).collect()
}

/// A daemon is killed between two turns, then the leader, then both at once. The next call at a
/// running daemon must still have the whole history.
#[actix_rt::test]
async fn a_program_keeps_its_history_when_daemon_and_leader_are_killed() {
    let mut cluster = TestCluster::start().await;
    let program = cluster.create_program(0).await;
    let first = cluster.call(0, &program, "turn-1", 6).await;
    cluster.daemons[0].kill();
    let second = cluster.call(1, &program, "turn-2", 6).await;
    assert_ne!(first["content"], second["content"]);
    let leader = cluster.leader_of(1).await;
    cluster.control[leader].kill();
    cluster.call(1, &program, "turn-3", 6).await;
    cluster.control[leader].restart();
    cluster.daemons[0].restart();
    cluster.wait_until_ready(0).await;
    let leader = cluster.leader_of(1).await;
    cluster.control[leader].kill();
    cluster.daemons[1].kill();
    cluster.call(0, &program, "turn-4", 6).await;
    let history = contents(&cluster.history(0, &program).await);
    assert_eq!(history.len(), 8, "{history:?}");
    for (turn, pair) in history.chunks(2).enumerate() {
        let key = format!("turn-{}", turn + 1);
        assert!(pair[0].contains(&format!("request={key} ")), "{pair:?}");
        assert!(pair[1].starts_with(&format!("re:{key} ")), "{pair:?}");
    }
    assert_last_prompt_has_every_turn(&cluster);
    // A repeated idempotency key returns the first response at any daemon without a second run.
    let execution_count = cluster.observer.history().executions.len();
    let repeated = cluster.call(0, &program, "turn-1", 6).await;
    assert_eq!(repeated["content"], first["content"]);
    assert_eq!(cluster.observer.history().executions.len(), execution_count);
}

fn assert_last_prompt_has_every_turn(cluster: &TestCluster) {
    let observed = cluster.observer.history();
    let last = observed.executions.last().expect("calls were run");
    let answers = last
        .prompt
        .iter()
        .filter(|message| message.role == Role::Assistant);
    let answers: Vec<&str> = answers.map(|message| message.content.as_str()).collect();
    assert_eq!(answers.len(), 3, "{answers:?}");
}

/// After SIGTERM with calls in flight, every accepted call gets its response and the process exits
/// with code 0.
#[actix_rt::test]
async fn a_planned_stop_completes_all_calls_in_flight() {
    let mut cluster = TestCluster::start().await;
    let mut programs = Vec::new();
    for _ in 0..8 {
        programs.push(cluster.create_program(0).await);
    }
    let keys: Vec<String> = (0..8).map(|index| format!("call-{index}")).collect();
    let calls = programs
        .iter()
        .zip(&keys)
        .map(|(program, key)| cluster.try_call(0, program, key, 150));
    let calls = futures_util::future::join_all(calls);
    let stop = async {
        while cluster.observer.history().executions.len() < programs.len() {
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        cluster.daemons[0].terminate();
    };
    let (answers, ()) = futures_util::future::join(calls, stop).await;
    for (status, answer) in answers {
        assert_eq!(status, 200, "{answer}");
    }
    let status = cluster.daemons[0].wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    let leader = cluster.leader_of(1).await;
    cluster.control[leader].terminate();
    assert_eq!(
        cluster.control[leader].wait_for_exit().await.code(),
        Some(0)
    );
    cluster.call(1, &programs[0], "after", 4).await;
}

/// Operator client: applying a file, a retry with the same change id, a stale revision, an invalid
/// change, reading a resource, and drain.
#[actix_rt::test]
async fn ctl_reports_the_outcome_of_each_command() {
    let cluster = TestCluster::start().await;
    let file = cluster.folder().join("budget.toml");
    std::fs::write(
        &file,
        "[[budget]]\nname = \"small\"\nbudget = { tokens = 5 }\n",
    )
    .unwrap();
    let file = file.display().to_string();
    let apply = |change: &str, revision: &str| {
        cluster.ctl(&[
            "apply",
            "--file",
            &file,
            "--change-id",
            change,
            "--expected-revision",
            revision,
        ])
    };
    let first = apply("c1", "1");
    assert_eq!(text(&first.stdout), "accepted as revision 2\n");
    let retried = apply("c1", "1");
    assert_eq!(text(&retried.stdout), "accepted as revision 2\n");
    let stale = apply("c2", "1");
    assert_eq!(stale.status.code(), Some(3));
    assert!(text(&stale.stderr).contains("the current revision is 2"));
    let budgets = text(&cluster.ctl(&["get", "budget", "small"]).stdout);
    assert!(budgets.contains("\"tokens\":5"), "{budgets}");
    let invalid_file = cluster.folder().join("bad.toml");
    std::fs::write(
        &invalid_file,
        "[[class]]\nname = \"c\"\nbudget = \"missing\"\n",
    )
    .unwrap();
    let invalid_file = invalid_file.display().to_string();
    let invalid = cluster.ctl(&["apply", "--file", &invalid_file, "--change-id", "c3"]);
    assert_eq!(invalid.status.code(), Some(3));
    assert!(
        text(&invalid.stderr).contains("missing"),
        "{}",
        text(&invalid.stderr)
    );
    let drained = cluster.ctl_at(0, &["drain"]);
    assert!(drained.status.success(), "{}", text(&drained.stderr));
}

/// Adds the arguments of a control member that is its own cluster.
fn control_arguments<'a>(command: &'a mut Command, folder: &str) -> &'a mut Command {
    let address = || luglink_lab::fleet::reserve_address().unwrap().to_string();
    let listen = address();
    command
        .arg("control")
        .args(["--set", "control.id=1"])
        .args(["--set", &format!("control.listen={listen}")])
        .args(["--set", &format!("control.admin_listen={}", address())])
        .args(["--set", &format!("control.data_folder={folder}")])
        .args([
            "--set",
            &format!("control.members=[{{id=1,address=\"{listen}\"}}]"),
        ])
        .args(["--set", "control.bootstrap=true"])
}

#[test]
fn a_data_folder_that_cannot_be_created_is_reported() {
    let mut command = Command::new(LUGLINK);
    let output = control_arguments(&mut command, "/proc/luglink-data")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(4));
    let message = text(&output.stderr);
    assert!(
        message.contains("cannot create the data folder"),
        "{message}"
    );
    assert!(message.contains("/proc/luglink-data"), "{message}");
}

/// Emulates a full disk by a file size limit of 0.
#[test]
fn a_failed_write_stops_the_member_and_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let mut shell = Command::new("sh");
    shell.args([
        "-c",
        "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"",
        LUGLINK,
    ]);
    let output = control_arguments(&mut shell, &folder.path().display().to_string())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(4));
    let message = text(&output.stderr);
    assert!(message.contains("cannot write"), "{message}");
    assert!(message.contains("File too large"), "{message}");
}

#[test]
fn check_config_prints_every_error_with_its_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    let settings = "[daemon]\nid = \"x\"\nzone = \"\"\nlisten = \"127.0.0.1:1\"\nmembers = []\n\
                    colour = \"red\"\n";
    std::fs::write(&file, settings).unwrap();
    let output = Command::new(LUGLINK)
        .arg("check-config")
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let messages = format!("{}{}", text(&output.stdout), text(&output.stderr));
    for expected in [
        ":2: daemon.id",
        ":3: daemon.zone",
        ":5: daemon.members",
        ":6: daemon.colour",
    ] {
        assert!(
            messages.contains(expected),
            "`{expected}` is not in\n{messages}"
        );
    }
}
