//! Checked settings of the daemon.
//!
//! [`IniFile`] is the file as it was read; [`Config`] is made from it by `TryFrom` and is
//! consistent. Each value that was looked up is kept with its origin for `--print-config`.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
};

use acaciareel_node::GroupId;
use acaciareel_settings::{IniFile, SettingsError};
use acaciareel_types::{FailureDomain, Millis, RatePerSecond, SortedVec, VmId};

use crate::logging;

mod reader;
mod sections;

pub use reader::{SectionReader, Setting};
pub use sections::check as check_sections;

/// Address and failure domain of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerConfig {
    /// UDP address of its peer endpoint.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// Files with keys for the connections between daemons, in PEM form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeysConfig {
    /// Certificate of the authority that signs all VMs' certificates.
    pub authority: PathBuf,
    /// This VM's certificate, valid for the name `vm-N`.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub private_key: PathBuf,
}

/// Files with bearer tokens, one token a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokensConfig {
    /// Tokens of operators.
    pub operators: PathBuf,
    /// Tokens of callers; a tenant after the token limits it to that tenant.
    pub callers: PathBuf,
    /// Tokens of workers; the first is sent with calls to workers.
    pub workers: PathBuf,
}

/// Bounds on what others can make this VM do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitsConfig {
    /// Largest HTTP body, except that of the tables.
    pub body_bytes: usize,
    /// Largest body of a change of the tables; those with 700 quotas have about 300 KB.
    pub tables_bytes: usize,
    /// Bodies that may arrive at the same time, in all. Without it, 1,024 connections with slow
    /// bodies of 256 KiB would hold 256 MiB.
    pub arriving_bytes: usize,
    /// Largest HTTP request head.
    pub header_bytes: usize,
    /// Longest wait for a complete request head, and for a complete body.
    pub header_timeout_ms: Millis,
    /// Longest idle time of a connection between requests.
    pub idle_timeout_ms: Millis,
    /// Open HTTP connections.
    pub connections: usize,
    /// Announcements accepted from workers.
    pub announcements: RatePerSecond,
    /// Longest wait for a connection to a worker.
    pub worker_connect_ms: Millis,
    /// Longest wait for a worker's reply.
    pub worker_reply_ms: Millis,
    /// How long a stopping VM still serves requests, because the load balancer sends them.
    pub stop_accept_ms: Millis,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// `key=value` pairs.
    KeyValue,
    /// One JSON object a line.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KeyValue => "keyvalue",
            Self::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "keyvalue" => Ok(Self::KeyValue),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not one of keyvalue, json")),
        }
    }
}

/// Settings of logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogsConfig {
    /// Form of the lines.
    pub format: LogFormat,
    /// Level, such as `info`, or a specification such as `info, quinn=warn`.
    pub level: String,
    /// Folder for log files; standard error where absent.
    pub folder: Option<PathBuf>,
}

/// Checked settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// This VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Seed of election timeouts and jitter.
    pub seed: u64,
    /// Folder of the durable state; without one the state lasts as long as the process.
    pub data_folder: Option<PathBuf>,
    /// HTTP address.
    pub http: SocketAddr,
    /// UDP address for the other daemons.
    pub peers_listen: SocketAddr,
    /// Every entry VM, this one included.
    pub vms: SortedVec<VmId, PeerConfig>,
    /// Initial voters of each group.
    pub groups: SortedVec<GroupId, Vec<VmId>>,
    /// Keys.
    pub keys: KeysConfig,
    /// Tokens.
    pub tokens: TokensConfig,
    /// Limits.
    pub limits: LimitsConfig,
    /// Logs.
    pub logs: LogsConfig,
    /// Every setting that was looked up, in order.
    pub settings: Vec<Setting>,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a setting is wrong.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::try_from(IniFile::read(file)?)
    }
}

impl fmt::Display for Config {
    /// Writes each setting with its origin, as `--print-config` shows it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut section = "";
        for setting in &self.settings {
            if setting.section != section {
                writeln!(f, "[{}]", setting.section)?;
                section = &setting.section;
            }
            writeln!(
                f,
                "{} = {} ; {}",
                setting.key, setting.value, setting.origin
            )?;
        }
        Ok(())
    }
}

const SECTIONS: &[&str] = &["vm", "listen", "keys", "tokens", "limits", "logs"];
const NAMED_SECTIONS: &[&str] = &["peer", "group"];

impl TryFrom<IniFile> for Config {
    type Error = SettingsError;

    fn try_from(raw: IniFile) -> Result<Self, SettingsError> {
        sections::check(&raw, SECTIONS, NAMED_SECTIONS)?;
        let mut settings = Vec::new();
        let known = ["id", "failure_domain", "seed", "data_folder"];
        let mut vm = SectionReader::new(&raw, "vm", &known, &mut settings)?;
        let id: VmId = vm.required("id")?;
        let failure_domain: FailureDomain = vm.required("failure_domain")?;
        let seed = vm.optional("seed", u64::from(id.0))?;
        let data_folder = vm.path("data_folder")?;
        let mut listen = SectionReader::new(&raw, "listen", &["http", "peers"], &mut settings)?;
        let http = listen.required("http")?;
        let peers_listen = listen.required("peers")?;
        let me = PeerConfig {
            address: peers_listen,
            failure_domain: failure_domain.clone(),
        };
        let vms = vms(&raw, id, me, &mut settings)?;
        Ok(Self {
            vm: id,
            failure_domain,
            seed,
            data_folder,
            http,
            peers_listen,
            groups: groups(&raw, &vms, &mut settings)?,
            vms,
            keys: keys(&raw, &mut settings)?,
            tokens: tokens(&raw, &mut settings)?,
            limits: limits(&raw, &mut settings)?,
            logs: logs(&raw, &mut settings)?,
            settings,
        })
    }
}

/// Reads the sections `[peer vm-N]`. The section of this VM may be present, so that all VMs can
/// share one list.
fn vms(
    raw: &IniFile,
    me: VmId,
    my_config: PeerConfig,
    settings: &mut Vec<Setting>,
) -> Result<SortedVec<VmId, PeerConfig>, SettingsError> {
    let mut vms = SortedVec::new();
    for name in sections::named(raw, "peer") {
        let section = format!("peer {name}");
        let known = ["address", "failure_domain"];
        let mut reader = SectionReader::new(raw, &section, &known, settings)?;
        let vm: VmId = reader.parse_name(&name)?;
        let peer = PeerConfig {
            address: reader.required("address")?,
            failure_domain: reader.required("failure_domain")?,
        };
        if vm == me && peer.failure_domain != my_config.failure_domain {
            return Err(reader.error("failure_domain", "differs from section vm"));
        }
        vms.insert(vm, peer);
    }
    if !vms.contains_key(&me) {
        vms.insert(me, my_config);
    }
    Ok(vms)
}

/// Reads the sections `[group NAME]` and fills in the groups that have none.
fn groups(
    raw: &IniFile,
    vms: &SortedVec<VmId, PeerConfig>,
    settings: &mut Vec<Setting>,
) -> Result<SortedVec<GroupId, Vec<VmId>>, SettingsError> {
    let domains: BTreeSet<_> = vms.values().map(|vm| vm.failure_domain.clone()).collect();
    let mut groups = SortedVec::new();
    groups.insert(GroupId::Tables, default_tables_voters(vms, &domains));
    for domain in &domains {
        let voters = default_ledger_voters(vms, domain);
        groups.insert(GroupId::Ledger(domain.clone()), voters);
    }
    for (group, voters) in groups.iter_mut() {
        let section = format!("group {group}");
        let mut reader = SectionReader::new(raw, &section, &["voters"], settings)?;
        *voters = reader.list("voters", voters)?;
        voters.sort_unstable();
        voters.dedup();
        if let Some(unknown) = voters.iter().find(|vm| !vms.contains_key(vm)) {
            return Err(reader.error("voters", format!("{unknown} has no section peer")));
        }
        if voters.is_empty() {
            return Err(reader.error("voters", "a group needs at least one voter"));
        }
    }
    let known: Vec<_> = groups.keys().map(ToString::to_string).collect();
    for name in sections::named(raw, "group") {
        if !known.contains(&name) {
            let known: Vec<&str> = known.iter().map(String::as_str).collect();
            let section = format!("group {name}");
            return Err(sections::unknown(raw, &section, "", "group", &name, &known));
        }
    }
    Ok(groups)
}

/// Chooses up to five VMs, one per failure domain in turn, so that no domain holds a majority where
/// there are at least three domains.
fn default_tables_voters(
    vms: &SortedVec<VmId, PeerConfig>,
    domains: &BTreeSet<FailureDomain>,
) -> Vec<VmId> {
    let most = if domains.len() >= 5 { 5 } else { 3 };
    let first_of = |domain: &FailureDomain| vms.iter().find(|(_, vm)| vm.failure_domain == *domain);
    let voters: Vec<_> = domains
        .iter()
        .filter_map(first_of)
        .map(|(id, _)| *id)
        .collect();
    let spread: Vec<_> = voters.into_iter().take(most).collect();
    if spread.len() >= 3 {
        return spread;
    }
    vms.keys().copied().take(most).collect()
}

/// Chooses two VMs of the domain and one outside it, or the nearest to it that the VMs allow.
fn default_ledger_voters(vms: &SortedVec<VmId, PeerConfig>, domain: &FailureDomain) -> Vec<VmId> {
    let (mut inside, mut outside) = (Vec::new(), Vec::new());
    for (id, vm) in vms.iter() {
        if vm.failure_domain == *domain {
            inside.push(*id);
        } else {
            outside.push(*id);
        }
    }
    // Starts after the domain's own VMs, so that the outside votes are spread over all VMs.
    let first = outside.iter().position(|id| inside.last() < Some(id));
    outside.rotate_left(first.unwrap_or(0));
    let rest = inside.split_off(inside.len().min(2));
    let needed = if inside.len() < 2 { 2 } else { 1 };
    let outside = outside.into_iter().take(needed);
    inside
        .into_iter()
        .chain(outside)
        .chain(rest)
        .take(3)
        .collect()
}

fn keys(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<KeysConfig, SettingsError> {
    let known = ["authority", "certificate", "private_key"];
    let mut reader = SectionReader::new(raw, "keys", &known, settings)?;
    Ok(KeysConfig {
        authority: reader.required_path("authority")?,
        certificate: reader.required_path("certificate")?,
        private_key: reader.required_path("private_key")?,
    })
}

fn tokens(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<TokensConfig, SettingsError> {
    let known = ["operators", "callers", "workers"];
    let mut reader = SectionReader::new(raw, "tokens", &known, settings)?;
    Ok(TokensConfig {
        operators: reader.required_path("operators")?,
        callers: reader.required_path("callers")?,
        workers: reader.required_path("workers")?,
    })
}

const LIMIT_KEYS: &[&str] = &[
    "body_bytes",
    "tables_bytes",
    "arriving_bytes",
    "header_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
    "connections",
    "announcements_per_s",
    "worker_connect_ms",
    "worker_reply_ms",
    "stop_accept_ms",
];

fn limits(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<LimitsConfig, SettingsError> {
    let mut reader = SectionReader::new(raw, "limits", LIMIT_KEYS, settings)?;
    Ok(LimitsConfig {
        body_bytes: reader.in_range("body_bytes", 256 << 10, &(1 << 10), &(16 << 20))?,
        tables_bytes: reader.in_range("tables_bytes", 2 << 20, &(1 << 10), &(16 << 20))?,
        arriving_bytes: reader.in_range("arriving_bytes", 32 << 20, &(16 << 20), &(1 << 30))?,
        header_bytes: reader.in_range("header_bytes", 16 << 10, &(1 << 10), &(256 << 10))?,
        header_timeout_ms: reader.in_range(
            "header_timeout_ms",
            Millis(10_000),
            &Millis(100),
            &Millis(600_000),
        )?,
        idle_timeout_ms: reader.in_range(
            "idle_timeout_ms",
            Millis(75_000),
            &Millis(100),
            &Millis(3_600_000),
        )?,
        connections: reader.in_range("connections", 1_024, &16, &65_536)?,
        announcements: reader.in_range(
            "announcements_per_s",
            RatePerSecond(200),
            &RatePerSecond(1),
            &RatePerSecond(100_000),
        )?,
        worker_connect_ms: reader.in_range(
            "worker_connect_ms",
            Millis(500),
            &Millis(10),
            &Millis(60_000),
        )?,
        worker_reply_ms: reader.in_range(
            "worker_reply_ms",
            Millis(1_000),
            &Millis(10),
            &Millis(60_000),
        )?,
        stop_accept_ms: reader.in_range(
            "stop_accept_ms",
            Millis(5_000),
            &Millis(0),
            &Millis(600_000),
        )?,
    })
}

fn logs(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<LogsConfig, SettingsError> {
    let known = ["format", "level", "folder"];
    let mut reader = SectionReader::new(raw, "logs", &known, settings)?;
    let format = reader.optional("format", LogFormat::KeyValue)?;
    let level: String = reader.optional("level", "info".to_owned())?;
    if let Err(error) = logging::parse_level(&level) {
        return Err(reader.error("level", error));
    }
    Ok(LogsConfig {
        format,
        level,
        folder: reader.path("folder")?,
    })
}

#[cfg(test)]
mod tests;
