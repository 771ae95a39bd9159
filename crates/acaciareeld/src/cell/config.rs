//! Settings of a VM of a cell, read from an INI file and validated.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    str::FromStr,
};

use acaciareel_cell::Bounds;
use acaciareel_settings::{IniFile, SettingsError};
use acaciareel_types::VmId;

use crate::{
    clients::ClientLimits,
    config::{LogFormat, SectionReader, Setting, check_sections},
    logging,
};

/// Role of a VM in its cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts requests of callers and forwards them to the leader.
    Entry,
    /// Stores the replicated state and may become the leader.
    Control,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Control => "control",
        })
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            _ => Err("expected entry or control".to_owned()),
        }
    }
}

/// Addresses and ports that a VM listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenConfig {
    /// Requests of callers; required on entry VMs.
    pub callers: Option<SocketAddr>,
    /// Readiness checks; required on entry VMs.
    pub readiness: Option<SocketAddr>,
    /// Requests of workers and operators; required on control VMs.
    pub control: Option<SocketAddr>,
    /// Port for connections of the other VMs; the same on all VMs of the cell.
    pub peers_port: u16,
    /// Port of the metrics page.
    pub metrics_port: u16,
}

/// Limits on what clients and jobs may hold on a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitsConfig {
    /// Descriptors that the process may open; `None` for the limit that the system sets.
    pub descriptors: Option<usize>,
    /// Most open connections of callers, or of workers and operators.
    pub connections: usize,
    /// Memory for all clients.
    pub memory: ClientLimits,
}

/// Validated settings of a VM of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellConfig {
    /// Name of the VM; appears in log lines only.
    pub name: String,
    pub role: Role,
    /// Address of the VM, which also identifies it in the cell; see [`vm_id_of`].
    pub address: Ipv4Addr,
    /// Failure domain of the VM; logged, and sent to the other VMs in the hello message.
    pub failure_domain: String,
    /// Folder of the durable state; required on control VMs.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole cell starts for the first time. Only then may a control VM without state
    /// bootstrap the group.
    pub first_start: bool,
    pub listen: ListenConfig,
    /// Control VMs that the settings name, sorted and without duplicates; at least one.
    pub seeds: Vec<VmId>,
    /// Port of the interface for workers and operators on the other control VMs, taken from the
    /// first seed.
    pub control_port: u16,
    /// Address of the policy service; without one, requests for advice get no response.
    pub policy_service: Option<SocketAddr>,
    /// Durations that depend on the deployment.
    pub bounds: Bounds,
    /// Longest time from SIGTERM to the end of a control VM.
    pub shutdown_ms: u64,
    pub limits: LimitsConfig,
    pub log_format: LogFormat,
    /// Log level, or levels by module, as [`logging::parse_level`] accepts them.
    pub log_level: String,
    settings: Vec<Setting>,
}

const SECTIONS: &[&str] = &["vm", "listen", "cell", "bounds", "limits", "logs"];
const VM_KEYS: &[&str] = &[
    "name",
    "role",
    "address",
    "failure_domain",
    "data_folder",
    "first_start",
];
const LISTEN_KEYS: &[&str] = &[
    "callers",
    "readiness",
    "control",
    "peers_port",
    "metrics_port",
];
const CELL_KEYS: &[&str] = &["seeds", "policy_service"];
const BOUNDS_KEYS: &[&str] = &[
    "lease_ms",
    "stop_ms",
    "status_s",
    "shutdown_s",
    "quota_overage",
    "quota_window_s",
    "quota_tolerance",
];
const LIMITS_KEYS: &[&str] = &[
    "descriptors",
    "connections",
    "transfer_bytes",
    "request_bytes",
];
const LOGS_KEYS: &[&str] = &["format", "level"];

/// Returns the id of the VM with this address. The address is the identity of a VM in its cell.
pub fn vm_id_of(address: Ipv4Addr) -> VmId {
    VmId(u32::from(address))
}

/// Returns the address of a VM; the inverse of [`vm_id_of`].
pub fn address_of(vm: VmId) -> Ipv4Addr {
    Ipv4Addr::from(vm.0)
}

impl CellConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or a setting is unknown, missing or wrong.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        Self::try_from(IniFile::read(file)?)
    }
}

impl fmt::Display for CellConfig {
    /// Writes each setting with its origin, one a line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for setting in &self.settings {
            let Setting {
                section,
                key,
                value,
                origin,
            } = setting;
            writeln!(f, "{section}.{key} = {value} ; {origin}")?;
        }
        Ok(())
    }
}

impl TryFrom<IniFile> for CellConfig {
    type Error = SettingsError;

    fn try_from(raw: IniFile) -> Result<Self, SettingsError> {
        check_sections(&raw, SECTIONS, &[])?;
        let mut settings = Vec::new();
        let mut vm = SectionReader::new(&raw, "vm", VM_KEYS, &mut settings)?;
        let name = vm.required("name")?;
        let role = vm.required("role")?;
        let address = vm.required("address")?;
        let failure_domain = vm.required("failure_domain")?;
        let data_folder = vm.path("data_folder")?;
        let first_start = vm.optional("first_start", false)?;
        if role == Role::Control && data_folder.is_none() {
            return Err(vm.error("data_folder", "a control VM needs a data folder"));
        }
        let listen = read_listen(&raw, role, &mut settings)?;
        let mut cell = SectionReader::new(&raw, "cell", CELL_KEYS, &mut settings)?;
        let seeds: Vec<SocketAddr> = cell.list("seeds", &[])?;
        if seeds.is_empty() {
            return Err(cell.error("seeds", "at least one seed is required"));
        }
        let control_port = seeds[0].port();
        let seeds = seeds.iter().map(|seed| match seed.ip() {
            IpAddr::V4(address) => Ok(vm_id_of(address)),
            IpAddr::V6(_) => Err(cell.error("seeds", "only IPv4 addresses are supported")),
        });
        let mut seeds = seeds.collect::<Result<Vec<_>, _>>()?;
        seeds.sort_unstable();
        seeds.dedup();
        let policy_service: Option<SocketAddr> =
            match cell.optional("policy_service", String::new())? {
                text if text.is_empty() => None,
                text => Some(text.parse().map_err(|e| cell.error("policy_service", e))?),
            };
        let mut bounds = SectionReader::new(&raw, "bounds", BOUNDS_KEYS, &mut settings)?;
        let shutdown_ms = bounds.in_range("shutdown_s", 6, &1, &600)? * 1_000;
        let bounds = Bounds {
            lease_ms: bounds.in_range("lease_ms", 6_000, &1_000, &600_000)?,
            stop_ms: bounds.in_range("stop_ms", 1_000, &10, &60_000)?,
            status_retention_ms: bounds.in_range("status_s", 120, &1, &86_400)? * 1_000,
            quota_overage_permille: thousandths(bounds.in_range(
                "quota_overage",
                0.0,
                &0.0,
                &10.0,
            )?),
            quota_window_ms: thousandths(bounds.in_range("quota_window_s", 0.0, &0.0, &3_600.0)?),
            quota_tolerance: bounds.in_range("quota_tolerance", 0, &0, &1_000_000)?,
        };
        let limits = read_limits(&raw, &mut settings)?;
        let mut logs = SectionReader::new(&raw, "logs", LOGS_KEYS, &mut settings)?;
        let log_format = logs.optional("format", LogFormat::KeyValue)?;
        let log_level: String = logs.optional("level", "info".to_owned())?;
        logging::parse_level(&log_level).map_err(|e| logs.error("level", e))?;
        Ok(Self {
            name,
            role,
            address,
            failure_domain,
            data_folder,
            first_start,
            listen,
            seeds,
            control_port,
            policy_service,
            bounds,
            shutdown_ms,
            limits,
            log_format,
            log_level,
            settings,
        })
    }
}

/// Returns a checked value as a whole number of thousandths.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is neither negative nor large"
)]
fn thousandths(value: f64) -> u64 {
    (value * 1_000.0).round() as u64
}

fn read_limits(raw: &IniFile, settings: &mut Vec<Setting>) -> Result<LimitsConfig, SettingsError> {
    let mut reader = SectionReader::new(raw, "limits", LIMITS_KEYS, settings)?;
    let descriptors = match reader.optional("descriptors", String::new())? {
        text if text.is_empty() => None,
        _ => Some(reader.in_range("descriptors", 0, &64, &1_048_576)?),
    };
    Ok(LimitsConfig {
        descriptors,
        connections: reader.in_range("connections", 2_000, &16, &65_536)?,
        memory: ClientLimits {
            transfer_bytes: reader.in_range("transfer_bytes", 16 << 20, &(5 << 20), &(1 << 30))?,
            request_bytes: reader.in_range("request_bytes", 16 << 20, &(12 << 20), &(1 << 30))?,
        },
    })
}

fn read_listen(
    raw: &IniFile,
    role: Role,
    settings: &mut Vec<Setting>,
) -> Result<ListenConfig, SettingsError> {
    let mut reader = SectionReader::new(raw, "listen", LISTEN_KEYS, settings)?;
    let mut address = |key: &str, required: bool| {
        let text: String = reader.optional(key, String::new())?;
        if text.is_empty() {
            return if required {
                Err(reader.error(key, format!("a VM of role {role} needs this address")))
            } else {
                Ok(None)
            };
        }
        let parsed = text.parse().map_err(|error| reader.error(key, error))?;
        Ok(Some(parsed))
    };
    let callers = address("callers", role == Role::Entry)?;
    let readiness = address("readiness", role == Role::Entry)?;
    let control = address("control", role == Role::Control)?;
    Ok(ListenConfig {
        callers,
        readiness,
        control,
        peers_port: reader.required("peers_port")?,
        metrics_port: reader.required("metrics_port")?,
    })
}

#[cfg(test)]
mod tests;
