//! Runs the cells of a fault matrix in parallel.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

/// Runs all cells, one thread per core, and returns the results in the order of the cells.
pub fn run_on_all_cores<C: Sync, R: Send>(cells: &[C], run: impl Fn(&C) -> R + Sync) -> Vec<R> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(cell) = cells.get(index) else { return };
                    let result = run(cell);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
