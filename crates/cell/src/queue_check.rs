//! Findings about a queue table that is valid, and its differences from another table.
//!
//! The findings name what can never take effect, limits that contradict each other, and numbers
//! that the table holds less exactly than they were given. None of them makes a table invalid.

use crate::{
    ApiKeyDigest, Demand, QueueRow, QueueTable, TenantRow,
    run_times::{ADVICE_WORKERS, advice_us},
};

/// Cap below which a tenant is likely to run nothing but single tasks: one core. A lower number
/// mostly is a number of cores instead of thousandths of a core.
const LOW_CAP_CPU_MILLICORES: u32 = 1_000;
/// The same for memory: 1 GiB. A lower number mostly is in GiB instead of MiB.
const LOW_CAP_MEMORY_MIB: u32 = 1_024;

/// A queue table with what the operator's form of it says beyond the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeclaredTable {
    /// The table that would be in force.
    pub table: QueueTable,
    /// Names of the declared services, sorted.
    pub services: Vec<String>,
    /// Numbers that the table holds less exactly than they were given.
    pub rounded: Vec<RoundedNumber>,
    /// Tenants with keys that no request can carry, with the number of such keys.
    pub unusable_keys: Vec<(String, usize)>,
    /// Values that the table does not hold.
    pub other_values: Vec<OtherValue>,
}

/// A number that a table holds less exactly than it was given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoundedNumber {
    /// Entry that contains the number.
    pub entry: TableEntry,
    /// Field of the entry.
    pub field: Field,
    /// Number as given.
    pub given: String,
    /// Number that the table holds.
    pub used: String,
}

/// A value of the operator's form that has no effect on the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OtherValue {
    /// Entry that contains the value.
    pub entry: TableEntry,
    /// Name of the value in the operator's form.
    pub name: String,
    /// Value, compared but not shown unless `shown` is set.
    pub value: String,
    /// Whether the value may be shown: it is a number or a Boolean.
    pub shown: bool,
}

/// Part of a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TableEntry {
    /// The whole table.
    Table,
    /// Queue with this name.
    Queue(String),
    /// Service with this name.
    Service(String),
    /// Tenant with this name.
    Tenant(String),
    /// Limits of requests, which the table does not hold.
    Limits,
}

/// Field of a queue or tenant. The operator's form has its own names for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(missing_docs, reason = "the names are those of the fields of the rows")]
pub enum Field {
    Name,
    Host,
    PathPrefix,
    Service,
    Priority,
    MaxAttempts,
    Slack,
    Target,
    AdviceCall,
    AdvicePerWorker,
    TicketValidity,
    Public,
    Weight,
    CapCpu,
    CapMemory,
    CapAccelerators,
}

/// Something in a valid table that an operator probably does not intend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where it is.
    pub entry: TableEntry,
    /// What it is.
    pub problem: Problem,
}

/// What a [`Finding`] reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// There are no queues, so every request is refused.
    NoQueues,
    /// Version 0 counts as the absence of a table and never takes effect.
    VersionZero,
    /// The version is not higher than that in force, so the table would change nothing.
    VersionNotHigher {
        /// Version in force.
        in_force: u64,
    },
    /// There are tenants, and all queues are public: no job belongs to a tenant.
    TenantsNeverApply,
    /// Only requests that name no host match.
    HostEmpty,
    /// No request matches, since the port is removed from the host that a request names.
    HostWithPort,
    /// No path matches, since each begins with a slash.
    PrefixWithoutSlash,
    /// No path matches, since none contains a question mark, `#`, white space or control characters.
    PrefixNotAPath,
    /// Every path that matches also matches a longer prefix.
    PrefixShadowed {
        /// Queue with the longer prefix.
        by: String,
    },
    /// No queue names the service.
    ServiceUnused,
    /// The tenant has no keys, so that no job can be submitted for it.
    TenantWithoutKeys,
    /// Keys that no request can carry: they are empty, begin or end with white space, or contain
    /// control characters.
    KeysUnusable {
        /// Number of such keys.
        count: usize,
    },
    /// The tenant has no share when capacity is short, and its rate of jobs is 0.
    WeightZero,
    /// At most single tasks fit under the cap, or a wrong unit was used.
    CapLow {
        /// Resource.
        field: Field,
        /// Limit.
        limit: u32,
        /// Limit from which on there is no finding.
        usual: u32,
    },
    /// No attempt counts as one attempt.
    AttemptsZero,
    /// Even a job whose tasks take no time is late because of the call for advice.
    ObjectiveBelowAdvice {
        /// Objective of such a job, in microseconds.
        objective_us: u64,
        /// Time of one call for advice, in microseconds.
        advice_us: u64,
        /// Workers named in the call.
        workers: u64,
    },
    /// Each job is late, since its objective is shorter than its run time.
    ObjectiveBelowRunTime,
    /// Each ticket has expired when it arrives.
    TicketValidityZero,
    /// The table holds another number than the one given.
    NumberRounded {
        /// Field.
        field: Field,
        /// Number as given.
        given: String,
        /// Number that the table holds.
        used: String,
    },
}

impl Problem {
    /// Returns the stable name of the problem in output for programs.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::NoQueues => "no_routes",
            Self::VersionZero => "version_zero",
            Self::VersionNotHigher { .. } => "version_not_higher",
            Self::TenantsNeverApply => "tenants_never_apply",
            Self::HostEmpty => "host_empty",
            Self::HostWithPort => "host_with_port",
            Self::PrefixWithoutSlash => "prefix_without_slash",
            Self::PrefixNotAPath => "prefix_not_a_path",
            Self::PrefixShadowed { .. } => "prefix_shadowed",
            Self::ServiceUnused => "service_unused",
            Self::TenantWithoutKeys => "tenant_without_keys",
            Self::KeysUnusable { .. } => "keys_unusable",
            Self::WeightZero => "weight_zero",
            Self::CapLow { .. } => "cap_low",
            Self::AttemptsZero => "attempts_zero",
            Self::ObjectiveBelowAdvice { .. } => "objective_below_advice",
            Self::ObjectiveBelowRunTime => "objective_below_run_time",
            Self::TicketValidityZero => "ticket_validity_zero",
            Self::NumberRounded { .. } => "number_rounded",
        }
    }
}

/// Returns the findings about a table, in the order table, queues, services, tenants, rounded
/// numbers. `in_force_version` is the version that the table would replace, if known.
#[must_use]
pub fn check_table(declared: &DeclaredTable, in_force_version: Option<u64>) -> Vec<Finding> {
    let table = &declared.table;
    let mut findings = Vec::new();
    let mut add = |entry: &TableEntry, problem| {
        findings.push(Finding {
            entry: entry.clone(),
            problem,
        });
    };
    for problem in problems_of_table(table, in_force_version) {
        add(&TableEntry::Table, problem);
    }
    for row in &table.rows {
        let entry = TableEntry::Queue(row.name.clone());
        for problem in address_problems(table, row)
            .into_iter()
            .chain(limit_problems(row))
        {
            add(&entry, problem);
        }
    }
    for service in &declared.services {
        if !table.rows.iter().any(|row| row.service == *service) {
            add(
                &TableEntry::Service(service.clone()),
                Problem::ServiceUnused,
            );
        }
    }
    for tenant in &table.tenants {
        for problem in problems_of_tenant(tenant) {
            add(&TableEntry::Tenant(tenant.name.clone()), problem);
        }
    }
    for (tenant, count) in &declared.unusable_keys {
        let problem = Problem::KeysUnusable { count: *count };
        add(&TableEntry::Tenant(tenant.clone()), problem);
    }
    for number in &declared.rounded {
        let problem = Problem::NumberRounded {
            field: number.field,
            given: number.given.clone(),
            used: number.used.clone(),
        };
        add(&number.entry, problem);
    }
    findings
}

fn problems_of_table(table: &QueueTable, in_force_version: Option<u64>) -> Vec<Problem> {
    let mut problems = Vec::new();
    if table.version == 0 {
        problems.push(Problem::VersionZero);
    } else if let Some(in_force) = in_force_version.filter(|version| table.version <= *version) {
        problems.push(Problem::VersionNotHigher { in_force });
    }
    if table.rows.is_empty() {
        problems.push(Problem::NoQueues);
    } else if !table.tenants.is_empty() && table.rows.iter().all(|row| row.public) {
        problems.push(Problem::TenantsNeverApply);
    }
    problems
}

fn address_problems(table: &QueueTable, row: &QueueRow) -> Vec<Problem> {
    let mut problems = Vec::new();
    if row.host.is_empty() {
        problems.push(Problem::HostEmpty);
    }
    if row.host.contains(':') {
        problems.push(Problem::HostWithPort);
    }
    let prefix = row.path_prefix.as_str();
    if !prefix.is_empty() && !prefix.starts_with('/') {
        problems.push(Problem::PrefixWithoutSlash);
    }
    let not_in_paths = |c: char| matches!(c, '?' | '#') || c.is_whitespace() || c.is_control();
    if prefix.contains(not_in_paths) {
        problems.push(Problem::PrefixNotAPath);
    }
    // Each path begins with a slash, so this is the only case in which the longest matching prefix
    // is never the shorter one. Any other longer prefix leaves some paths to the shorter one.
    let root = table
        .rows
        .iter()
        .find(|other| other.host == row.host && other.path_prefix == "/");
    if let Some(root) = root.filter(|_| prefix.is_empty()) {
        let by = root.name.clone();
        problems.push(Problem::PrefixShadowed { by });
    }
    problems
}

fn limit_problems(row: &QueueRow) -> Vec<Problem> {
    let mut problems = Vec::new();
    if row.max_attempts == 0 {
        problems.push(Problem::AttemptsZero);
    }
    // The objective is the slack times the longest chain of work, which includes the call for
    // advice, plus the target.
    let advice_us = advice_us(row);
    let objective_us = (advice_us.saturating_mul(row.slack_permille) / 1_000)
        .saturating_add(row.target_ms.saturating_mul(1_000));
    if objective_us < advice_us {
        problems.push(Problem::ObjectiveBelowAdvice {
            objective_us,
            advice_us,
            workers: ADVICE_WORKERS,
        });
    } else if row.slack_permille < 1_000 && row.target_ms == 0 {
        problems.push(Problem::ObjectiveBelowRunTime);
    }
    if row.advice.is_some_and(|cost| cost.ticket_valid_ms == 0) {
        problems.push(Problem::TicketValidityZero);
    }
    problems
}

fn problems_of_tenant(tenant: &TenantRow) -> Vec<Problem> {
    let mut problems = Vec::new();
    if tenant.api_keys.is_empty() {
        problems.push(Problem::TenantWithoutKeys);
    }
    if tenant.weight_permille == 0 {
        problems.push(Problem::WeightZero);
    }
    let Demand {
        cpu_millicores,
        memory_mib,
        accelerators: _,
    } = tenant.cap;
    let limits = [
        (Field::CapCpu, cpu_millicores, LOW_CAP_CPU_MILLICORES),
        (Field::CapMemory, memory_mib, LOW_CAP_MEMORY_MIB),
    ];
    for (field, limit, usual) in limits {
        // 0 means no limit.
        if (1..usual).contains(&limit) {
            problems.push(Problem::CapLow {
                field,
                limit,
                usual,
            });
        }
    }
    problems
}

/// How an entry differs between two tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// Only the new table has the entry.
    Added,
    /// Only the old table has the entry.
    Removed,
    /// Both tables have the entry, with different fields.
    Changed,
}

/// An entry that differs between two tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// The entry, under its new name.
    pub entry: TableEntry,
    /// How it differs.
    pub kind: ChangeKind,
    /// Fields that differ; empty unless the entry is changed.
    pub fields: Vec<FieldChange>,
    /// Number of API keys that only the new table has for the tenant.
    pub keys_added: usize,
    /// Number of API keys that only the old table has for the tenant.
    pub keys_withdrawn: usize,
}

/// A field that differs between two tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// The field.
    pub field: FieldName,
    /// Old value; `None` if it is absent or not shown.
    pub from: Option<String>,
    /// New value; `None` if it is absent or not shown.
    pub to: Option<String>,
}

/// Name of a field that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FieldName {
    /// Field that the table holds.
    Known(Field),
    /// Name of a value that the table does not hold.
    Other(String),
}

/// Returns the entries that differ, in the order queues, services, tenants, limits, and each of
/// them with the removed ones last.
#[must_use]
pub fn differences(old: &DeclaredTable, new: &DeclaredTable) -> Vec<Difference> {
    let mut differences = queue_differences(old, new);
    let entry = |name: &String| TableEntry::Service(name.clone());
    for name in &new.services {
        if old.services.contains(name) {
            let change = (entry(name), entry(name));
            differences.extend(Difference::changed(&change, Vec::new(), old, new));
        } else {
            differences.push(Difference::whole(entry(name), ChangeKind::Added));
        }
    }
    let removed = old
        .services
        .iter()
        .filter(|name| !new.services.contains(name));
    differences.extend(removed.map(|name| Difference::whole(entry(name), ChangeKind::Removed)));
    differences.extend(tenant_differences(old, new));
    let limits = (TableEntry::Limits, TableEntry::Limits);
    differences.extend(Difference::changed(&limits, Vec::new(), old, new));
    differences
}

impl Difference {
    fn whole(entry: TableEntry, kind: ChangeKind) -> Self {
        Self {
            entry,
            kind,
            fields: Vec::new(),
            keys_added: 0,
            keys_withdrawn: 0,
        }
    }

    /// Returns the difference of an entry that both tables have under an old and a new name, with
    /// its values that the tables do not hold; `None` if nothing differs.
    fn changed(
        (old_entry, new_entry): &(TableEntry, TableEntry),
        mut fields: Vec<FieldChange>,
        old: &DeclaredTable,
        new: &DeclaredTable,
    ) -> Option<Self> {
        fields.extend(other_changes(
            &old.others(old_entry),
            &new.others(new_entry),
        ));
        (!fields.is_empty()).then(|| Self {
            fields,
            ..Self::whole(new_entry.clone(), ChangeKind::Changed)
        })
    }
}

impl DeclaredTable {
    fn tenant(&self, name: &str) -> Option<&TenantRow> {
        let mut tenants = self.table.tenants.iter();
        tenants.find(|tenant| tenant.name == name)
    }

    fn others(&self, entry: &TableEntry) -> Vec<&OtherValue> {
        let values = self.other_values.iter();
        values.filter(|value| value.entry == *entry).collect()
    }
}

fn other_changes(old: &[&OtherValue], new: &[&OtherValue]) -> Vec<FieldChange> {
    let mut names: Vec<&str> = old
        .iter()
        .chain(new)
        .map(|value| value.name.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    // Entries and fields that share a name have several values.
    let find = |values: &[&OtherValue], name: &str| -> Vec<(String, bool)> {
        let found = values.iter().filter(|value| value.name == name);
        found
            .map(|value| (value.value.clone(), value.shown))
            .collect()
    };
    let shown = |values: &[(String, bool)]| match values {
        [(value, true)] => Some(value.clone()),
        _ => None,
    };
    let change = |name: &str| {
        let (from, to) = (find(old, name), find(new, name));
        (from != to).then(|| FieldChange {
            field: FieldName::Other(name.to_owned()),
            from: shown(&from),
            to: shown(&to),
        })
    };
    names.into_iter().filter_map(change).collect()
}

fn has_same_address(a: &QueueRow, b: &QueueRow) -> bool {
    a.host == b.host && a.path_prefix == b.path_prefix
}

/// Pairs each new queue with the old one that has its name and address, its name, or its address.
fn queue_differences(old: &DeclaredTable, new: &DeclaredTable) -> Vec<Difference> {
    type Rule = fn(&QueueRow, &QueueRow) -> bool;
    let rules: [Rule; 3] = [
        |a, b| a.name == b.name && has_same_address(a, b),
        |a, b| a.name == b.name,
        has_same_address,
    ];
    let mut unpaired: Vec<&QueueRow> = old.table.rows.iter().collect();
    let mut pairs: Vec<Option<&QueueRow>> = vec![None; new.table.rows.len()];
    for rule in rules {
        for (row, pair) in new.table.rows.iter().zip(&mut pairs) {
            if pair.is_none()
                && let Some(at) = unpaired.iter().position(|other| rule(row, other))
            {
                *pair = Some(unpaired.remove(at));
            }
        }
    }
    let entry = |row: &QueueRow| TableEntry::Queue(row.name.clone());
    let mut differences = Vec::new();
    for (row, pair) in new.table.rows.iter().zip(pairs) {
        match pair {
            None => differences.push(Difference::whole(entry(row), ChangeKind::Added)),
            Some(before) => {
                let fields = field_changes(&queue_fields(before), &queue_fields(row));
                let change = (entry(before), entry(row));
                differences.extend(Difference::changed(&change, fields, old, new));
            }
        }
    }
    let removed = unpaired.into_iter();
    differences.extend(removed.map(|row| Difference::whole(entry(row), ChangeKind::Removed)));
    differences
}

fn tenant_differences(old: &DeclaredTable, new: &DeclaredTable) -> Vec<Difference> {
    let entry = |tenant: &TenantRow| TableEntry::Tenant(tenant.name.clone());
    let missing = |keys: &[ApiKeyDigest], among: &[ApiKeyDigest]| {
        keys.iter().filter(|key| !among.contains(key)).count()
    };
    let mut differences = Vec::new();
    for tenant in &new.table.tenants {
        let before = old.tenant(&tenant.name);
        let empty = TenantRow::default();
        let keys = &before.unwrap_or(&empty).api_keys;
        let keys_added = missing(&tenant.api_keys, keys);
        let keys_withdrawn = missing(keys, &tenant.api_keys);
        let difference = match before {
            None => Some(Difference::whole(entry(tenant), ChangeKind::Added)),
            Some(before) => {
                let fields = field_changes(&tenant_fields(before), &tenant_fields(tenant));
                let change = (entry(tenant), entry(tenant));
                let changed = Difference::changed(&change, fields, old, new);
                let whole = || Difference::whole(entry(tenant), ChangeKind::Changed);
                let keys_changed = keys_added + keys_withdrawn > 0;
                changed.or_else(|| keys_changed.then(whole))
            }
        };
        differences.extend(difference.map(|difference| Difference {
            keys_added,
            keys_withdrawn,
            ..difference
        }));
    }
    for tenant in &old.table.tenants {
        if new.tenant(&tenant.name).is_none() {
            differences.push(Difference {
                keys_withdrawn: tenant.api_keys.len(),
                ..Difference::whole(entry(tenant), ChangeKind::Removed)
            });
        }
    }
    differences
}

type FieldValue = (Field, Option<String>);

fn field_changes(old: &[FieldValue], new: &[FieldValue]) -> Vec<FieldChange> {
    let pairs = old.iter().zip(new);
    let changed = pairs.filter(|(from, to)| from.1 != to.1);
    let change = |(from, to): (&FieldValue, &FieldValue)| FieldChange {
        field: FieldName::Known(from.0),
        from: from.1.clone(),
        to: to.1.clone(),
    };
    changed.map(change).collect()
}

fn queue_fields(row: &QueueRow) -> Vec<FieldValue> {
    let quoted = |text: &str| Some(format!("{text:?}"));
    let advice = row.advice.as_ref();
    vec![
        (Field::Name, quoted(&row.name)),
        (Field::Host, quoted(&row.host)),
        (Field::PathPrefix, quoted(&row.path_prefix)),
        (Field::Service, quoted(&row.service)),
        (Field::Priority, Some(row.priority.to_string())),
        (Field::MaxAttempts, Some(row.max_attempts.to_string())),
        (Field::Slack, Some(format_thousandths(row.slack_permille))),
        (Field::Target, Some(row.target_ms.to_string())),
        (
            Field::AdviceCall,
            advice.map(|cost| format_thousandths(cost.call_us)),
        ),
        (
            Field::AdvicePerWorker,
            advice.map(|cost| format_thousandths(cost.per_worker_us)),
        ),
        (
            Field::TicketValidity,
            advice.map(|cost| cost.ticket_valid_ms.to_string()),
        ),
        (Field::Public, Some(row.public.to_string())),
    ]
}

fn tenant_fields(tenant: &TenantRow) -> Vec<FieldValue> {
    let cap = &tenant.cap;
    vec![
        (
            Field::Weight,
            Some(format_thousandths(tenant.weight_permille)),
        ),
        (Field::CapCpu, Some(cap.cpu_millicores.to_string())),
        (Field::CapMemory, Some(cap.memory_mib.to_string())),
        (Field::CapAccelerators, Some(cap.accelerators.to_string())),
    ]
}

/// Formats a number of thousandths as a decimal number without trailing zeros.
#[must_use]
pub fn format_thousandths(value: u64) -> String {
    let text = format!("{}.{:03}", value / 1_000, value % 1_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
