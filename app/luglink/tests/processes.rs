//! The real binaries under kills and planned stops.

mod support;

use luglink_types::Role;
use std::process::Command;
use support::{LUGLINK, Processes, text};

fn contents(history: &[serde_json::Value]) -> Vec<String> {
    let content = |message: &serde_json::Value| message["content"].as_str().map(str::to_owned);
    history.iter().filter_map(content).collect()
}

/// A daemon dies between two turns; the next call at another daemon has the whole history. Then
/// the leader dies, and then both at once.
#[actix_rt::test]
async fn a_program_survives_its_daemon_and_the_leader() {
    let mut fleet = Processes::start().await;
    let program = fleet.create_program(0).await;
    let first = fleet.call(0, &program, "turn-1", 6).await;
    fleet.daemons[0].kill();
    let second = fleet.call(1, &program, "turn-2", 6).await;
    assert_ne!(first["content"], second["content"]);
    let leader = fleet.leader_of(1).await;
    fleet.control[leader].kill();
    fleet.call(1, &program, "turn-3", 6).await;
    fleet.control[leader].start_again();
    fleet.daemons[0].start_again();
    fleet.wait_until_ready(0).await;
    let leader = fleet.leader_of(1).await;
    fleet.control[leader].kill();
    fleet.daemons[1].kill();
    fleet.call(0, &program, "turn-4", 6).await;
    let history = contents(&fleet.history(0, &program).await);
    assert_eq!(history.len(), 8, "{history:?}");
    for (turn, pair) in history.chunks(2).enumerate() {
        let key = format!("turn-{}", turn + 1);
        assert!(pair[0].contains(&format!("request={key} ")), "{pair:?}");
        assert!(pair[1].starts_with(&format!("re:{key} ")), "{pair:?}");
    }
    assert_last_prompt_has_every_turn(&fleet);
    // A key that was answered gives the same answer at any daemon, and no second run.
    let runs = fleet.observer.history().executions.len();
    let again = fleet.call(0, &program, "turn-1", 6).await;
    assert_eq!(again["content"], first["content"]);
    assert_eq!(fleet.observer.history().executions.len(), runs);
}

fn assert_last_prompt_has_every_turn(fleet: &Processes) {
    let seen = fleet.observer.history();
    let last = seen.executions.last().expect("calls were run");
    let answers = last.prompt.iter().filter(|it| it.role == Role::Assistant);
    let answers: Vec<&str> = answers.map(|it| it.content.as_str()).collect();
    assert_eq!(answers.len(), 3, "{answers:?}");
}

/// SIGTERM under load: every call that was accepted is answered, and the process ends with 0.
#[actix_rt::test]
async fn a_planned_stop_cuts_off_no_call() {
    let mut fleet = Processes::start().await;
    let mut programs = Vec::new();
    for _ in 0..8 {
        programs.push(fleet.create_program(0).await);
    }
    let keys: Vec<String> = (0..8).map(|index| format!("call-{index}")).collect();
    let calls = programs
        .iter()
        .zip(&keys)
        .map(|(program, key)| fleet.try_call(0, program, key, 150));
    let calls = futures_util::future::join_all(calls);
    let stop = async {
        while fleet.observer.history().executions.len() < programs.len() {
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        fleet.daemons[0].terminate();
    };
    let (answers, ()) = futures_util::future::join(calls, stop).await;
    for (status, answer) in answers {
        assert_eq!(status, 200, "{answer}");
    }
    let status = fleet.daemons[0].ended().await;
    assert_eq!(status.code(), Some(0));
    let leader = fleet.leader_of(1).await;
    fleet.control[leader].terminate();
    assert_eq!(fleet.control[leader].ended().await.code(), Some(0));
    fleet.call(1, &programs[0], "after", 4).await;
}

/// The operator client: apply, resend, stale, invalid, get, status.
#[actix_rt::test]
async fn operators_get_clear_answers() {
    let fleet = Processes::start().await;
    let file = fleet.folder().join("budget.toml");
    std::fs::write(
        &file,
        "[[budget]]\nname = \"small\"\nbudget = { tokens = 5 }\n",
    )
    .unwrap();
    let file = file.display().to_string();
    let apply = |change: &str, revision: &str| {
        fleet.ctl(&[
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
    let resent = apply("c1", "1");
    assert_eq!(text(&resent.stdout), "accepted as revision 2\n");
    let stale = apply("c2", "1");
    assert_eq!(stale.status.code(), Some(3));
    assert!(text(&stale.stderr).contains("the current revision is 2"));
    let got = text(&fleet.ctl(&["get", "budget", "small"]).stdout);
    assert!(got.contains("\"tokens\":5"), "{got}");
    let bad = fleet.folder().join("bad.toml");
    std::fs::write(&bad, "[[class]]\nname = \"c\"\nbudget = \"missing\"\n").unwrap();
    let bad = bad.display().to_string();
    let invalid = fleet.ctl(&["apply", "--file", &bad, "--change-id", "c3"]);
    assert_eq!(invalid.status.code(), Some(3));
    assert!(
        text(&invalid.stderr).contains("missing"),
        "{}",
        text(&invalid.stderr)
    );
    let drained = fleet.ctl_at(0, &["drain"]);
    assert!(drained.status.success(), "{}", text(&drained.stderr));
}

/// Adds the arguments of a cluster of one member.
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
fn a_data_folder_that_cannot_be_written_is_refused_clearly() {
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

/// A limit on the size of files stands in for a disk that is full.
#[test]
fn a_disk_that_takes_no_more_stops_the_member_with_a_clear_message() {
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
fn check_config_prints_every_fault_with_its_place() {
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
    let shown = format!("{}{}", text(&output.stdout), text(&output.stderr));
    for expected in [
        ":2: daemon.id",
        ":3: daemon.zone",
        ":5: daemon.members",
        ":6: daemon.colour",
    ] {
        assert!(shown.contains(expected), "`{expected}` is not in\n{shown}");
    }
}
