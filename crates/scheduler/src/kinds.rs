//! Kinds and tenants as numbers, with what is known about each.

use acaciareel_types::{KindName, Millis, Quota, Resources, Route, SortedVec, TenantName};

use crate::{
    amounts::{Amounts, add, amounts, subtract},
    blame::KindHealth,
    sizes::{RunTime, SizeEstimate},
};

/// Number of a kind.
pub(crate) type KindId = u32;
/// Number of a tenant.
pub(crate) type TenantId = u32;

/// A kind that was routed at some time.
#[derive(Debug)]
pub(crate) struct Kind {
    pub(crate) name: KindName,
    /// Route in force, or the last one.
    pub(crate) route: Option<Route>,
    /// Pool of the route, if the tables name it.
    pub(crate) pool: Option<usize>,
    /// Whether the route is no longer in force; accepted jobs still follow it.
    pub(crate) retired: bool,
    pub(crate) sizes: SizeEstimate,
    pub(crate) run_time: RunTime,
    pub(crate) health: KindHealth,
    /// Corrected demand, kept up to date by the scheduler.
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
            run_time: RunTime::default(),
            health: KindHealth::default(),
            demand: Resources::default(),
        }
    }

    pub(crate) fn declared_run_ms(&self) -> Millis {
        self.route
            .as_ref()
            .map_or(Millis(0), |route| route.run_time_ms)
    }

    /// Returns route and pool, for new jobs only while the route is in force.
    pub(crate) fn routed(&self, accepted: bool) -> Option<(&Route, usize)> {
        if self.retired && !accepted {
            return None;
        }
        Some((self.route.as_ref()?, self.pool?))
    }

    pub(crate) fn usual_run_ms(&self) -> Millis {
        self.run_time.usual_ms(self.declared_run_ms())
    }
}

/// All kinds by number and name.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    by_name: SortedVec<KindName, KindId>,
    kinds: Vec<Kind>,
}

impl Kinds {
    pub(crate) fn id(&self, name: &KindName) -> Option<KindId> {
        self.by_name.get(name).copied()
    }

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

/// A tenant that sent work or has a quota.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub(crate) name: TenantName,
    pub(crate) quota: Option<Quota>,
    /// Resources of its running tasks in all pools.
    held: Amounts,
}

impl Tenant {
    pub(crate) fn weight(&self) -> u64 {
        self.quota.map_or(1, |quota| quota.weight.max(1).into())
    }

    /// Returns whether the quota allows more running tasks with these resources in total.
    pub(crate) fn allows(&self, more: &Resources) -> bool {
        let Some(quota) = &self.quota else {
            return true;
        };
        let limit = amounts(&quota.limit);
        let sums = self.held.iter().zip(amounts(more));
        sums.zip(limit)
            .all(|((held, more), limit)| more == 0 || held.saturating_add(more) <= limit)
    }

    /// Returns whether the quota allows these resources when nothing else runs.
    pub(crate) fn ever_allows(&self, total: &Resources) -> bool {
        self.quota.is_none_or(|quota| total.fits_in(&quota.limit))
    }
}

/// All tenants by number and name.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    by_name: SortedVec<TenantName, TenantId>,
    tenants: Vec<Tenant>,
}

impl Tenants {
    pub(crate) fn intern(&mut self, name: &TenantName) -> TenantId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let id = u32::try_from(self.tenants.len()).unwrap_or(u32::MAX);
        self.tenants.push(Tenant {
            name: name.clone(),
            quota: None,
            held: Amounts::default(),
        });
        self.by_name.insert(name.clone(), id);
        id
    }

    pub(crate) fn get(&self, id: TenantId) -> &Tenant {
        &self.tenants[id as usize]
    }

    /// Replaces all quotas.
    pub(crate) fn set_quotas(&mut self, quotas: &SortedVec<TenantName, Quota>) {
        for (name, _) in quotas.iter() {
            self.intern(name);
        }
        for tenant in &mut self.tenants {
            tenant.quota = quotas.get(&tenant.name).copied();
        }
    }

    pub(crate) fn hold(&mut self, id: TenantId, reserved: &Resources) {
        add(&mut self.tenants[id as usize].held, reserved);
    }

    pub(crate) fn release(&mut self, id: TenantId, reserved: &Resources) {
        subtract(&mut self.tenants[id as usize].held, reserved);
    }
}
