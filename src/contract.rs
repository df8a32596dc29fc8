//! Customer contracts: shares, request kinds and limits.
//!
//! The format is described in [docs/API.md](../docs/API.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorCode, Result},
    ids::CustomerId,
};

/// Maximum size of a contract document, in bytes.
pub const MAX_CONTRACT_BYTES: usize = 64 * 1024;
/// Maximum number of request kinds in one contract.
pub const MAX_KINDS: usize = 64;
/// Share of the full fleet, in the unit of [`CustomerContract::share_ppm`].
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// Maximum deadline of a request kind, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum idempotency window, in seconds.
pub const MAX_WINDOW_S: u64 = 7 * 86_400;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Contract of one customer, as operators publish it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerContract {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Share of the fleet that the customer is entitled to, in millionths.
    pub share_ppm: u32,
    /// Idempotency window: time in seconds within which a repeated key is recognized.
    pub window_s: u64,
    /// Kinds of request that the customer may send.
    pub kinds: Vec<RequestKind>,
}

/// Kind of request within a contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind, which callers put into the request path.
    pub name: String,
    /// Model or service that serves requests of this kind.
    pub route: KindRoute,
    /// Priority from 0 (first) to 9 (last) within the customer's share.
    pub priority: u8,
    /// Maximum time from a request's arrival to the end of its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
}

/// Model or service that serves a kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KindRoute {
    /// Any engine that has loaded this model.
    Engine {
        /// Name of the model.
        model: String,
        /// Maximum length of a prompt, in tokens.
        max_prompt_tokens: u32,
        /// Maximum length of an output, in tokens.
        max_output_tokens: u32,
    },
    /// Any plain service of this name.
    Service {
        /// Name of the service.
        service: String,
    },
}

impl CustomerContract {
    /// Parses a contract from JSON and checks it.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field and the reason.
    ///
    /// ```
    /// use sapphirewell::contract::CustomerContract;
    /// let error = CustomerContract::parse(br#"{"customer":"a","share_ppm":0}"#).unwrap_err();
    /// assert!(error.to_string().contains("window_s"));
    /// ```
    pub fn parse(text: &[u8]) -> Result<CustomerContract> {
        if text.len() > MAX_CONTRACT_BYTES {
            return Err(Error::new(
                ErrorCode::TooLarge,
                format!("contract of {} bytes", text.len()),
            ));
        }
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let contract: CustomerContract = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| {
                Error::new(
                    ErrorCode::Malformed,
                    format!("field {:?} ({})", e.path().to_string(), e.inner()),
                )
            })?;
        deserializer
            .end()
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("after the contract ({e})")))?;
        contract.check()?;
        Ok(contract)
    }

    /// Checks the names and ranges of all fields, and that no two kinds share a name.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field.
    pub fn check(&self) -> Result<()> {
        check_name("customer", &self.customer)?;
        check_range("share_ppm", u64::from(self.share_ppm), 1, u64::from(FULL_SHARE_PPM))?;
        check_range("window_s", self.window_s, 1, MAX_WINDOW_S)?;
        check_range("kinds", self.kinds.len() as u64, 1, MAX_KINDS as u64)?;
        for (index, kind) in self.kinds.iter().enumerate() {
            kind.check(index)?;
            if self.kinds[..index].iter().any(|other| other.name == kind.name) {
                return Err(Error::new(
                    ErrorCode::Duplicate,
                    format!("kinds[{index}].name {:?}", kind.name),
                ));
            }
        }
        Ok(())
    }

    /// Returns the request kind of this name, if the contract has one.
    pub fn kind(&self, name: &str) -> Option<&RequestKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the idempotency window.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.window_s)
    }
}

impl RequestKind {
    /// Returns the maximum time from a request's arrival to the end of its answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn check(&self, index: usize) -> Result<()> {
        let place = |field: &str| format!("kinds[{index}].{field}");
        check_name(&place("name"), &self.name)?;
        check_range(&place("priority"), u64::from(self.priority), 0, 9)?;
        check_range(&place("deadline_ms"), self.deadline_ms, 1, MAX_DEADLINE_MS)?;
        match &self.route {
            KindRoute::Engine { model, max_prompt_tokens, max_output_tokens } => {
                check_name(&place("route.engine.model"), model)?;
                let max_tokens = 1_000_000;
                check_range(
                    &place("route.engine.max_prompt_tokens"),
                    u64::from(*max_prompt_tokens),
                    1,
                    max_tokens,
                )?;
                check_range(
                    &place("route.engine.max_output_tokens"),
                    u64::from(*max_output_tokens),
                    1,
                    max_tokens,
                )
            }
            KindRoute::Service { service } => check_name(&place("route.service.service"), service),
        }
    }
}

/// Checks the length and characters of a name: `a` to `z`, `0` to `9`, `-`, `_` and `.`.
///
/// # Errors
/// Returns [`ErrorCode::BadName`] with `place`, the name's field or flag.
pub fn check_name(place: &str, name: &str) -> Result<()> {
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(Error::new(ErrorCode::BadName, format!("{place} {name:?}")));
    }
    Ok(())
}

fn check_range(place: &str, value: u64, low: u64, high: u64) -> Result<()> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorCode::OutOfRange, format!("{place} {value}, allowed {low} to {high}")))
}
