//! Model of a plain service that records side effects by idempotency key, so that
//! tests can detect calls that ran more than once.

use std::{collections::BTreeMap, time::Duration};

/// Plain service and the effects that it has executed.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    /// Duration of a call.
    pub call_time: Duration,
    effects: BTreeMap<String, Vec<String>>,
}

impl ServiceModel {
    /// Returns a service that has executed nothing.
    pub fn new(call_time: Duration) -> ServiceModel {
        ServiceModel { call_time, effects: BTreeMap::new() }
    }

    /// Records an effect of `attempt` for a key and returns the response body.
    pub fn run(&mut self, key: &str, attempt: &str) -> String {
        let attempts = self.effects.entry(key.to_owned()).or_default();
        attempts.push(attempt.to_owned());
        format!("{{\"key\":{key:?},\"count\":{}}}", attempts.len())
    }

    /// Returns the keys that were executed more than once, with their attempts.
    pub fn doubled(&self) -> impl Iterator<Item = (&String, &Vec<String>)> {
        self.effects.iter().filter(|(_, attempts)| attempts.len() > 1)
    }

    /// Returns the attempts that executed each key, in order of execution.
    pub fn effects(&self) -> &BTreeMap<String, Vec<String>> {
        &self.effects
    }
}
