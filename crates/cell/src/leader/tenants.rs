//! Usage of the tenants, counted from the runs on all workers, and their standing in a pass.
//!
//! Each run carries its tenant and full demand ([`Charge`]). A worker whose runs changed is marked
//! ([`WorkerView::usage_changed`]) and counted again before the next decision, so that no path that
//! adds or removes runs has counters of its own.

use acaciareel_types::SortedVec;

use super::{Leader, worker::WorkerView};
use crate::{
    ApiKeyDigest, CellState, Demand, Job, JobSpec, QueueRow, StepKey, StepSpec, TenantRow,
    WorkerNumber,
    tenants::{
        Cap, Class, Standing, Timeliness, Totals, class, dominant_share_ppm, entitlement_ppm,
        tasks_below_share,
    },
};

/// Number of a tenant name in one leader's memory. Numbers are not reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TenantNumber(u32);

/// What a run counts for its tenant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Charge {
    pub tenant: TenantNumber,
    /// Full demand, also of tasks that use spare processor time.
    pub demand: Demand,
}

/// Usage of the tenants on one worker, as it was last added to the sums.
#[derive(Debug, Default)]
struct WorkerUsage {
    service: usize,
    by_tenant: Vec<(TenantNumber, Totals)>,
}

/// Usage and work of a tenant in one service.
#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    running: Totals,
    /// Capacity that this pass has set aside for the tenant without placing a run.
    reserved: Totals,
    /// Whether steps of the tenant wait in this pass.
    waiting: bool,
}

/// State of one tenant.
#[derive(Debug, Default)]
struct TenantState {
    /// Usage by position of the service.
    services: Vec<ServiceUsage>,
    /// Gang that waits for room under the cap in this pass.
    waiting_gang: Totals,
}

impl TenantState {
    fn service(&mut self, service: usize) -> &mut ServiceUsage {
        if self.services.len() <= service {
            self.services
                .resize_with(service + 1, ServiceUsage::default);
        }
        &mut self.services[service]
    }

    /// Returns the usage in all services, with what this pass has reserved.
    fn total(&self) -> Totals {
        let services = self.services.iter();
        services.fold(Totals::default(), |sum, usage| {
            sum.plus(&usage.running).plus(&usage.reserved)
        })
    }
}

/// Capacity of a service and the weights of the tenants with work in it, in this pass.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    capacity: Totals,
    weight_sum_permille: u64,
}

/// Usage of all tenants.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    numbers: SortedVec<String, TenantNumber>,
    services: Vec<String>,
    tenants: Vec<TenantState>,
    by_worker: SortedVec<WorkerNumber, WorkerUsage>,
    /// By position of the service; computed at the start of each pass.
    shares: Vec<ServiceShares>,
}

impl Tenants {
    /// Returns what a run of a job with this demand counts; `None` if the job has no tenant.
    pub fn charge(&mut self, job: &Job, demand: Demand) -> Option<Charge> {
        let tenant = self.intern(job.tenant.as_ref()?);
        Some(Charge { tenant, demand })
    }

    fn intern(&mut self, name: &str) -> TenantNumber {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = TenantNumber(u32::try_from(self.tenants.len()).unwrap_or(u32::MAX));
        self.numbers.insert(name.to_owned(), number);
        self.tenants.push(TenantState::default());
        number
    }

    fn service(&mut self, name: &str) -> usize {
        let known = self.services.iter().position(|known| known == name);
        known.unwrap_or_else(|| {
            self.services.push(name.to_owned());
            self.services.len() - 1
        })
    }

    fn tenant(&self, name: &str) -> Option<&TenantState> {
        let number = self.numbers.get(name)?;
        self.tenants.get(number.0 as usize)
    }

    fn tenant_mut(&mut self, number: TenantNumber) -> Option<&mut TenantState> {
        self.tenants.get_mut(number.0 as usize)
    }

    /// Counts the runs of a worker again.
    fn recount(&mut self, view: &mut WorkerView) {
        view.usage_changed = false;
        let service = self.service(&view.record.service);
        let mut by_tenant: Vec<(TenantNumber, Totals)> = Vec::new();
        for charge in view.runs.values().filter_map(|run| run.charge) {
            let usage = Totals::of(&charge.demand, 1);
            match by_tenant.iter_mut().find(|(t, _)| *t == charge.tenant) {
                Some((_, sum)) => sum.add(&usage),
                None => by_tenant.push((charge.tenant, usage)),
            }
        }
        self.remove_worker(view.number);
        for (tenant, usage) in &by_tenant {
            if let Some(tenant) = self.tenant_mut(*tenant) {
                tenant.service(service).running.add(usage);
            }
        }
        if !by_tenant.is_empty() {
            let counted = WorkerUsage { service, by_tenant };
            self.by_worker.insert(view.number, counted);
        }
    }

    /// Removes the usage of a worker's runs.
    pub fn remove_worker(&mut self, number: WorkerNumber) {
        let counted = self.by_worker.remove(&number).unwrap_or_default();
        for (tenant, usage) in &counted.by_tenant {
            if let Some(tenant) = self.tenant_mut(*tenant) {
                tenant.service(counted.service).running.subtract(usage);
            }
        }
    }
}

/// Returns the row of a tenant; `None` if the table in force does not have it.
fn row<'a>(state: &'a CellState, name: &str) -> Option<&'a TenantRow> {
    let rows = &state.queues().tenants;
    let at = rows.binary_search_by(|row| row.name.as_str().cmp(name));
    at.ok().map(|at| &rows[at])
}

/// Returns whether the table in force has tenants, so that caps and shares apply.
pub(super) fn are_in_force(state: &CellState) -> bool {
    !state.queues().tenants.is_empty()
}

/// Returns the name of the tenant that a caller's key belongs to.
pub(super) fn tenant_of_key(
    state: &CellState,
    queue: &QueueRow,
    key: Option<&ApiKeyDigest>,
) -> Option<String> {
    let (false, Some(key)) = (queue.public, key) else {
        return None;
    };
    let mut rows = state.queues().tenants.iter();
    let owner = rows.find(|row| row.api_keys.binary_search(key).is_ok());
    owner.map(|row| row.name.clone())
}

impl Leader {
    /// Counts the runs on the workers whose runs have changed.
    pub(super) fn recount_changed_workers(&mut self) {
        for (_, view) in self.workers.iter_mut() {
            if view.usage_changed {
                self.tenants.recount(view);
            }
        }
    }

    /// Counts the runs of one worker.
    pub(super) fn recount_worker(&mut self, number: WorkerNumber) {
        if let Some(view) = self.workers.get_mut(&number) {
            self.tenants.recount(view);
        }
    }

    /// Prepares the decisions on tenants in a pass: counts changed runs, and computes the capacity
    /// of each service and the weights of the tenants with work in it.
    pub(super) fn refresh_tenants(&mut self, state: &CellState) {
        if !are_in_force(state) {
            return;
        }
        self.recount_changed_workers();
        for tenant in &mut self.tenants.tenants {
            tenant.waiting_gang = Totals::default();
            for usage in &mut tenant.services {
                usage.reserved = Totals::default();
                usage.waiting = false;
            }
        }
        let waiting = self
            .steps
            .iter()
            .filter(|(_, step)| !step.waiting.is_empty());
        // Steps of one job follow each other, so its tenant is looked up once.
        let mut last_job = None;
        for (key, _) in waiting {
            if last_job.replace(key.job) == Some(key.job) {
                continue;
            }
            let job = state.job(key.job);
            if let Some(job) = job
                && let Some(name) = &job.tenant
            {
                let service = self.tenants.service(&job.queue.service);
                let number = self.tenants.intern(name);
                if let Some(tenant) = self.tenants.tenant_mut(number) {
                    tenant.service(service).waiting = true;
                }
            }
        }
        let tenants = &mut self.tenants;
        tenants.shares.clear();
        tenants
            .shares
            .resize(tenants.services.len(), ServiceShares::default());
        for view in self.workers.values() {
            let service = &view.record.service;
            if let Some(at) = tenants.services.iter().position(|known| known == service)
                && !view.record.draining
                && view.deregistered_ms.is_none()
            {
                let capacity = Totals::of(&view.record.capacity, 1);
                if let Some(shares) = tenants.shares.get_mut(at) {
                    shares.capacity.add(&capacity);
                }
            }
        }
        for row in &state.queues().tenants {
            let Some(number) = tenants.numbers.get(&row.name) else {
                continue;
            };
            let Some(tenant) = tenants.tenants.get(number.0 as usize) else {
                continue;
            };
            for (usage, shares) in tenant.services.iter().zip(&mut tenants.shares) {
                if usage.waiting || usage.running.tasks > 0 {
                    shares.weight_sum_permille += row.weight_permille;
                }
            }
        }
    }

    /// Returns the cap of a tenant by the table in force. A tenant without a row has no limit.
    pub(super) fn cap(&self, state: &CellState, tenant: &str) -> Cap {
        Cap {
            limit: row(state, tenant).map_or_else(Demand::default, |row| row.cap),
            overage_permille: self.bounds.quota_overage_permille,
        }
    }

    /// Returns whether a task or gang of a job can never start under its tenant's cap.
    pub(super) fn is_beyond_cap(&self, state: &CellState, tenant: &str, spec: &JobSpec) -> bool {
        let cap = self.cap(state, tenant);
        let together = |spec: &StepSpec| if spec.gang { spec.tasks } else { 1 };
        let mut steps = spec.steps.iter();
        steps.any(|spec| !cap.can_ever_start(&spec.demand, together(spec)))
    }

    /// Returns how many waiting tasks of a step may start under the cap of the job's tenant.
    pub(super) fn startable_under_cap(
        &self,
        state: &CellState,
        job: &Job,
        spec: &StepSpec,
        tasks: usize,
    ) -> usize {
        let Some(name) = job.tenant.as_ref().filter(|_| are_in_force(state)) else {
            return tasks;
        };
        let tenant = self.tenants.tenant(name);
        let (usage, waiting_gang) = tenant.map_or_else(Default::default, |tenant| {
            (tenant.total(), tenant.waiting_gang)
        });
        let mut cap = self.cap(state, name);
        if waiting_gang.tasks > 0 {
            cap = cap.beside(&waiting_gang);
        }
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        cap.startable(&usage, &spec.demand, tasks, spec.gang) as usize
    }

    /// Keeps later steps of a pass from taking the room under the cap for which a gang waits. They
    /// may still use half of the cap, so that a tenant that holds less is not left idle.
    pub(super) fn hold_room_for_gang(
        &mut self,
        state: &CellState,
        job: &Job,
        spec: &StepSpec,
        tasks: usize,
    ) {
        let Some(name) = &job.tenant else {
            return;
        };
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        if !self.cap(state, name).can_ever_start(&spec.demand, tasks) {
            return;
        }
        let number = self.tenants.intern(name);
        if let Some(tenant) = self.tenants.tenant_mut(number)
            && tenant.waiting_gang.tasks == 0
        {
            tenant.waiting_gang = Totals::of(&spec.demand, tasks);
        }
    }

    /// Counts capacity that a pass has set aside for tasks of a job without placing them.
    pub(super) fn count_reserved(&mut self, job: &Job, spec: &StepSpec, tasks: usize) {
        if let Some(name) = &job.tenant {
            let service = self.tenants.service(&job.queue.service);
            let number = self.tenants.intern(name);
            let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
            if let Some(tenant) = self.tenants.tenant_mut(number) {
                let reserved = Totals::of(&spec.demand, tasks);
                tenant.service(service).reserved.add(&reserved);
            }
        }
    }

    /// Returns the standing of a job's tenant in the job's service; `None` if the job has no tenant
    /// or none are in force.
    fn standing(&self, state: &CellState, job: &Job) -> Option<(Standing, Totals, Totals)> {
        let name = job.tenant.as_ref().filter(|_| are_in_force(state))?;
        let services = &self.tenants.services;
        let service = services.iter().position(|s| *s == job.queue.service);
        let shares = service.and_then(|at| self.tenants.shares.get(at));
        let shares = shares.cloned().unwrap_or_default();
        let tenant = self.tenants.tenant(name);
        let usage = tenant.and_then(|tenant| tenant.services.get(service?));
        let usage = usage.cloned().unwrap_or_default();
        let usage = usage.running.plus(&usage.reserved);
        let weight_permille = row(state, name).map_or(0, |row| row.weight_permille);
        let weight_sum_permille = shares.weight_sum_permille.max(weight_permille);
        let standing = Standing {
            share_ppm: dominant_share_ppm(&usage, &shares.capacity),
            entitlement_ppm: entitlement_ppm(weight_permille, weight_sum_permille),
            over_rate: job.over_rate,
        };
        Some((standing, usage, shares.capacity))
    }

    /// Returns the class of a waiting step.
    pub(super) fn class_of(&self, state: &CellState, job: &Job, timeliness: Timeliness) -> Class {
        let standing = self.standing(state, job);
        class(
            timeliness,
            standing.as_ref().map(|(standing, _, _)| standing),
        )
    }

    /// Returns how many single tasks of a step may start before its class has to be determined
    /// again, because the tenant reaches its entitlement.
    pub(super) fn tasks_until_class_changes(
        &self,
        state: &CellState,
        job: &Job,
        spec: &StepSpec,
        (class, timeliness): (Class, Timeliness),
    ) -> usize {
        match self.standing(state, job) {
            Some((standing, usage, capacity)) if class == Class::Owed && !spec.gang => {
                let below_ppm = standing.owed_below_ppm(timeliness);
                tasks_below_share(&usage, &spec.demand, &capacity, below_ppm) as usize
            }
            _ => usize::MAX,
        }
    }

    /// Returns the number of tasks of a step with a proposed placement.
    pub(super) fn proposed_tasks(&self, key: StepKey) -> usize {
        self.steps.get(&key).map_or(0, |step| step.proposed.len())
    }
}
