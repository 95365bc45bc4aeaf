//! Tests of the templates, the precedence of the sources and the reported faults.

use luglink_settings::{Role, Settings, SettingsError, load};
use std::path::{Path, PathBuf};

fn template() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/luglink.toml")
}

fn write(folder: &tempfile::TempDir, text: &str) -> PathBuf {
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, text).unwrap();
    file
}

fn faults_of(text: &str) -> Vec<String> {
    faults_of_role(text, Role::Any)
}

fn faults_of_role(text: &str, role: Role) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let file = write(&folder, text);
    match load(Some(&file), Vec::new(), role) {
        Err(SettingsError::Faults { faults }) => faults
            .iter()
            .map(|fault| format!("{}: {}", fault.key, fault.problem))
            .collect(),
        other => panic!("expected faults, got {other:?}"),
    }
}

fn loaded(file: &Path) -> Settings {
    load(Some(file), Vec::new(), Role::Any).unwrap()
}

#[test]
fn the_template_is_valid_and_its_comments_are_the_defaults() {
    let as_shipped = loaded(&template());
    let text = std::fs::read_to_string(template()).unwrap();
    // A default is a comment `# key = value`. Other comments have no `=` after the first word.
    let uncommented: Vec<String> = text
        .lines()
        .map(|line| {
            let setting = line.strip_prefix("# ").filter(|rest| {
                let mut words = rest.split_whitespace();
                words.next();
                words.next() == Some("=")
            });
            setting.unwrap_or(line).to_owned()
        })
        .collect();
    let folder = tempfile::tempdir().unwrap();
    let mut all = loaded(&write(&folder, &uncommented.join("\n")));
    let daemon = all.daemon.as_mut().unwrap();
    assert!(
        daemon.platform.is_some(),
        "the template shows an example of the platform"
    );
    daemon.platform = None;
    assert_eq!(all, as_shipped);
}

/// Checks that the file contains every setting, possibly in a comment.
fn assert_contains_every_setting(file: &Path) {
    let text = std::fs::read_to_string(file).unwrap();
    let settings = format!("{:?}", loaded(file));
    let fields = settings
        .split([' ', '{', ','])
        .filter_map(|word| word.strip_suffix(':'));
    let sections = [
        "daemon",
        "control",
        "fleet",
        "gateway",
        "scheduling",
        "store",
        "member",
        "log_filter",
    ];
    for field in fields.filter(|field| !sections.contains(field)) {
        assert!(
            text.contains(&format!("{field} =")),
            "the file does not contain {field}"
        );
    }
}

#[test]
fn every_setting_is_in_the_template() {
    assert_contains_every_setting(&template());
}

#[test]
fn every_setting_of_a_managed_fleet_is_in_its_template() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/fleet.toml");
    let settings = loaded(&file);
    assert!(settings.fleet.is_some() && settings.gateway.is_some());
    assert!(settings.store.is_some() && settings.member.is_some());
    assert_contains_every_setting(&file);
}

#[test]
fn a_fleet_needs_three_internal_ports_and_the_section_of_its_role() {
    let fleet = "[fleet]\nname = \"a\"\nzone = \"z\"\nip = \"127.0.0.1\"\n\
                 ports = [7000, 7001]\nseeds = []\nlist_address = \"127.0.0.1:1\"\n";
    assert_eq!(
        faults_of_role(fleet, Role::Gateway),
        [
            "fleet.ports: must be the first and the last of at least three ports",
            "gateway.listen: is missing",
            "gateway.ready_listen: is missing",
        ]
    );
}

#[test]
fn all_faults_are_reported_together() {
    let faults = faults_of(
        "[daemon]\nid = 1\nzone = \"\"\nmembers = []\nsubset_size = 0\ntypo = 3\n\
         [control]\nid = \"x\"\n",
    );
    for expected in [
        "daemon.zone: must not be empty",
        "daemon.listen: is missing",
        "daemon.members: must name at least one member",
        "daemon.subset_size: must be above 0",
        "daemon.typo: is not a known setting",
        "control.data_folder: is missing",
    ] {
        assert!(
            faults.iter().any(|it| it == expected),
            "{expected}: {faults:#?}"
        );
    }
    assert!(faults.iter().any(|it| it.starts_with("control.id: ")));
}

#[test]
fn flags_override_the_file() {
    let flags = vec![
        ("daemon.zone".to_owned(), "isando-b".to_owned()),
        ("daemon.subset_size".to_owned(), "7".to_owned()),
    ];
    let settings = load(Some(&template()), flags, Role::Daemon).unwrap();
    let daemon = settings.daemon.unwrap();
    assert_eq!(daemon.zone, "isando-b");
    assert_eq!(daemon.subset_size, 7);
    assert_eq!(daemon.id, 1);
}

/// Processes of several roles may share a file and set the rest of their own section with flags.
/// A process requires only its own section to be complete.
#[test]
fn an_unused_section_may_be_incomplete_but_may_not_contain_unknown_keys() {
    let folder = tempfile::tempdir().unwrap();
    let shared = std::fs::read_to_string(template())
        .unwrap()
        .replace("data_folder = \"/var/lib/luglink\"", "");
    let file = write(&folder, &shared);
    assert!(load(Some(&file), Vec::new(), Role::Daemon).is_ok());
    assert!(load(Some(&file), Vec::new(), Role::Control).is_err());
    let file = write(&folder, &format!("{shared}\nmisspelt = 1\n"));
    assert!(load(Some(&file), Vec::new(), Role::Daemon).is_err());
}

#[test]
fn errors_of_unreadable_and_malformed_files_name_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = write(&folder, "[daemon\n");
    let error = load(Some(&file), Vec::new(), Role::Any).unwrap_err();
    assert!(error.to_string().contains("settings.toml"), "{error}");
    let missing = folder.path().join("missing.toml");
    let error = load(Some(&missing), Vec::new(), Role::Any).unwrap_err();
    assert!(error.to_string().contains("missing.toml"), "{error}");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..proptest::prelude::ProptestConfig::default()
    })]

    /// Loading any file returns settings or an error and does not panic.
    #[test]
    fn loading_any_file_does_not_panic(text in "(\\[(daemon|control|log)\\]\n)?([a-z_.]{1,9} = ([0-9]{1,20}|\"[a-z]*\"|\\[\\]|true)\n){0,6}") {
        let folder = tempfile::tempdir().unwrap();
        let file = write(&folder, &text);
        for role in [Role::Daemon, Role::Control, Role::Any] {
            let _ = load(Some(&file), Vec::new(), role);
        }
    }
}

#[test]
fn feature_modes_are_read_and_unknown_conditions_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/fleet.toml");
    let text = std::fs::read_to_string(template).unwrap();
    let text = text.replace(
        "# conditions = []",
        "conditions = [\"tenants\", \"pressure\"]",
    );
    let text = text.replace("# [gateway.scheduling]", "[gateway.scheduling]");
    let text = text.replace("# moves = \"auto\"", "moves = \"off\"");
    let settings = loaded(&write(&folder, &text));
    assert!(settings.fleet.unwrap().expects_overload());
    let scheduling = settings.gateway.unwrap().scheduling;
    assert_eq!(scheduling.moves, luglink_types::FeatureMode::Off);
    assert_eq!(scheduling.load_view, luglink_types::FeatureMode::Auto);
}
