//! Model of a plain service: it counts each effect by key, as the referee for "at most once".

use std::{collections::BTreeMap, time::Duration};

/// The service.
#[derive(Debug, Clone)]
pub struct ServiceModel {
    /// Time of one call.
    pub call_time: Duration,
    effects: BTreeMap<String, Vec<String>>,
}

impl ServiceModel {
    /// Makes a service without effects.
    pub fn new(call_time: Duration) -> ServiceModel {
        ServiceModel { call_time, effects: BTreeMap::new() }
    }

    /// Takes effect for a key, on behalf of an attempt, and returns the answer.
    pub fn run(&mut self, key: &str, attempt: &str) -> String {
        let attempts = self.effects.entry(key.to_owned()).or_default();
        attempts.push(attempt.to_owned());
        format!("{{\"key\":{key:?},\"count\":{}}}", attempts.len())
    }

    /// Returns the keys whose effect happened more than once.
    pub fn doubled(&self) -> impl Iterator<Item = (&String, &Vec<String>)> {
        self.effects.iter().filter(|(_, attempts)| attempts.len() > 1)
    }

    /// Returns all effects, by key.
    pub fn effects(&self) -> &BTreeMap<String, Vec<String>> {
        &self.effects
    }
}
