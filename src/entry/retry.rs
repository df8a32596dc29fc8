//! Retry budget, which keeps retries from amplifying an overload.

use serde::Serialize;

/// Retries that each admitted request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Upper bound of the budget, and its initial value.
const MAX_RETRIES: f64 = 100.0;

/// Token bucket of the retries that an entry may still make.
///
/// Retries stay at a fifth of the admitted requests, plus a burst of a hundred.
///
/// ```
/// use sapphirewell::entry::RetryBudget;
/// let mut budget = RetryBudget::default();
/// while budget.try_withdraw() {}
/// budget.deposit();
/// assert!(!budget.try_withdraw(), "one request adds less than a whole retry");
/// ```
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { left: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that one admitted request contributes.
    pub fn deposit(&mut self) {
        self.left = (self.left + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
