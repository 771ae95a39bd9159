//! Replacement of the tables.

use acaciareel_types::{Millis, PoolName, Reason, Tables};

use crate::{Refusal, jobs::Stage, pool::Pool, scheduler::Scheduler};

impl Scheduler {
    pub(super) fn apply_tables(&mut self, now_ms: Millis, tables: &Tables) {
        if self.tables == *tables {
            return;
        }
        // The reserved job may move to another pool.
        for pool in 0..self.pools.len() {
            self.drop_reservation(now_ms, pool);
        }
        self.dequeue_all();
        self.tables = tables.clone();
        self.tenants.set_quotas(tables.quotas());
        let tenants = &self.tenants;
        for pool in &mut self.pools {
            pool.shares
                .set_weights(|tenant| tenants.get(tenant).weight());
        }
        self.set_pools(now_ms);
        self.set_routes();
        for worker in self.workers.indices() {
            self.assign_pool(now_ms, worker);
        }
        self.refresh_demands();
        self.requeue_all(now_ms);
    }

    fn set_pools(&mut self, now_ms: Millis) {
        for pool in &mut self.pools {
            pool.settings = self.tables.pools().get(&pool.name).cloned();
            pool.dirty = true;
        }
        let names: Vec<PoolName> = self.tables.pools().keys().cloned().collect();
        for name in names {
            if self.pool_id(&name).is_none() {
                let mut pool = Pool::new(now_ms, name.clone());
                pool.settings = self.tables.pools().get(&name).cloned();
                match self.pools.iter().position(Pool::is_unused) {
                    Some(unused) => self.replace_pool(unused, pool),
                    None => self.pools.push(pool),
                }
            }
        }
    }

    /// Reuses the entry of an unused pool for a new one. The workers of the old pool are assigned
    /// to pools afterwards.
    fn replace_pool(&mut self, unused: usize, pool: Pool) {
        for index in self.workers.indices() {
            if let Some(worker) = self.workers.get_mut(index)
                && worker
                    .pool_position
                    .is_some_and(|pool_position| pool_position.pool == unused)
            {
                worker.pool_position = None;
                worker.counted_capacity = None;
            }
        }
        self.pools[unused] = pool;
    }

    fn set_routes(&mut self) {
        for (name, _) in self.tables.routes().iter() {
            self.kinds.intern(name);
        }
        for kind in self.kinds.iter_mut() {
            let route = self.tables.routes().get(&kind.name);
            kind.retired = route.is_none();
            if let Some(route) = route {
                kind.route = Some(route.clone());
            }
            let mut pools = self.pools.iter();
            kind.pool = kind.route.as_ref().and_then(|route| {
                pools.position(|pool| pool.settings.is_some() && pool.name == route.pool)
            });
        }
    }

    pub(super) fn pool_id(&self, name: &PoolName) -> Option<usize> {
        self.pools.iter().position(|pool| pool.name == *name)
    }

    fn dequeue_all(&mut self) {
        for waiting in self.waiting.values() {
            if let Stage::Queued(pool) = waiting.stage {
                let weight = self.tenants.get(waiting.queued.tenant).weight();
                let pool = &mut self.pools[pool];
                pool.queue.remove(&waiting.queued, weight);
                pool.shares.remove_work_item(waiting.queued.tenant);
            }
        }
    }

    fn requeue_all(&mut self, now_ms: Millis) {
        let jobs: Vec<_> = self.waiting.keys().copied().collect();
        for job in jobs {
            let Some(waiting) = self.waiting.get(&job) else {
                continue;
            };
            if self.kinds.get(waiting.queued.kind).retired && !waiting.job.accepted {
                self.remove_waiting(now_ms, job);
                let refusal = Refusal {
                    reason: Reason::UnknownKind,
                    retry_after_ms: super::submission::RETRY_AFTER_CONFIGURATION_MS,
                };
                self.refused.push((job, refusal));
            } else if matches!(waiting.stage, Stage::Queued(_) | Stage::Unrouted) {
                self.enqueue(now_ms, job);
            }
        }
    }
}
