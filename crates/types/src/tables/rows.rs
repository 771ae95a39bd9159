//! Unchecked rows of the tables, and the conversions between them and checked tables.

use std::{fmt, str::FromStr};

use crate::{
    Accelerators, Class, Connections, CpuMillicores, Effect, MemoryBytes, Millis, Policy, Pool,
    Quota, Resources, Route, Slots, SortedVec, TableError, Tables, WorkerGroup,
    tables::{MAX_CPU_MILLICORES, MAX_MEMORY_BYTES, MAX_TASKS, MAX_TIME_LIMIT_MS},
};

/// Unchecked row of a table: a section of an INI file or its form in a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawRow {
    /// Name of the row: a kind, a pool or a tenant.
    pub name: String,
    /// Keys and values, in the order of the file.
    pub settings: Vec<(String, String)>,
}

/// Unchecked tables, in the order of the file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawTables {
    /// Sections `[route KIND]`.
    pub routes: Vec<RawRow>,
    /// Sections `[pool NAME]`.
    pub pools: Vec<RawRow>,
    /// Sections `[quota TENANT]`.
    pub quotas: Vec<RawRow>,
}

/// Reads the settings of one row. Its errors name section and key.
struct RowReader<'a> {
    section: String,
    row: &'a RawRow,
}

impl<'a> RowReader<'a> {
    /// Fails if a key is unknown or set twice.
    fn new(table: &str, row: &'a RawRow, known_keys: &[&str]) -> Result<Self, TableError> {
        let reader = Self {
            section: format!("{table} {}", row.name),
            row,
        };
        for (i, (key, _)) in row.settings.iter().enumerate() {
            if !known_keys.contains(&key.as_str()) {
                let reason = format!("unknown key; known keys are {}", known_keys.join(", "));
                return Err(reader.error(key, reason));
            }
            if row.settings[..i].iter().any(|(earlier, _)| earlier == key) {
                return Err(reader.error(key, "key is set twice"));
            }
        }
        Ok(reader)
    }

    fn error(&self, key: &str, reason: impl fmt::Display) -> TableError {
        TableError {
            section: self.section.clone(),
            key: key.to_owned(),
            reason: reason.to_string(),
        }
    }

    fn name<T: FromStr<Err: fmt::Display>>(&self) -> Result<T, TableError> {
        self.row
            .name
            .parse()
            .map_err(|error: T::Err| self.error("", error))
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        self.row
            .settings
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, value)| value.as_str())
    }

    fn required<T: FromStr<Err: fmt::Display>>(&self, key: &str) -> Result<T, TableError> {
        let text = self
            .text(key)
            .ok_or_else(|| self.error(key, "key is required"))?;
        text.parse().map_err(|error: T::Err| self.error(key, error))
    }

    fn optional<T: FromStr<Err: fmt::Display>>(
        &self,
        key: &str,
        default: T,
    ) -> Result<T, TableError> {
        match self.text(key) {
            Some(_) => self.required(key),
            None => Ok(default),
        }
    }

    /// Returns `value` if it lies from `min` to `max`, both included.
    fn in_range<T: PartialOrd + fmt::Display>(
        &self,
        key: &str,
        value: T,
        min: &T,
        max: &T,
    ) -> Result<T, TableError> {
        if value < *min || value > *max {
            return Err(self.error(key, format!("{value} is outside {min} to {max}")));
        }
        Ok(value)
    }
}

const ROUTE_KEYS: &[&str] = &[
    "pool",
    "effect",
    "class",
    "cpu_millicores",
    "memory_bytes",
    "accelerators",
    "slots",
    "connections",
    "tasks",
    "time_limit_ms",
    "run_time_ms",
];

fn read_route(reader: &RowReader<'_>) -> Result<Route, TableError> {
    let demand = Resources {
        cpu_millicores: reader.in_range(
            "cpu_millicores",
            reader.required("cpu_millicores")?,
            &CpuMillicores(1),
            &MAX_CPU_MILLICORES,
        )?,
        memory_bytes: reader.in_range(
            "memory_bytes",
            reader.required("memory_bytes")?,
            &MemoryBytes(1),
            &MAX_MEMORY_BYTES,
        )?,
        accelerators: reader.optional("accelerators", Accelerators(0))?,
        slots: reader.optional("slots", Slots(1))?,
        connections: reader.optional("connections", Connections(1))?,
    };
    let time_limit_ms = reader.in_range(
        "time_limit_ms",
        reader.required("time_limit_ms")?,
        &Millis(1),
        &MAX_TIME_LIMIT_MS,
    )?;
    Ok(Route {
        pool: reader.required("pool")?,
        effect: reader.required::<Effect>("effect")?,
        class: reader.optional("class", Class::Standard)?,
        demand,
        tasks: reader.in_range("tasks", reader.optional("tasks", 1)?, &1, &MAX_TASKS)?,
        time_limit_ms,
        run_time_ms: reader.in_range(
            "run_time_ms",
            reader.required("run_time_ms")?,
            &Millis(1),
            &time_limit_ms,
        )?,
    })
}

const POOL_KEYS: &[&str] = &["groups", "policy", "queue_limit", "quarantine_percent"];

fn read_pool(reader: &RowReader<'_>) -> Result<Pool, TableError> {
    let mut groups = reader
        .required::<String>("groups")?
        .split(',')
        .map(|text| text.trim().parse::<WorkerGroup>())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| reader.error("groups", error))?;
    groups.sort();
    if groups.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(reader.error("groups", "a group is named twice"));
    }
    Ok(Pool {
        groups,
        policy: reader.required::<Policy>("policy")?,
        queue_limit: reader.in_range(
            "queue_limit",
            reader.optional("queue_limit", 10_000)?,
            &1,
            &1_000_000,
        )?,
        quarantine_percent: reader.in_range(
            "quarantine_percent",
            reader.optional("quarantine_percent", 20)?,
            &0,
            &100,
        )?,
    })
}

const QUOTA_KEYS: &[&str] = &[
    "weight",
    "cpu_millicores",
    "memory_bytes",
    "accelerators",
    "slots",
    "connections",
];

fn read_quota(reader: &RowReader<'_>) -> Result<Quota, TableError> {
    Ok(Quota {
        limit: Resources {
            cpu_millicores: reader.optional("cpu_millicores", CpuMillicores(u32::MAX))?,
            memory_bytes: reader.optional("memory_bytes", MemoryBytes(u64::MAX))?,
            accelerators: reader.optional("accelerators", Accelerators(u32::MAX))?,
            slots: reader.optional("slots", Slots(u32::MAX))?,
            connections: reader.optional("connections", Connections(u32::MAX))?,
        },
        weight: reader.in_range("weight", reader.optional("weight", 1)?, &1, &1_000)?,
    })
}

/// Reads all rows of a table; fails at the first invalid or repeated row.
fn read_rows<K: Ord + FromStr<Err: fmt::Display>, V>(
    table: &str,
    rows: &[RawRow],
    known_keys: &[&str],
    read: impl Fn(&RowReader<'_>) -> Result<V, TableError>,
) -> Result<SortedVec<K, V>, TableError> {
    let mut checked = SortedVec::new();
    for row in rows {
        let reader = RowReader::new(table, row, known_keys)?;
        if checked.insert(reader.name()?, read(&reader)?).is_some() {
            return Err(reader.error("", "section appears twice"));
        }
    }
    Ok(checked)
}

impl TryFrom<&RawTables> for Tables {
    type Error = TableError;

    fn try_from(raw: &RawTables) -> Result<Self, TableError> {
        let tables = Self {
            routes: read_rows("route", &raw.routes, ROUTE_KEYS, read_route)?,
            pools: read_rows("pool", &raw.pools, POOL_KEYS, read_pool)?,
            quotas: read_rows("quota", &raw.quotas, QUOTA_KEYS, read_quota)?,
        };
        check_groups_are_disjoint(&tables)?;
        check_routes(&tables)?;
        Ok(tables)
    }
}

/// Checks that no worker group belongs to two pools.
fn check_groups_are_disjoint(tables: &Tables) -> Result<(), TableError> {
    for (name, pool) in tables.pools.iter() {
        for group in &pool.groups {
            let owner = tables.pool_of_group(group);
            if let Some(owner) = owner.filter(|owner| *owner != name) {
                return Err(TableError {
                    section: format!("pool {name}"),
                    key: "groups".into(),
                    reason: format!("group {group} already belongs to pool {owner}"),
                });
            }
        }
    }
    Ok(())
}

/// Checks that each route names an existing pool, and that only routes to pools with policy `gang`
/// have more than one task.
fn check_routes(tables: &Tables) -> Result<(), TableError> {
    for (kind, route) in tables.routes.iter() {
        let error = |key: &str, reason: String| TableError {
            section: format!("route {kind}"),
            key: key.into(),
            reason,
        };
        let Some(pool) = tables.pools.get(&route.pool) else {
            let reason = format!("pool {} does not exist", route.pool);
            return Err(error("pool", reason));
        };
        if route.tasks > 1 && pool.policy != Policy::Gang {
            let reason = format!("pool {} has policy {}, not gang", route.pool, pool.policy);
            return Err(error("tasks", reason));
        }
    }
    Ok(())
}

/// Adds a setting for each resource of a demand or a limit.
fn write_resources(resources: &Resources, out: &mut Vec<(String, String)>) {
    let mut set = |key: &str, value: u64| out.push((key.to_owned(), value.to_string()));
    set("cpu_millicores", resources.cpu_millicores.0.into());
    set("memory_bytes", resources.memory_bytes.0);
    set("accelerators", resources.accelerators.0.into());
    set("slots", resources.slots.0.into());
    set("connections", resources.connections.0.into());
}

impl From<&Tables> for RawTables {
    fn from(tables: &Tables) -> Self {
        let routes = tables.routes.iter().map(|(kind, route)| {
            let mut settings = vec![
                ("pool".into(), route.pool.to_string()),
                ("effect".into(), route.effect.to_string()),
                ("class".into(), route.class.to_string()),
                ("tasks".into(), route.tasks.to_string()),
                ("time_limit_ms".into(), route.time_limit_ms.0.to_string()),
                ("run_time_ms".into(), route.run_time_ms.0.to_string()),
            ];
            write_resources(&route.demand, &mut settings);
            RawRow {
                name: kind.to_string(),
                settings,
            }
        });
        let pools = tables.pools.iter().map(|(name, pool)| {
            let groups: Vec<_> = pool.groups.iter().map(WorkerGroup::as_str).collect();
            RawRow {
                name: name.to_string(),
                settings: vec![
                    ("groups".into(), groups.join(",")),
                    ("policy".into(), pool.policy.to_string()),
                    ("queue_limit".into(), pool.queue_limit.to_string()),
                    (
                        "quarantine_percent".into(),
                        pool.quarantine_percent.to_string(),
                    ),
                ],
            }
        });
        let quotas = tables.quotas.iter().map(|(tenant, quota)| {
            let mut settings = vec![("weight".into(), quota.weight.to_string())];
            write_resources(&quota.limit, &mut settings);
            RawRow {
                name: tenant.to_string(),
                settings,
            }
        });
        Self {
            routes: routes.collect(),
            pools: pools.collect(),
            quotas: quotas.collect(),
        }
    }
}
