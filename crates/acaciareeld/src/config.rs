//! Settings of the daemon, read from an INI file and validated.
//!
//! [`IniFile`] is the parsed file; `TryFrom` validates it and makes a [`Config`] of it. Each
//! setting is recorded with its origin for `--print-config`.

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

/// Peer address and failure domain of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerConfig {
    /// UDP address on which the VM accepts connections of its peers.
    pub address: SocketAddr,
    pub failure_domain: FailureDomain,
}

/// PEM files with the certificates and the key for the connections between daemons.
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
    pub operators: PathBuf,
    /// Tokens of callers; a tenant's name after a token limits the token to that tenant.
    pub callers: PathBuf,
    /// Tokens of workers; the first one is also sent with calls to workers.
    pub workers: PathBuf,
}

/// Limits on the resources that clients, workers and peers can use on this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitsConfig {
    /// Largest HTTP body, except for changes of the tables.
    pub body_bytes: usize,
    /// Largest body of a change of the tables; tables with 700 quotas have about 300 KB.
    pub tables_bytes: usize,
    /// Memory of all heads and bodies that arrive and of all responses that are being sent. Without
    /// this limit, 1,024 connections with slow bodies of 256 KiB would hold 256 MiB.
    pub arriving_bytes: usize,
    /// Memory of all requests that have arrived completely and wait for their response.
    pub waiting_bytes: usize,
    /// Largest HTTP request head.
    pub header_bytes: usize,
    /// Longest wait for a complete request head, and longest wait for a complete body.
    pub header_timeout_ms: Millis,
    /// Longest idle time of a connection between requests.
    pub idle_timeout_ms: Millis,
    /// Most open HTTP connections.
    pub connections: usize,
    /// Highest rate of announcements and results accepted from workers.
    pub announcements: RatePerSecond,
    /// Longest wait for a connection to a worker.
    pub worker_connect_ms: Millis,
    /// Longest wait for a worker's reply once the connection is open.
    pub worker_reply_ms: Millis,
    /// Time for which a stopping VM still accepts connections, because the load balancer still
    /// opens them.
    pub stop_accept_ms: Millis,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// `key=value` pairs.
    KeyValue,
    /// One JSON object per line.
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

/// Settings of logging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogsConfig {
    pub format: LogFormat,
    /// Level, such as `info`, or a specification such as `info, quinn=warn`.
    pub level: String,
    /// Folder for log files; logs go to standard error without one.
    pub folder: Option<PathBuf>,
}

/// Validated settings of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// Id of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Seed of random election timeouts and jitter; the VM id if the file sets none.
    pub seed: u64,
    /// Folder of the durable state; without one the state lasts as long as the process.
    pub data_folder: Option<PathBuf>,
    /// Address on which the HTTP server listens.
    pub http: SocketAddr,
    /// UDP address on which the connections of the other daemons are accepted.
    pub peers_listen: SocketAddr,
    /// All entry VMs, this one included.
    pub vms: SortedVec<VmId, PeerConfig>,
    /// Initial voters of each group.
    pub groups: SortedVec<GroupId, Vec<VmId>>,
    pub keys: KeysConfig,
    pub tokens: TokensConfig,
    pub limits: LimitsConfig,
    pub logs: LogsConfig,
    /// Each setting that was read, in reading order.
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
    /// Writes the sections with each setting and its origin, as `--print-config` prints them.
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
        let own_config = PeerConfig {
            address: peers_listen,
            failure_domain: failure_domain.clone(),
        };
        let vms = read_vms(&raw, id, own_config, &mut settings)?;
        Ok(Self {
            vm: id,
            failure_domain,
            seed,
            data_folder,
            http,
            peers_listen,
            groups: read_groups(&raw, &vms, &mut settings)?,
            vms,
            keys: read_keys(&raw, &mut settings)?,
            tokens: read_tokens(&raw, &mut settings)?,
            limits: read_limits(&raw, &mut settings)?,
            logs: read_logs(&raw, &mut settings)?,
            settings,
        })
    }
}

/// Reads the sections `[peer vm-N]`. The section of this VM may be present, so that all VMs can use
/// the same list; its failure domain must then match section `[vm]`.
fn read_vms(
    raw: &IniFile,
    own_vm: VmId,
    own_config: PeerConfig,
    settings: &mut Vec<Setting>,
) -> Result<SortedVec<VmId, PeerConfig>, SettingsError> {
    let mut vms = SortedVec::new();
    for name in sections::names_after(raw, "peer") {
        let section = format!("peer {name}");
        let known = ["address", "failure_domain"];
        let mut reader = SectionReader::new(raw, &section, &known, settings)?;
        let vm: VmId = reader.parse_name(&name)?;
        let peer = PeerConfig {
            address: reader.required("address")?,
            failure_domain: reader.required("failure_domain")?,
        };
        if vm == own_vm && peer.failure_domain != own_config.failure_domain {
            return Err(reader.error("failure_domain", "differs from section vm"));
        }
        vms.insert(vm, peer);
    }
    if !vms.contains_key(&own_vm) {
        vms.insert(own_vm, own_config);
    }
    Ok(vms)
}

/// Reads the sections `[group NAME]`. Groups without a section get default voters.
fn read_groups(
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
    for name in sections::names_after(raw, "group") {
        if !known.contains(&name) {
            let known: Vec<&str> = known.iter().map(String::as_str).collect();
            let section = format!("group {name}");
            return Err(sections::unknown_name(
                raw, &section, "", "group", &name, &known,
            ));
        }
    }
    Ok(groups)
}

/// Returns the default voters of the tables group: five VMs, or three if there are fewer than five
/// failure domains. Each is of another domain, so that no domain has a majority; with fewer than
/// three domains they are the VMs with the lowest ids.
fn default_tables_voters(
    vms: &SortedVec<VmId, PeerConfig>,
    domains: &BTreeSet<FailureDomain>,
) -> Vec<VmId> {
    let max_voters = if domains.len() >= 5 { 5 } else { 3 };
    let first_of = |domain: &FailureDomain| vms.iter().find(|(_, vm)| vm.failure_domain == *domain);
    let voters: Vec<_> = domains
        .iter()
        .filter_map(first_of)
        .map(|(id, _)| *id)
        .collect();
    let spread: Vec<_> = voters.into_iter().take(max_voters).collect();
    if spread.len() >= 3 {
        return spread;
    }
    vms.keys().copied().take(max_voters).collect()
}

/// Returns the default voters of a domain's ledger group: two VMs of the domain and one outside it,
/// or the closest possible choice if there are too few VMs of either kind.
fn default_ledger_voters(vms: &SortedVec<VmId, PeerConfig>, domain: &FailureDomain) -> Vec<VmId> {
    let (mut inside, mut outside) = (Vec::new(), Vec::new());
    for (id, vm) in vms.iter() {
        if vm.failure_domain == *domain {
            inside.push(*id);
        } else {
            outside.push(*id);
        }
    }
    // Starts after the domain's own VMs, so that the outside votes are distributed over all VMs.
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

fn read_keys(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<KeysConfig, SettingsError> {
    let known = ["authority", "certificate", "private_key"];
    let mut reader = SectionReader::new(raw, "keys", &known, settings)?;
    Ok(KeysConfig {
        authority: reader.required_path("authority")?,
        certificate: reader.required_path("certificate")?,
        private_key: reader.required_path("private_key")?,
    })
}

fn read_tokens(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<TokensConfig, SettingsError> {
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
    "waiting_bytes",
    "header_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
    "connections",
    "announcements_per_s",
    "worker_connect_ms",
    "worker_reply_ms",
    "stop_accept_ms",
];

fn read_limits(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<LimitsConfig, SettingsError> {
    let mut reader = SectionReader::new(raw, "limits", LIMIT_KEYS, settings)?;
    Ok(LimitsConfig {
        body_bytes: reader.in_range("body_bytes", 256 << 10, &(1 << 10), &(16 << 20))?,
        tables_bytes: reader.in_range("tables_bytes", 2 << 20, &(1 << 10), &(16 << 20))?,
        // The largest body that the settings allow fits in, with its buffers.
        arriving_bytes: reader.in_range("arriving_bytes", 20 << 20, &(20 << 20), &(1 << 30))?,
        waiting_bytes: reader.in_range("waiting_bytes", 24 << 20, &(24 << 20), &(1 << 30))?,
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

fn read_logs(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<LogsConfig, SettingsError> {
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
