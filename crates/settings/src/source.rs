//! Sources of settings and their precedence.

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

/// Environment variable with the path of the settings file, used if no option gives one.
pub const SETTINGS_VARIABLE: &str = "LUGLINK_SETTINGS";

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Daemon that runs next to a caller.
    Daemon,
    /// Control member.
    Control,
    /// Gateway of a managed fleet.
    Gateway,
    /// Turn store of a managed fleet.
    Store,
    /// Control member of a managed fleet.
    Member,
    /// All roles that the file has sections for, for `check-config`.
    Any,
}

/// Address of a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberAddress {
    /// Identifier of the member.
    pub id: u32,
    /// Internal address of the member: an IP address and a port.
    pub address: SocketAddr,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Log filter.
    pub log_filter: String,
    /// Settings of a daemon.
    pub daemon: Option<DaemonSettings>,
    /// Settings of a control member.
    pub control: Option<ControlSettings>,
    /// Settings that all processes of a managed fleet share.
    pub fleet: Option<FleetSettings>,
    /// Settings of a gateway.
    pub gateway: Option<GatewaySettings>,
    /// Settings of a turn store.
    pub store: Option<StoreSettings>,
    /// Settings of a control member of a managed fleet.
    pub member: Option<ManagedMemberSettings>,
}

/// Settings from flags: keys and values as text.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Flags(Vec<(String, String)>);

impl Provider for Flags {
    fn metadata(&self) -> Metadata {
        Metadata::named(FLAGS_SOURCE)
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut figment = Figment::new();
        for (key, value) in &self.0 {
            // Numbers, booleans and lists are parsed; any other value is text.
            let value: Value = value.parse().unwrap_or_else(|_| Value::from(value.clone()));
            figment = figment.merge(Serialized::default(key, value));
        }
        figment.data()
    }
}

/// Returns `file`, or else the path in [`SETTINGS_VARIABLE`], if any.
#[must_use]
pub fn settings_file(file: Option<PathBuf>) -> Option<PathBuf> {
    file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
}

/// Loads the settings for `role` from a file, the environment and flags, in ascending order of
/// precedence. `flags` are pairs of a key, such as `daemon.listen`, and a value.
///
/// # Errors
/// Returns an error if the file cannot be read or parsed, or if settings are missing, unknown or
/// invalid. In the latter case, the error contains all faults.
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
    let file_parts = path.as_deref().map(|path| (path, text.as_str(), &document));
    let mut reader = Reader::new(&figment, file_parts);
    let settings = read(&mut reader, &figment, role);
    reader.report_unknown_keys();
    let faults = reader.into_faults();
    ensure!(faults.is_empty(), FaultsSnafu { faults });
    settings.map_or_else(|| FaultsSnafu { faults: Vec::new() }.fail(), Ok)
}

fn read(reader: &mut Reader<'_>, figment: &Figment, role: Role) -> Option<Settings> {
    let log_filter = reader.optional("log.filter", "info".to_owned());
    let has_section = |section: &str| figment.find_value(section).is_ok();
    let is_used = |section: &str, own_role: Role| {
        role == own_role || (role == Role::Any && has_section(section))
    };
    let is_managed = matches!(role, Role::Gateway | Role::Store | Role::Member);
    let sections = ["daemon", "control", "fleet"];
    if role == Role::Any && !sections.into_iter().any(has_section) {
        reader.check(
            "daemon",
            false,
            "a section [daemon], [control] or [fleet] is required",
        );
    }
    let uses_fleet = is_managed || (role == Role::Any && has_section("fleet"));
    let earlier_faults = reader.fault_count();
    let settings = Settings {
        log_filter,
        daemon: section(
            reader,
            is_used("daemon", Role::Daemon),
            DaemonSettings::read,
        ),
        control: section(
            reader,
            is_used("control", Role::Control),
            ControlSettings::read,
        ),
        fleet: section(reader, uses_fleet, FleetSettings::read),
        gateway: section(
            reader,
            is_used("gateway", Role::Gateway),
            GatewaySettings::read,
        ),
        store: section(reader, is_used("store", Role::Store), StoreSettings::read),
        member: section(
            reader,
            is_used("member", Role::Member),
            ManagedMemberSettings::read,
        ),
    };
    (reader.fault_count() == earlier_faults).then_some(settings)
}

/// Reads a section that this process uses. Of any other section, it only registers the keys.
fn section<T>(
    reader: &mut Reader<'_>,
    is_used: bool,
    read: impl FnOnce(&mut Reader<'_>) -> Option<T>,
) -> Option<T> {
    if is_used {
        return read(reader);
    }
    reader.register_keys(read);
    None
}

/// Checks that a list of members is not empty and names each member once.
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
