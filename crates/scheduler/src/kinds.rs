//! Kinds and tenants under dense numeric identifiers, with the statistics of each.

use acaciareel_types::{KindName, Millis, Quota, Resources, Route, SortedVec, TenantName};

use crate::{
    amounts::{Amounts, add, amounts, subtract},
    failure_attribution::KindHealth,
    sizes::{RunTimeEstimate, SizeEstimate},
};

/// Dense index of a kind, stable for the lifetime of the scheduler.
pub(crate) type KindId = u32;
/// Dense index of a tenant, stable for the lifetime of the scheduler.
pub(crate) type TenantId = u32;

/// A kind that has or had a route, or is the kind of an adopted or accepted job.
#[derive(Debug)]
pub(crate) struct Kind {
    pub(crate) name: KindName,
    /// Route in force, or the last one.
    pub(crate) route: Option<Route>,
    /// Index of the route's pool, if the tables name it.
    pub(crate) pool: Option<usize>,
    /// Whether the route is no longer in force. Accepted jobs still follow it.
    pub(crate) retired: bool,
    pub(crate) sizes: SizeEstimate,
    pub(crate) run_time: RunTimeEstimate,
    pub(crate) health: KindHealth,
    /// Demand corrected by measured usage; the scheduler keeps it up to date.
    pub(crate) demand: Resources,
}

impl Kind {
    fn new(name: KindName) -> Self {
        Self {
            name,
            route: None,
            pool: None,
            retired: true,
            sizes: SizeEstimate::default(),
            run_time: RunTimeEstimate::default(),
            health: KindHealth::default(),
            demand: Resources::default(),
        }
    }

    pub(crate) fn declared_run_ms(&self) -> Millis {
        self.route
            .as_ref()
            .map_or(Millis(0), |route| route.run_time_ms)
    }

    /// Returns the route and its pool; `None` if there is no route or the tables do not name its
    /// pool. For jobs that are not accepted, the route must be in force.
    pub(crate) fn route_and_pool(&self, accepted: bool) -> Option<(&Route, usize)> {
        if self.retired && !accepted {
            return None;
        }
        Some((self.route.as_ref()?, self.pool?))
    }

    pub(crate) fn usual_run_ms(&self) -> Millis {
        self.run_time.usual_ms(self.declared_run_ms())
    }
}

/// All kinds, by identifier and by name.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    by_name: SortedVec<KindName, KindId>,
    kinds: Vec<Kind>,
}

impl Kinds {
    pub(crate) fn id(&self, name: &KindName) -> Option<KindId> {
        self.by_name.get(name).copied()
    }

    /// Returns the identifier of a kind, which is added without a route if it is unknown.
    pub(crate) fn intern(&mut self, name: &KindName) -> KindId {
        if let Some(id) = self.id(name) {
            return id;
        }
        let id = u32::try_from(self.kinds.len()).unwrap_or(u32::MAX);
        self.kinds.push(Kind::new(name.clone()));
        self.by_name.insert(name.clone(), id);
        id
    }

    pub(crate) fn get(&self, id: KindId) -> &Kind {
        &self.kinds[id as usize]
    }

    pub(crate) fn get_mut(&mut self, id: KindId) -> &mut Kind {
        &mut self.kinds[id as usize]
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = KindId> + use<> {
        0..u32::try_from(self.kinds.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Kind> {
        self.kinds.iter_mut()
    }
}

/// A tenant that submitted work or has a quota.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub(crate) name: TenantName,
    pub(crate) quota: Option<Quota>,
    /// Resources reserved by its running tasks in all pools.
    allocated: Amounts,
}

impl Tenant {
    pub(crate) fn weight(&self) -> u64 {
        self.quota.map_or(1, |quota| quota.weight.max(1).into())
    }

    /// Returns whether the quota allows `more` resources beside those of the running tasks.
    pub(crate) fn allows(&self, more: &Resources) -> bool {
        let Some(quota) = &self.quota else {
            return true;
        };
        let limit = amounts(&quota.limit);
        let sums = self.allocated.iter().zip(amounts(more));
        sums.zip(limit)
            .all(|((allocated, more), limit)| more == 0 || allocated.saturating_add(more) <= limit)
    }

    /// Returns whether the quota would allow these resources if no other task ran.
    pub(crate) fn ever_allows(&self, total: &Resources) -> bool {
        self.quota.is_none_or(|quota| total.fits_in(&quota.limit))
    }
}

/// All tenants, by identifier and by name.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    by_name: SortedVec<TenantName, TenantId>,
    tenants: Vec<Tenant>,
}

impl Tenants {
    /// Returns the identifier of a tenant, which is added without a quota if it is unknown.
    pub(crate) fn intern(&mut self, name: &TenantName) -> TenantId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let id = u32::try_from(self.tenants.len()).unwrap_or(u32::MAX);
        self.tenants.push(Tenant {
            name: name.clone(),
            quota: None,
            allocated: Amounts::default(),
        });
        self.by_name.insert(name.clone(), id);
        id
    }

    pub(crate) fn get(&self, id: TenantId) -> &Tenant {
        &self.tenants[id as usize]
    }

    /// Replaces all quotas. Tenants that are not in `quotas` have none.
    pub(crate) fn set_quotas(&mut self, quotas: &SortedVec<TenantName, Quota>) {
        for (name, _) in quotas.iter() {
            self.intern(name);
        }
        for tenant in &mut self.tenants {
            tenant.quota = quotas.get(&tenant.name).copied();
        }
    }

    pub(crate) fn allocate(&mut self, id: TenantId, reserved: &Resources) {
        add(&mut self.tenants[id as usize].allocated, reserved);
    }

    pub(crate) fn release(&mut self, id: TenantId, reserved: &Resources) {
        subtract(&mut self.tenants[id as usize].allocated, reserved);
    }
}
