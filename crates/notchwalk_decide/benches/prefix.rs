//! Cost of hashing the blocks of a text prompt, incurred by every request with
//! one.

// `criterion_group!` generates an undocumented public function.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use notchwalk_decide::block_hashes;

fn hash_blocks(c: &mut Criterion) {
    let mut group = c.benchmark_group("block_hashes");
    for kib in [4, 64, 256] {
        let prompt = vec![b'x'; kib * 1_024];
        group.throughput(Throughput::Bytes(prompt.len() as u64));
        group.bench_function(format!("{kib} KiB"), |b| {
            b.iter(|| block_hashes("lampwise", &prompt));
        });
    }
    group.finish();
}

criterion_group!(benches, hash_blocks);
criterion_main!(benches);
