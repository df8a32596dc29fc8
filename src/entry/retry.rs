//! Budget that keeps retries from multiplying an overload.

use serde::Serialize;

const EARNED_PER_REQUEST: f64 = 0.2;
const LARGEST_BUDGET: f64 = 100.0;

/// Retries that an entry may still make.
///
/// ```
/// use sapphirewell::entry::RetryBudget;
/// let mut budget = RetryBudget::default();
/// while budget.spend() {}
/// budget.earn();
/// assert!(!budget.spend(), "one request does not earn a whole retry");
/// ```
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { left: LARGEST_BUDGET }
    }
}

impl RetryBudget {
    /// Adds what one admitted request earns.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED_PER_REQUEST).min(LARGEST_BUDGET);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
