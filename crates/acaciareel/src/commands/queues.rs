//! Command `queues check`.

use std::{fs, path::Path};

use acaciareel_cell::{
    ChangeKind, DeclaredTable, Difference, Field, FieldName, Finding, Problem, TableEntry,
    check_table, differences, format_thousandths,
};
use acaciareel_platform::{BodyError, queues};
use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

use crate::{
    cli::{CheckQueues, QueuesCommand},
    error::{CliError, CliResult},
    exit_codes::ExitCode,
    output::Output,
};

/// Runs a subcommand of `queues`.
pub fn run(command: &QueuesCommand, json: bool) -> CliResult<Output> {
    match command {
        QueuesCommand::Check(args) => check(args, json),
    }
}

fn check(args: &CheckQueues, json: bool) -> CliResult<Output> {
    let in_force = match &args.in_force {
        Some(file) => Some(read(file)?.map_err(|error| invalid(file, &error))?),
        None => None,
    };
    let declared = match read(&args.file)? {
        Ok(declared) => declared,
        Err(error) if json => {
            let body = json!({ "valid": false, "error": error.to_string() });
            return Ok(Output::json(&body)?.with_code(ExitCode::Error));
        }
        Err(error) => return Err(invalid(&args.file, &error)),
    };
    let version = in_force.as_ref().map(|in_force| in_force.table.version);
    let findings = check_table(&declared, version);
    let differences = in_force.map(|in_force| differences(&in_force, &declared));
    let code = if findings.is_empty() {
        ExitCode::Ok
    } else {
        ExitCode::Warnings
    };
    let output = if json {
        Output::json(&json!({
            "valid": true,
            "version": declared.table.version,
            "routes": declared.table.rows.len(),
            "services": declared.services.len(),
            "tenants": declared.table.tenants.len(),
            "warnings": findings.iter().map(finding_json).collect::<Vec<_>>(),
            "in_force_version": version,
            "differences": differences
                .as_ref()
                .map(|list| list.iter().map(difference_json).collect::<Vec<_>>()),
        }))?
    } else {
        Output::text(report_text(
            &declared,
            &findings,
            version.zip(differences.as_deref()),
        ))
    };
    Ok(output.with_code(code))
}

/// Reads and decodes a configuration. The outer error is one of the file, the inner one is that of
/// the leader.
fn read(file: &Path) -> CliResult<Result<DeclaredTable, BodyError>> {
    let body = fs::read(file)
        .change_context_lazy(|| CliError::general(format!("cannot read {}", file.display())))?;
    Ok(queues::decode_declared(&body))
}

fn invalid(file: &Path, error: &BodyError) -> Report<CliError> {
    Report::new(CliError::general(format!("{}: {error}", file.display())))
}

fn report_text(
    declared: &DeclaredTable,
    findings: &[Finding],
    in_force: Option<(u64, &[Difference])>,
) -> String {
    let table = &declared.table;
    let mut lines = vec![format!(
        "version {}: {} routes, {} services, {} tenants: no errors, {} warnings",
        table.version,
        table.rows.len(),
        declared.services.len(),
        table.tenants.len(),
        findings.len()
    )];
    lines.extend(findings.iter().map(|finding| {
        let (entry, text) = (entry_text(&finding.entry), problem_text(&finding.problem));
        format!("warning: {entry}: {text} [{}]", finding.problem.code())
    }));
    if let Some((version, differences)) = in_force {
        lines.push(format!(
            "{} entries differ from version {version}",
            differences.len()
        ));
        lines.extend(differences.iter().flat_map(difference_lines));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn entry_text(entry: &TableEntry) -> String {
    match entry {
        TableEntry::Table => "configuration".to_owned(),
        TableEntry::Queue(name) => format!("route {name:?}"),
        TableEntry::Service(name) => format!("service {name:?}"),
        TableEntry::Tenant(name) => format!("tenant {name:?}"),
        TableEntry::Limits => "limits".to_owned(),
    }
}

fn entry_json(entry: &TableEntry) -> Value {
    let (kind, name) = match entry {
        TableEntry::Table => ("configuration", None),
        TableEntry::Queue(name) => ("route", Some(name)),
        TableEntry::Service(name) => ("service", Some(name)),
        TableEntry::Tenant(name) => ("tenant", Some(name)),
        TableEntry::Limits => ("limits", None),
    };
    json!({ "kind": kind, "name": name })
}

fn finding_json(finding: &Finding) -> Value {
    json!({
        "code": finding.problem.code(),
        "entry": entry_json(&finding.entry),
        "text": problem_text(&finding.problem),
    })
}

fn problem_text(problem: &Problem) -> String {
    let name = queues::field_name;
    match problem {
        Problem::NoQueues => "there are no routes, so every request is refused".to_owned(),
        Problem::VersionZero => "version 0 never takes effect".to_owned(),
        Problem::VersionNotHigher { in_force } => {
            format!("the version is not higher than {in_force}, so that nothing would change")
        }
        Problem::TenantsNeverApply => {
            "all routes are public, so that no job belongs to a tenant and no cap applies"
                .to_owned()
        }
        Problem::HostEmpty => "the host is empty and matches only requests without one".to_owned(),
        Problem::HostWithPort => {
            "the host never matches: the port is removed from the host of a request".to_owned()
        }
        Problem::PrefixWithoutSlash => {
            "path_prefix never matches: it does not begin with a slash".to_owned()
        }
        Problem::PrefixNotAPath => "path_prefix never matches: it contains characters that \
                                    no path contains (white space, control characters, ? or #)"
            .to_owned(),
        Problem::PrefixShadowed { by } => {
            format!("path_prefix never matches: every path also matches route {by:?}")
        }
        Problem::ServiceUnused => "no route names the service".to_owned(),
        Problem::TenantWithoutKeys => {
            "the tenant has no API keys, so that no job can be submitted for it".to_owned()
        }
        Problem::KeysUnusable { count } => format!(
            "{count} API keys can never match: they are empty, begin or end with white space, \
             or contain control characters"
        ),
        Problem::WeightZero => {
            "weight is 0: no share when capacity is short, and no rate of jobs".to_owned()
        }
        Problem::CapLow {
            field,
            limit,
            usual,
        } => low_cap_text(*field, *limit, *usual),
        Problem::AttemptsZero => "max_attempts is 0 and counts as 1".to_owned(),
        Problem::ObjectiveBelowAdvice {
            objective_us,
            advice_us,
            workers,
        } => format!(
            "every job is late: its objective without run time is {} ms, and a call of the policy \
             service on {workers} workers takes {} ms",
            format_thousandths(*objective_us),
            format_thousandths(*advice_us)
        ),
        Problem::ObjectiveBelowRunTime => format!(
            "every job is late: {} is below 1 and {} is 0",
            name(Field::Slack),
            name(Field::Target)
        ),
        Problem::TicketValidityZero => format!(
            "{} is 0: each ticket has expired when it arrives",
            name(Field::TicketValidity)
        ),
        Problem::NumberRounded { field, given, used } => {
            format!("{} = {given} is used as {used}", name(*field))
        }
    }
}

fn low_cap_text(field: Field, limit: u32, usual: u32) -> String {
    let unit = match field {
        Field::CapCpu => "thousandths of a core",
        _ => "units of 2^20 bytes",
    };
    format!(
        "{} = {limit} is below {usual} {unit}: larger tasks run only one at a time, and most \
         gangs of them are refused",
        queues::field_name(field)
    )
}

fn field_name(field: &FieldName) -> &str {
    match field {
        FieldName::Known(field) => queues::field_name(*field),
        FieldName::Other(name) => name,
    }
}

fn change_name(kind: ChangeKind) -> &'static str {
    match kind {
        ChangeKind::Added => "added",
        ChangeKind::Removed => "removed",
        ChangeKind::Changed => "changed",
    }
}

fn difference_lines(difference: &Difference) -> Vec<String> {
    let entry = entry_text(&difference.entry);
    let mut lines = Vec::new();
    if difference.kind != ChangeKind::Changed {
        lines.push(format!("{entry}: {}", change_name(difference.kind)));
    }
    for change in &difference.fields {
        let name = field_name(&change.field);
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        lines.push(match (&change.from, &change.to) {
            (None, None) => format!("{entry}: {name} changed"),
            (from, to) => format!("{entry}: {name} {} -> {}", shown(from), shown(to)),
        });
    }
    if difference.keys_added + difference.keys_withdrawn > 0 {
        lines.push(format!(
            "{entry}: {} API keys added, {} withdrawn",
            difference.keys_added, difference.keys_withdrawn
        ));
    }
    lines
}

fn difference_json(difference: &Difference) -> Value {
    let fields = difference.fields.iter().map(
        |change| json!({ "name": field_name(&change.field), "from": change.from, "to": change.to }),
    );
    json!({
        "change": change_name(difference.kind),
        "entry": entry_json(&difference.entry),
        "fields": fields.collect::<Vec<_>>(),
        "keys_added": difference.keys_added,
        "keys_withdrawn": difference.keys_withdrawn,
    })
}
