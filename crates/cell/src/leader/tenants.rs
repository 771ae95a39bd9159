//! Usage of the tenants, counted from the runs on all workers, and their standing in a pass.
//!
//! Each run carries its tenant and full demand ([`Charge`]). A worker whose runs changed is marked
//! ([`WorkerView::usage_changed`]) and counted again before the next decision, so that no path that
//! adds or removes runs has counters of its own.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, pass::counted_demand, worker::WorkerView};
use crate::{
    CellState, Demand, Effect, Job, JobSpec, QueueRow, StepKey, StepSpec, TenantRow, WorkerNumber,
    admission::{Load, TenantLoad},
    io::Io,
    tenants::{
        Cap, Class, RateWindow, Standing, Timeliness, TokenBucket, Totals, class,
        dominant_share_ppm, entitlement_ppm, tasks_below_share,
    },
};

/// Most tenants of one report in the log. Metrics have all.
const MAX_LOGGED_TENANTS: usize = 20;

/// Number of a tenant name in one leader's memory. Numbers are not reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TenantNumber(u32);

/// Tenant and service that work counts for, the service by its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Account {
    tenant: TenantNumber,
    service: usize,
}

/// What a run counts for its tenant beyond its demand on the worker. Thousands of runs carry it, so
/// it does not repeat the whole demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Charge {
    tenant: TenantNumber,
    /// Spare processor time, which counts for the tenant but not on the worker.
    spare_cpu_millicores: u32,
}

/// Usage of the tenants on one worker, as it was last added to the sums: sum of the demands and
/// number of runs. The runs of one worker fit into 32 bits.
#[derive(Debug, Default)]
struct WorkerUsage {
    service: usize,
    by_tenant: Vec<(TenantNumber, Demand, u32)>,
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

impl ServiceUsage {
    fn is_active(&self) -> bool {
        self.waiting || self.running.tasks > 0
    }
}

/// State of one tenant.
#[derive(Debug, Default)]
struct TenantState {
    /// Usage by position of the service.
    services: Vec<ServiceUsage>,
    /// Gang that waits for room under the cap in this pass.
    waiting_gang: Totals,
    /// Rate of the tenant's jobs; `None` before the first one.
    bucket: Option<TokenBucket>,
    /// Weight by the table in force.
    weight_permille: u64,
    /// Jobs refused by this leader.
    refused: u64,
    /// Value of `refused` at the last report.
    refused_reported: u64,
}

impl TenantState {
    fn service(&mut self, service: usize) -> &mut ServiceUsage {
        if self.services.len() <= service {
            self.services
                .resize_with(service + 1, ServiceUsage::default);
        }
        &mut self.services[service]
    }

    /// Returns the usage in all services.
    fn running(&self) -> Totals {
        let services = self.services.iter();
        services.fold(Totals::default(), |sum, usage| sum.plus(&usage.running))
    }

    /// Returns what this pass has set aside in all services without placing a run.
    fn set_aside(&self) -> Totals {
        let services = self.services.iter();
        services.fold(self.waiting_gang, |sum, usage| sum.plus(&usage.reserved))
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
    states: Vec<TenantState>,
    by_worker: SortedVec<WorkerNumber, WorkerUsage>,
    /// Position of each tenant in the list of the worker that is being counted; `usize::MAX` in
    /// between.
    positions: Vec<usize>,
    /// By position of the service; computed at the start of each pass.
    shares: Vec<ServiceShares>,
    /// Version of the table and number of tenants for which the weights were looked up.
    weights_of: (u64, usize),
}

impl Tenants {
    /// Returns what a run counts for the tenant of its job, if there is one, beyond the demand that
    /// counts on its worker.
    pub fn charge(&mut self, job: &Job, spec: Option<&StepSpec>) -> Option<Charge> {
        let tenant = self.intern(job.tenant.as_ref()?);
        let spare_cpu_millicores = spec.map_or(0, |spec| {
            let counted = counted_demand(spec).cpu_millicores;
            spec.demand.cpu_millicores - counted
        });
        Some(Charge {
            tenant,
            spare_cpu_millicores,
        })
    }

    /// Returns the tenant and the service that a job's work counts for; `None` if the job has no
    /// tenant.
    pub fn account(&mut self, job: &Job) -> Option<Account> {
        let tenant = self.intern(job.tenant.as_ref()?);
        let service = self.service(&job.queue.service);
        Some(Account { tenant, service })
    }

    fn intern(&mut self, name: &str) -> TenantNumber {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = TenantNumber(u32::try_from(self.states.len()).unwrap_or(u32::MAX));
        self.numbers.insert(name.to_owned(), number);
        self.states.push(TenantState::default());
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
        self.states.get(number.0 as usize)
    }

    fn tenant_mut(&mut self, number: TenantNumber) -> Option<&mut TenantState> {
        self.states.get_mut(number.0 as usize)
    }

    /// Looks the weights up if the table or the known tenants have changed.
    fn refresh_weights(&mut self, state: &CellState) {
        let current = (state.queues().version, self.states.len());
        if self.weights_of == current {
            return;
        }
        self.weights_of = current;
        for (name, number) in self.numbers.iter() {
            if let Some(tenant) = self.states.get_mut(number.0 as usize) {
                tenant.weight_permille = row(state, name).map_or(0, |row| row.weight_permille);
            }
        }
    }

    /// Counts the runs of a worker again.
    fn recount(&mut self, view: &mut WorkerView) {
        view.usage_changed = false;
        let service = self.service(&view.record.service);
        let known = self.by_worker.get_mut(&view.number);
        let mut counted = known.map(std::mem::take).unwrap_or_default();
        self.subtract(&counted);
        counted.service = service;
        counted.by_tenant.clear();
        self.positions.resize(self.states.len(), usize::MAX);
        for run in view.runs.values() {
            let Some(charge) = run.charge else {
                continue;
            };
            let position = &mut self.positions[charge.tenant.0 as usize];
            if *position == usize::MAX {
                *position = counted.by_tenant.len();
                counted
                    .by_tenant
                    .push((charge.tenant, Demand::default(), 0));
            }
            let (_, sum, runs) = &mut counted.by_tenant[*position];
            let cpu_millicores = run.demand.cpu_millicores + charge.spare_cpu_millicores;
            sum.cpu_millicores = sum.cpu_millicores.saturating_add(cpu_millicores);
            sum.memory_mib = sum.memory_mib.saturating_add(run.demand.memory_mib);
            sum.accelerators = sum.accelerators.saturating_add(run.demand.accelerators);
            *runs += 1;
        }
        for (tenant, sum, runs) in &counted.by_tenant {
            let number = tenant.0 as usize;
            self.positions[number] = usize::MAX;
            let usage = worker_totals(sum, *runs);
            self.states[number].service(service).running.add(&usage);
        }
        if let Some(known) = self.by_worker.get_mut(&view.number) {
            *known = counted;
        } else if !counted.by_tenant.is_empty() {
            self.by_worker.insert(view.number, counted);
        }
    }

    /// Returns the memory that the tenants take.
    #[cfg(test)]
    fn bytes(&self) -> usize {
        use std::mem::size_of;
        let names = self.numbers.keys();
        let names = names.map(|name| name.capacity() + size_of::<(String, TenantNumber)>());
        let states = self.states.iter().map(|state| {
            size_of::<TenantState>() + state.services.capacity() * size_of::<ServiceUsage>()
        });
        let workers = self.by_worker.values().map(|usage| {
            size_of::<(WorkerNumber, WorkerUsage)>()
                + usage.by_tenant.capacity() * size_of::<(TenantNumber, Demand, u32)>()
        });
        names.sum::<usize>() + states.sum::<usize>() + workers.sum::<usize>()
    }

    /// Removes the usage of a worker's runs.
    pub fn remove_worker(&mut self, number: WorkerNumber) {
        if let Some(counted) = self.by_worker.remove(&number) {
            self.subtract(&counted);
        }
    }

    fn subtract(&mut self, counted: &WorkerUsage) {
        for (tenant, sum, runs) in &counted.by_tenant {
            if let Some(tenant) = self.tenant_mut(*tenant) {
                let usage = worker_totals(sum, *runs);
                tenant.service(counted.service).running.subtract(&usage);
            }
        }
    }
}

fn worker_totals(sum: &Demand, runs: u32) -> Totals {
    Totals {
        tasks: u64::from(runs),
        ..Totals::of(sum, 1)
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

impl Leader {
    /// Counts the runs on the workers whose runs have changed.
    pub(super) fn recount_changed_workers(&mut self) {
        for (_, view) in self.workers.iter_mut() {
            if view.usage_changed {
                self.tenants.recount(view);
            }
        }
    }

    /// Returns whether the usage of each tenant is the sum over the runs on all workers.
    fn usage_is_exact(&self) -> bool {
        let mut sums = vec![Totals::default(); self.tenants.states.len()];
        for run in self.workers.values().flat_map(|view| view.runs.values()) {
            if let Some(charge) = run.charge {
                let mut usage = Totals::of(&run.demand, 1);
                usage.cpu_millicores += u64::from(charge.spare_cpu_millicores);
                sums[charge.tenant.0 as usize].add(&usage);
            }
        }
        let states = self.tenants.states.iter();
        states.map(TenantState::running).eq(sums)
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
        debug_assert!(self.usage_is_exact(), "usage differs from the runs");
        for tenant in &mut self.tenants.states {
            tenant.waiting_gang = Totals::default();
            for usage in &mut tenant.services {
                usage.reserved = Totals::default();
                usage.waiting = false;
            }
        }
        for step in self.steps.values() {
            if let Some(account) = step.account
                && !step.waiting.is_empty()
                && let Some(tenant) = self.tenants.tenant_mut(account.tenant)
            {
                tenant.service(account.service).waiting = true;
            }
        }
        self.tenants.refresh_weights(state);
        let tenants = &mut self.tenants;
        tenants.shares.clear();
        tenants
            .shares
            .resize(tenants.services.len(), ServiceShares::default());
        for view in self.workers.values() {
            let service = &view.record.service;
            if let Some(at) = tenants.services.iter().position(|known| known == service)
                && !view.record.draining
                && !view.is_departing()
            {
                let capacity = Totals::of(&view.record.capacity, 1);
                if let Some(shares) = tenants.shares.get_mut(at) {
                    shares.capacity.add(&capacity);
                }
            }
        }
        for tenant in &tenants.states {
            for (usage, shares) in tenant.services.iter().zip(&mut tenants.shares) {
                if usage.is_active() {
                    shares.weight_sum_permille += tenant.weight_permille;
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
    ///
    /// What the pass has set aside for earlier steps counts, but leaves half of the cap: a tenant
    /// that holds less must not be left idle while a gang waits.
    fn startable_under_cap(
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
        let (usage, set_aside) = tenant.map_or_else(Default::default, |tenant| {
            (tenant.running(), tenant.set_aside())
        });
        let cap = self.cap(state, name).beside(&set_aside);
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        cap.startable(&usage, &spec.demand, tasks, spec.gang) as usize
    }

    /// Leaves only those tasks of a group that may start under the cap of the job's tenant.
    pub(super) fn keep_to_cap(
        &mut self,
        (state, job, spec): (&CellState, &Job, &StepSpec),
        timeliness: Timeliness,
        tasks: &mut Vec<u32>,
    ) {
        let startable = self.startable_under_cap(state, job, spec, tasks.len());
        if startable == 0 && spec.gang && timeliness == Timeliness::OnTime {
            self.hold_room_for_gang(state, job, spec, tasks.len());
        }
        tasks.truncate(startable);
    }

    /// Keeps later steps of a pass from taking the room under the cap for which a gang waits.
    fn hold_room_for_gang(&mut self, state: &CellState, job: &Job, spec: &StepSpec, tasks: usize) {
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

    /// Returns the standing of a tenant in a service, with its usage and the service's capacity.
    fn standing_of(
        &self,
        state: &CellState,
        (tenant, service): (&str, &str),
        over_rate: bool,
    ) -> (Standing, Totals, Totals) {
        let services = &self.tenants.services;
        let service = services.iter().position(|known| known == service);
        let shares = service.and_then(|at| self.tenants.shares.get(at));
        let shares = shares.cloned().unwrap_or_default();
        let usage = self.tenants.tenant(tenant);
        let usage = usage.and_then(|tenant| tenant.services.get(service?));
        let is_active = usage.is_some_and(ServiceUsage::is_active);
        let usage = usage.map_or_else(Totals::default, |u| u.running.plus(&u.reserved));
        let weight_permille = row(state, tenant).map_or(0, |row| row.weight_permille);
        let weight_sum_permille = if is_active {
            shares.weight_sum_permille.max(weight_permille)
        } else {
            shares.weight_sum_permille + weight_permille
        };
        let standing = Standing {
            share_ppm: dominant_share_ppm(&usage, &shares.capacity),
            entitlement_ppm: entitlement_ppm(weight_permille, weight_sum_permille),
            over_rate,
        };
        (standing, usage, shares.capacity)
    }

    /// Returns the standing of a job's tenant in the job's service; `None` if the job has no tenant
    /// or none are in force.
    fn standing(&self, state: &CellState, job: &Job) -> Option<(Standing, Totals, Totals)> {
        let name = job.tenant.as_ref().filter(|_| are_in_force(state))?;
        let tenant = (name.as_str(), job.queue.service.as_str());
        Some(self.standing_of(state, tenant, job.over_rate))
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

    /// Returns the class that a new job of a tenant has while it is on time.
    pub(super) fn class_of_new_job(
        &self,
        state: &CellState,
        queue: &QueueRow,
        tenant: &str,
        over_rate: bool,
    ) -> Class {
        let (standing, _, _) = self.standing_of(state, (tenant, &queue.service), over_rate);
        class(Timeliness::OnTime, Some(&standing))
    }

    /// Returns whether a new job of a tenant is beyond the tenant's rate.
    pub(super) fn is_over_rate(&mut self, state: &CellState, tenant: &str, now_ms: Millis) -> bool {
        let window = RateWindow {
            window_ms: self.bounds.quota_window_ms,
            tolerance: self.bounds.quota_tolerance,
        };
        let Some(row) = row(state, tenant).filter(|_| window.window_ms > 0) else {
            return false;
        };
        let number = self.tenants.intern(tenant);
        let Some(tenant) = self.tenants.tenant_mut(number) else {
            return false;
        };
        let full = || TokenBucket::full(row, window, now_ms);
        let bucket = tenant.bucket.get_or_insert_with(full);
        bucket.refill(row, window, now_ms);
        !bucket.has_token()
    }

    /// Takes the token of an accepted job from its tenant's bucket.
    pub(super) fn take_rate_token(&mut self, tenant: &str) {
        let number = self.tenants.intern(tenant);
        let tenant = self.tenants.tenant_mut(number);
        if let Some(bucket) = tenant.and_then(|tenant| tenant.bucket.as_mut()) {
            bucket.take();
        }
    }

    /// Counts a refused job of a tenant.
    pub(super) fn count_refused(&mut self, tenant: &str) {
        let number = self.tenants.intern(tenant);
        if let Some(tenant) = self.tenants.tenant_mut(number) {
            tenant.refused += 1;
        }
    }

    /// Returns whether a first step of a new job may start now under its tenant's cap.
    pub(super) fn may_start_under_cap(
        &self,
        state: &CellState,
        tenant: &str,
        spec: &JobSpec,
    ) -> bool {
        let usage = self.tenants.tenant(tenant);
        let usage = usage.map_or_else(Totals::default, TenantState::running);
        let cap = self.cap(state, tenant);
        let first = spec.steps.iter().filter(|step| step.depends_on.is_empty());
        let mut startable =
            first.map(|step| cap.startable(&usage, &step.demand, step.tasks, step.gang));
        startable.any(|tasks| tasks > 0)
    }

    /// Returns the load of a tenant when one of its jobs arrives.
    pub(super) fn tenant_load(
        &self,
        state: &CellState,
        (tenant, queue, spec): (&str, &QueueRow, &JobSpec),
        (class, over_rate): (Class, bool),
        load: &Load,
        io: &Io<'_>,
    ) -> TenantLoad {
        let (standing, _, _) = self.standing_of(state, (tenant, &queue.service), over_rate);
        let own = self.backlog.own_work_ahead(tenant, queue, class);
        let entitled = u128::from(load.capacity_millicores) * u128::from(standing.entitlement_ppm);
        let share_wait_ms = u128::from(own.cpu_millicores) * 1_000_000;
        let share_wait_ms = share_wait_ms.checked_div(entitled);
        let share_wait_ms =
            share_wait_ms.map_or(u64::MAX, |wait| u64::try_from(wait).unwrap_or(u64::MAX));
        let cap_wait_ms = self.cap(state, tenant).duration_ms(&own);
        let bucket = self.tenants.tenant(tenant).and_then(|tenant| tenant.bucket);
        let token_ms = bucket.zip(row(state, tenant)).map_or(0, |(bucket, row)| {
            bucket.next_token_ms(row).unwrap_or(u64::MAX)
        });
        TenantLoad {
            over_rate,
            starts_at_once: over_rate && self.starts_at_once(state, (tenant, queue, spec), io),
            cap_wait_ms,
            share_wait_ms: (class == Class::Owed).then_some(share_wait_ms),
            own_backlog_ms: share_wait_ms.max(cap_wait_ms).max(token_ms),
        }
    }

    /// Returns whether the first steps of a new job could start beside all on-time work that waits
    /// already.
    fn starts_at_once(
        &self,
        state: &CellState,
        (tenant, queue, spec): (&str, &QueueRow, &JobSpec),
        io: &Io<'_>,
    ) -> bool {
        let first = || spec.steps.iter().filter(|step| step.depends_on.is_empty());
        let (mut waiting, own_waiting) = self.backlog.unplaced(&queue.service, tenant);
        let free_capacity = self.free_capacity(io.now_ms);
        let mut free = Totals::default();
        let mut slots = vec![0_u64; spec.steps.len()];
        for (number, available) in free_capacity.iter() {
            let Some(view) = self.workers.get(number) else {
                continue;
            };
            if view.record.service != queue.service {
                continue;
            }
            free.add(&Totals::of(&available.free, 1));
            for (slots, step) in slots.iter_mut().zip(&spec.steps) {
                if view.suits(step, queue) {
                    let here = counted_demand(step).times_in(&available.free);
                    *slots += u64::from(here.min(step.max_per_worker.unwrap_or(u32::MAX)));
                }
            }
        }
        let usage = self.tenants.tenant(tenant);
        let mut held = usage.map_or_else(Totals::default, TenantState::running);
        held.add(&own_waiting);
        let cap = self.cap(state, tenant);
        let fits = spec.steps.iter().zip(&slots).all(|(step, slots)| {
            let is_first = step.depends_on.is_empty();
            !is_first || u64::from(step.tasks) <= *slots
        });
        let fits_under_cap = first().all(|step| {
            let startable = cap.startable(&held, &step.demand, step.tasks, step.gang);
            held.add(&Totals::of(&step.demand, step.tasks));
            startable == step.tasks
        });
        for step in first() {
            waiting.add(&Totals::of(&counted_demand(step), step.tasks));
        }
        fits && fits_under_cap && waiting.fits_in(&free)
    }

    /// Reports usage, entitlement, cap, waiting tasks and refused jobs of each tenant as metrics,
    /// and in the log those of the tenants with the most waiting tasks.
    pub(super) fn report_tenants(&mut self, state: &CellState, io: &mut Io<'_>) {
        if !are_in_force(state) {
            return;
        }
        self.recount_changed_workers();
        let mut waiting: SortedVec<TenantNumber, u64> = SortedVec::new();
        for (key, step) in self.steps.iter() {
            if let Some(job) = state.job(key.job)
                && let Some(number) = job
                    .tenant
                    .as_ref()
                    .and_then(|t| self.tenants.numbers.get(t))
            {
                *waiting.get_or_insert_with(*number, || 0) += step.waiting.len() as u64;
            }
        }
        let mut lines = Vec::new();
        for row in &state.queues().tenants {
            let Some(number) = self.tenants.numbers.get(&row.name).copied() else {
                continue;
            };
            let Some(tenant) = self.tenants.states.get_mut(number.0 as usize) else {
                continue;
            };
            let running = tenant.running();
            let entitled = tenant.services.iter().zip(&self.tenants.shares);
            let entitled = entitled.filter(|(usage, _)| usage.is_active());
            let entitled: u64 = entitled
                .map(|(_, shares)| {
                    let sum = shares.weight_sum_permille;
                    let ppm = entitlement_ppm(row.weight_permille, sum);
                    shares.capacity.cpu_millicores.saturating_mul(ppm) / 1_000_000
                })
                .sum();
            let waiting = waiting.get(&number).copied().unwrap_or(0);
            let newly_refused = tenant.refused - tenant.refused_reported;
            tenant.refused_reported = tenant.refused;
            let figures = [
                ("tenant_usage_millicores", running.cpu_millicores),
                ("tenant_entitlement_millicores", entitled),
                ("tenant_cap_millicores", u64::from(row.cap.cpu_millicores)),
                ("tenant_tasks_waiting", waiting),
                ("tenant_jobs_refused", tenant.refused),
            ];
            for (name, value) in figures {
                io.effect(Effect::LabeledGauge {
                    name,
                    label: row.name.clone(),
                    value,
                });
            }
            if waiting > 0 || newly_refused > 0 {
                lines.push((waiting, newly_refused, row, running, entitled));
            }
        }
        lines.sort_by_key(|(waiting, refused, ..)| std::cmp::Reverse((*waiting, *refused)));
        for (waiting, refused, row, running, entitled) in lines.into_iter().take(MAX_LOGGED_TENANTS)
        {
            io.log(
                "tenant_load",
                vec![
                    ("tenant", row.name.clone()),
                    ("usage_millicores", running.cpu_millicores.to_string()),
                    ("usage_mib", running.memory_mib.to_string()),
                    ("runs", running.tasks.to_string()),
                    ("entitlement_millicores", entitled.to_string()),
                    ("cap_millicores", row.cap.cpu_millicores.to_string()),
                    ("cap_mib", row.cap.memory_mib.to_string()),
                    ("tasks_waiting", waiting.to_string()),
                    ("refused", refused.to_string()),
                    ("queues_version", state.queues().version.to_string()),
                ],
            );
        }
    }
}

#[cfg(test)]
mod tests;
