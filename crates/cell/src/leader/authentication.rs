//! Authentication of callers by API key, and the check that a job belongs to the caller's tenant.
//!
//! Only the leader decides, by the queue table in force. A request therefore meets a new or revoked
//! key as soon as the table is acknowledged, whichever entry VM it comes through.

use super::Leader;
use crate::{
    ApiKeyDigest, CallerReply, CellState, Effect, JobId, Origin, QueueRow, QueueTable, io::Io,
};

#[cfg(test)]
mod tests;

/// Tenants by API key, for the queue table of one version. A scan of all tenants for each request
/// would take longer than the request itself with hundreds of tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyIndex {
    /// Version of the table; 0 before the first update.
    version: u64,
    /// Digests, sorted, each with the position of its tenant in the table.
    tenants: Vec<(ApiKeyDigest, usize)>,
}

/// Why a caller may not make a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AccessError {
    /// The queue requires a key, and the caller sent none or one that no tenant has.
    UnknownKey,
    /// The job belongs to another tenant.
    ForeignJob,
}

impl KeyIndex {
    /// Rebuilds the index if the table has changed. Each table has a version of its own.
    pub fn update(&mut self, table: &QueueTable) {
        if self.version == table.version {
            return;
        }
        let tenants = table.tenants.iter().enumerate();
        let tenants =
            tenants.flat_map(|(at, tenant)| tenant.api_keys.iter().map(move |k| (*k, at)));
        self.tenants = tenants.collect();
        self.tenants.sort_unstable();
        self.version = table.version;
    }

    /// Returns the name of the tenant that has a key.
    fn tenant_of<'a>(&self, table: &'a QueueTable, key: &ApiKeyDigest) -> Option<&'a str> {
        let at = self.tenants.binary_search_by(|(known, _)| known.cmp(key));
        let (_, tenant) = self.tenants[at.ok()?];
        Some(table.tenants.get(tenant)?.name.as_str())
    }
}

/// Checks a request against a queue and against the tenant that owns the job that it names.
/// `tenant` is the one whose key the caller sent. Returns the tenant that owns a job submitted by
/// this request.
///
/// `owner` is `None` if there is no such job, and for a job without a tenant. Such a job is
/// accessible to every caller of a queue: it was submitted to a public queue, or before there were
/// tenants, and its caller may have a key only since then.
fn check_access<'a>(
    table: &QueueTable,
    queue: &QueueRow,
    tenant: Option<&'a str>,
    owner: Option<&str>,
) -> Result<Option<&'a str>, AccessError> {
    let requires_key = !queue.public && !table.tenants.is_empty();
    if requires_key && tenant.is_none() {
        return Err(AccessError::UnknownKey);
    }
    if owner.is_some() && tenant != owner {
        return Err(AccessError::ForeignJob);
    }
    Ok(tenant.filter(|_| requires_key))
}

impl Leader {
    /// Checks whether a caller may make a request, and otherwise logs and refuses it. Returns the
    /// tenant that owns a job submitted by the request.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused.
    pub(super) fn authorize<'a>(
        &mut self,
        state: &'a CellState,
        origin: Origin,
        queue: &QueueRow,
        api_key: Option<ApiKeyDigest>,
        job: Option<JobId>,
        io: &mut Io<'_>,
    ) -> Result<Option<&'a str>, AccessError> {
        let table = state.queues();
        self.key_index.update(table);
        let tenant = api_key.and_then(|key| self.key_index.tenant_of(table, &key));
        let owner = job.and_then(|id| self.owner_of(state, id));
        let checked = check_access(table, queue, tenant, owner);
        let Err(error) = checked else {
            return checked;
        };
        let (reply, reason) = match error {
            AccessError::UnknownKey => (CallerReply::UnknownKey, "unknown_key"),
            AccessError::ForeignJob => (CallerReply::ForeignJob, "foreign_job"),
        };
        let tenant = tenant.unwrap_or("unknown").to_owned();
        let labels = vec![
            ("reason", reason.to_owned()),
            ("tenant", tenant),
            ("queue", queue.name.clone()),
        ];
        let mut fields = labels.clone();
        if let Some(id) = job {
            fields.push(("job", id.to_string()));
        }
        fields.push(("queues_version", table.version.to_string()));
        io.log("access_refused", fields);
        io.effect(Effect::Count {
            name: "access_refused_total",
            labels,
        });
        io.reply_caller(origin, reply);
        Err(error)
    }

    /// Returns the tenant that owns a job, which is stored or being committed.
    fn owner_of<'a>(&'a self, state: &'a CellState, id: JobId) -> Option<&'a str> {
        if let Some(job) = state.job(id) {
            return job.tenant.as_deref();
        }
        self.pending_submits.get(&id)?.tenant.as_deref()
    }
}
