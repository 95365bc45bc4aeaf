//! The sources of settings and how they are layered.

use crate::control::ControlSettings;
use crate::daemon::DaemonSettings;
use crate::errors::{FaultsSnafu, SettingsError, SyntaxSnafu, UnreadableSnafu};
use crate::fleet::{FleetSettings, GatewaySettings, ManagedMemberSettings, StoreSettings};
use crate::reader::{FLAGS_SOURCE, Reader};
use figment::Figment;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Metadata, Profile, Provider};
use serde::Deserialize;
use snafu::{ResultExt, ensure};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml_edit::Document;

/// Environment variable that names the settings file of a process that is told of none.
pub const SETTINGS_VARIABLE: &str = "LUGLINK_SETTINGS";

/// What a process is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Beside a caller.
    Daemon,
    /// A control member.
    Control,
    /// A gateway of a managed fleet.
    Gateway,
    /// A turn store of a managed fleet.
    Store,
    /// A control member of a managed fleet.
    Member,
    /// Whatever the file has a section for; for `check-config`.
    Any,
}

/// Address of a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberAddress {
    /// The member.
    pub id: u32,
    /// Its internal address: an IP number and a port.
    pub address: SocketAddr,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Filter of the logs.
    pub log_filter: String,
    /// Of a daemon.
    pub daemon: Option<DaemonSettings>,
    /// Of a control member.
    pub control: Option<ControlSettings>,
    /// Of every process of a managed fleet.
    pub fleet: Option<FleetSettings>,
    /// Of a gateway.
    pub gateway: Option<GatewaySettings>,
    /// Of a turn store.
    pub store: Option<StoreSettings>,
    /// Of a control member of a managed fleet.
    pub member: Option<ManagedMemberSettings>,
}

/// One value that a flag overrides: its key and the value as text.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Flags(Vec<(String, String)>);

impl Provider for Flags {
    fn metadata(&self) -> Metadata {
        Metadata::named(FLAGS_SOURCE)
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut figment = Figment::new();
        for (key, value) in &self.0 {
            // Numbers, booleans and lists are read as such, anything else as text.
            let value: Value = value.parse().unwrap_or_else(|_| Value::from(value.clone()));
            figment = figment.merge(Serialized::default(key, value));
        }
        figment.data()
    }
}

/// The settings file of a process that was told of `file` or of none.
#[must_use]
pub fn settings_file(file: Option<PathBuf>) -> Option<PathBuf> {
    file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
}

/// Reads settings for `role` from a file, the environment and flags, in this order of rising
/// precedence. `flags` are pairs of a key, as in `daemon.listen`, and its value.
///
/// # Errors
/// The file cannot be read or parsed, or values are missing, unknown or wrong; then every fault
/// is reported.
pub fn load(
    file: Option<&Path>,
    flags: Vec<(String, String)>,
    role: Role,
) -> Result<Settings, SettingsError> {
    let file = settings_file(file.map(Path::to_path_buf));
    let file = file.as_deref();
    let path = file.map(|path| path.display().to_string());
    let text = match file {
        Some(path) => std::fs::read_to_string(path).context(UnreadableSnafu {
            path: path.display().to_string(),
        })?,
        None => String::new(),
    };
    let document = Document::parse(text.clone()).context(SyntaxSnafu {
        path: path.clone().unwrap_or_default(),
    })?;
    let figment = Figment::new()
        .merge(Toml::string(&text))
        .merge(Env::prefixed("LUGLINK_").ignore(&["settings"]).split("__"))
        .merge(Flags(flags));
    let place = path.as_deref().map(|path| (path, text.as_str(), &document));
    let mut reader = Reader::new(&figment, place);
    let settings = read(&mut reader, &figment, role);
    reader.refuse_unknown();
    let faults = reader.into_faults();
    ensure!(faults.is_empty(), FaultsSnafu { faults });
    settings.map_or_else(|| FaultsSnafu { faults: Vec::new() }.fail(), Ok)
}

fn read(reader: &mut Reader<'_>, figment: &Figment, role: Role) -> Option<Settings> {
    let log_filter = reader.optional("log.filter", "info".to_owned());
    let is_there = |section: &str| figment.find_value(section).is_ok();
    let wanted = |section: &str, own: Role| role == own || (role == Role::Any && is_there(section));
    let managed = matches!(role, Role::Gateway | Role::Store | Role::Member);
    let sections = ["daemon", "control", "fleet"];
    if role == Role::Any && !sections.into_iter().any(is_there) {
        reader.check(
            "daemon",
            false,
            "a section [daemon], [control] or [fleet] must be there",
        );
    }
    let with_fleet = managed || (role == Role::Any && is_there("fleet"));
    let faults = reader.fault_count();
    let settings = Settings {
        log_filter,
        daemon: section(reader, wanted("daemon", Role::Daemon), DaemonSettings::read),
        control: section(
            reader,
            wanted("control", Role::Control),
            ControlSettings::read,
        ),
        fleet: section(reader, with_fleet, FleetSettings::read),
        gateway: section(
            reader,
            wanted("gateway", Role::Gateway),
            GatewaySettings::read,
        ),
        store: section(reader, wanted("store", Role::Store), StoreSettings::read),
        member: section(
            reader,
            wanted("member", Role::Member),
            ManagedMemberSettings::read,
        ),
    };
    (reader.fault_count() == faults).then_some(settings)
}

/// Reads a section that this process uses; of others only the keys are learned.
fn section<T>(
    reader: &mut Reader<'_>,
    is_used: bool,
    read: impl FnOnce(&mut Reader<'_>) -> Option<T>,
) -> Option<T> {
    if is_used {
        return read(reader);
    }
    reader.note_keys(read);
    None
}

/// Checks that a list of members names each once.
pub(crate) fn check_members(reader: &mut Reader<'_>, key: &str, members: &[MemberAddress]) {
    reader.check(key, !members.is_empty(), "must name at least one member");
    let mut ids: Vec<u32> = members.iter().map(|member| member.id).collect();
    ids.sort_unstable();
    ids.dedup();
    reader.check(
        key,
        ids.len() == members.len(),
        "must name each member once",
    );
}
