//! Wall time of one placement: the completion of a task, a submission and a decision.

#[allow(dead_code)]
#[path = "harness/harness.rs"]
mod harness;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

use crate::harness::fleet::Fleet;

fn placements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for workers in [50, 500, 3_700] {
        let mut fleet = Fleet::new(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| fleet.step());
        });
    }
    group.finish();
}

criterion_group!(benches, placements);
criterion_main!(benches);
