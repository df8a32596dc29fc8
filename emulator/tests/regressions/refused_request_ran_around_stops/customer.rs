//! Customers whose keys change while requests are sent.

use std::time::Duration;

use rand::{RngExt, rngs::SmallRng};
use tokio::time::{Instant, sleep};

use super::fault::Processes;

/// Customer and its keys.
type KeyedCustomer = (&'static str, &'static [&'static str]);

/// Customers that configurations have in turn: keys are removed, added and moved.
const CONFIGURATIONS: [&[KeyedCustomer]; 2] = [
    &[("mill", &[LASTING_KEY, "key-moved"]), ("press", &["key-removed"])],
    &[("mill", &[LASTING_KEY]), ("press", &["key-moved"]), ("guild", &["key-added"])],
];
/// Key that all configurations have.
pub const LASTING_KEY: &str = "key-lasting";
const OTHER_KEYS: [&str; 4] = ["key-moved", "key-removed", "key-added", "key-unknown"];
/// Interval of the configurations.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1100);

/// Returns the key that a caller states.
pub fn draw_key(rng: &mut SmallRng) -> String {
    let key = match rng.random_range(0..3_u32) {
        0 => OTHER_KEYS[rng.random_range(0..OTHER_KEYS.len())],
        _ => LASTING_KEY,
    };
    key.to_owned()
}

/// Returns whether a key ever belongs to a customer.
pub fn belongs(key: &str, customer: &str) -> bool {
    let customers = CONFIGURATIONS.iter().copied().flatten();
    customers.into_iter().any(|(name, keys)| *name == customer && keys.contains(&key))
}

/// Writes a configuration with customers.
pub fn configure(processes: &Processes, version: u64, timeout: Option<Duration>) {
    let customers = CONFIGURATIONS[version as usize % CONFIGURATIONS.len()];
    processes.fleet().configure_customers_and_timeout(version, customers, timeout);
}

/// Writes one configuration after the other until a time.
pub async fn change(processes: Processes, first: u64, timeout: Option<Duration>, until: Instant) {
    for version in first.. {
        sleep(CHANGE_INTERVAL).await;
        if Instant::now() >= until {
            return;
        }
        configure(&processes, version, timeout);
    }
}
