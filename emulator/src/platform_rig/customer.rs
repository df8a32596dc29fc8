//! Customers of the rig's configurations, their keys, and the checks of what they are served.

use std::sync::Arc;

use hyper::{
    Request,
    header::{AUTHORIZATION, HeaderMap, HeaderValue},
    http::request::Parts,
};
use sapphirewell::{
    direct::{CustomerConfig, CustomerTable, RouteTable},
    platform::caller::{self, RequestRejection, ValidatedHead},
};
use strum::{Display, EnumIter, IntoEnumIterator};

use super::{
    DriverDefect, EntryId, PlatformRig, PlatformRule,
    caller::RequestClass,
    referee::APPLY_LIMIT,
    target::{SimCall, TargetIndex},
};

/// Header in which targets get the customer's name, and a value that callers put there.
const CUSTOMER_HEADER: &str = "tenant";
const FORGED_NAME: &str = "forged";
/// Number of priorities of requests that can be in time. Those of late requests follow.
const PRIORITY_COUNT: u8 = 5;

/// Key that a caller states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CallerKey {
    /// Key of a customer whose requests have the priorities of their routes.
    Plain,
    /// Key of a customer with the highest priority.
    Urgent,
    /// Second key of the customer of `Plain`, which every second configuration lacks.
    Removed,
    /// Key of a customer with a low priority, which only every second configuration has.
    Added,
    /// Key that every second configuration moves to another customer.
    Moved,
    /// Key that no configuration has.
    Unknown,
    /// No key.
    None,
}

/// Keys of callers in the order in which they send requests. Its length is coprime to the number
/// of classes, so that each class uses every key.
const KEY_ORDER: [CallerKey; 11] = [
    CallerKey::Plain,
    CallerKey::Urgent,
    CallerKey::Removed,
    CallerKey::Plain,
    CallerKey::Moved,
    CallerKey::Urgent,
    CallerKey::Plain,
    CallerKey::Added,
    CallerKey::Unknown,
    CallerKey::Moved,
    CallerKey::None,
];

/// Customers by their names, with their priorities.
const CUSTOMERS: [(&str, Option<u8>); 3] = [("mill", None), ("press", Some(0)), ("guild", Some(3))];

impl CallerKey {
    /// Returns the key of a request by its number.
    pub fn of_request(number: usize) -> CallerKey {
        KEY_ORDER[number % KEY_ORDER.len()]
    }

    /// Returns the customer to whom the key belongs, in every first or every second
    /// configuration.
    fn owner(self, is_second: bool) -> Option<&'static str> {
        match self {
            CallerKey::Plain => Some("mill"),
            CallerKey::Urgent => Some("press"),
            CallerKey::Removed => (!is_second).then_some("mill"),
            CallerKey::Added => is_second.then_some("guild"),
            CallerKey::Moved => Some(if is_second { "press" } else { "mill" }),
            CallerKey::Unknown | CallerKey::None => None,
        }
    }
}

/// For whom a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServedIdentity {
    Rejected,
    Anonymous,
    Customer(&'static str),
}

/// Returns for whom a request is to be served.
fn expected_identity(key: CallerKey, class: RequestClass, is_second: bool) -> ServedIdentity {
    match key.owner(is_second) {
        Some(customer) => ServedIdentity::Customer(customer),
        None if key == CallerKey::None && allows_anonymous(class) => ServedIdentity::Anonymous,
        None => ServedIdentity::Rejected,
    }
}

/// Returns whether requests of a class are served without a key.
pub(super) fn allows_anonymous(class: RequestClass) -> bool {
    class == RequestClass::Lookup
}

/// Returns the name of the customer that a target is told.
pub(super) fn customer_name(forwarded: &HeaderMap) -> Option<&str> {
    forwarded.get(CUSTOMER_HEADER).and_then(|name| name.to_str().ok())
}

/// Returns the customers of every first or every second configuration.
pub(super) fn customer_table(is_second: bool) -> CustomerTable {
    let customers = CUSTOMERS.iter().map(|(name, priority)| {
        let keys = CallerKey::iter().filter(|key| key.owner(is_second) == Some(name));
        let config = CustomerConfig { name: (*name).into(), priority: *priority };
        (config, keys.map(|key| key.to_string()).collect())
    });
    CustomerTable::new(customers)
}

impl PlatformRig {
    /// Returns the customers of a configuration, if the rig's configurations have any.
    pub(super) fn customers(&self, is_second: bool) -> Option<CustomerTable> {
        self.settings.has_customers.then(|| customer_table(is_second))
    }

    /// Validates an attempt's head as the driver does, and returns it with the headers that are
    /// forwarded to targets. Returns `None` if the attempt was rejected.
    pub(super) fn identify(
        &mut self,
        entry: EntryId,
        attempt: usize,
        routes: &RouteTable,
    ) -> Option<(ValidatedHead, Arc<HeaderMap>)> {
        let parts = self.head_parts(attempt);
        let first = self.entries[entry].first_routes.clone();
        let is_outdated = self.settings.defect == Some(DriverDefect::CustomersReadOnce);
        let table = first.as_deref().filter(|_| is_outdated).unwrap_or(routes);
        let identity = caller::validate_head(&parts, table).or_else(|rejection| {
            let is_ignored = self.settings.defect == Some(DriverDefect::UnknownKeyAnonymous);
            let mut parts = parts.clone();
            parts.headers.remove(AUTHORIZATION);
            if is_ignored { caller::validate_head(&parts, table) } else { Err(rejection) }
        });
        self.note_expected(entry, attempt);
        match identity {
            Ok(head) => {
                let forwarded = self.forwarded_headers(&head, &parts);
                Some((head, Arc::new(forwarded)))
            }
            Err(RequestRejection::Unauthorized { .. }) => {
                self.check_rejection(attempt);
                None
            }
            Err(rejection) => {
                let seen = format!("attempt {attempt}: {rejection}");
                self.checker.add_breach(PlatformRule::KeyInForce, seen);
                None
            }
        }
    }

    fn head_parts(&self, attempt: usize) -> Parts {
        let request = &self.callers.record(attempt).request;
        let mut head = Request::new(()).into_parts().0;
        // A class is part of a valid path.
        head.uri = format!("/{}/x", request.class).parse().unwrap_or_default();
        let mut insert = |name: &'static str, value: String| {
            head.headers.extend(
                HeaderValue::try_from(value)
                    .map(|value| (hyper::header::HeaderName::from_static(name), value)),
            );
        };
        insert("host", "host".to_owned());
        insert("request-id", format!("attempt-{attempt}"));
        insert(CUSTOMER_HEADER, FORGED_NAME.to_owned());
        if request.key != CallerKey::None {
            insert("authorization", format!("Token {}", request.key));
        }
        head
    }

    fn forwarded_headers(&self, head: &ValidatedHead, parts: &Parts) -> HeaderMap {
        let mut forwarded = head.forwarded_headers(&parts.headers);
        let passed_on = match self.settings.defect {
            Some(DriverDefect::KeyForwarded) => AUTHORIZATION.as_str(),
            Some(DriverDefect::ForgedNameForwarded) => CUSTOMER_HEADER,
            _ => return forwarded,
        };
        let value = parts.headers.get(passed_on).cloned();
        let is_anonymous = head.identity.customer().is_none();
        if passed_on != CUSTOMER_HEADER || is_anonymous {
            let name = hyper::header::HeaderName::from_static(passed_on);
            forwarded.extend(value.map(|value| (name, value)));
        }
        forwarded
    }

    /// Notes for whom an attempt may be served that an entry accepts or rejects now.
    ///
    /// That is by any configuration which may be in force there, as [`PlatformRule::InForce`]
    /// allows.
    fn note_expected(&mut self, entry: EntryId, attempt: usize) {
        let is_due = |(at, _): &(_, _)| *at + APPLY_LIMIT < self.now;
        let oldest = self.store.routes.iter().rposition(is_due);
        let oldest = oldest.filter(|_| self.is_undisturbed(entry)).unwrap_or(0);
        let request = &self.callers.record(attempt).request;
        let expected = (oldest..self.store.routes.len())
            .map(|number| expected_identity(request.key, request.class, !number.is_multiple_of(2)));
        let expected = expected.collect();
        self.checker.expected_identities.insert(attempt, expected);
    }

    fn check_rejection(&mut self, attempt: usize) {
        let expected = self.checker.expected_identities.get(&attempt);
        if !expected.is_some_and(|expected| expected.contains(&ServedIdentity::Rejected)) {
            let seen = format!("attempt {attempt} rejected, expected {expected:?}");
            self.checker.add_breach(PlatformRule::KeyInForce, seen);
        }
    }

    /// Checks what a call tells its target of the caller.
    pub(super) fn check_customer(&mut self, call: &SimCall, target: TargetIndex) {
        if !self.settings.has_customers {
            return;
        }
        let attempt = call.attempt;
        let target = &self.targets[target].listed.id;
        if call.forwarded.contains_key(AUTHORIZATION) {
            let seen = format!("{target} got the key of attempt {attempt}");
            self.checker.add_breach(PlatformRule::KeyWithheld, seen);
        }
        let name = customer_name(&call.forwarded);
        let expected = self.checker.expected_identities.get(&attempt);
        let is_expected = |identity: &ServedIdentity| match identity {
            ServedIdentity::Rejected => false,
            ServedIdentity::Anonymous => name.is_none(),
            ServedIdentity::Customer(customer) => name == Some(customer),
        };
        if !expected.is_some_and(|expected| expected.iter().any(is_expected)) {
            let seen = format!("attempt {attempt} served for {name:?}, expected {expected:?}");
            self.checker.add_breach(PlatformRule::KeyInForce, seen);
        }
        let class = self.callers.record(attempt).request.class;
        let customer = CUSTOMERS.iter().find(|(customer, _)| Some(*customer) == name);
        let priority = customer.and_then(|(_, priority)| *priority);
        let priority = priority.unwrap_or(super::store::route_priority(class));
        if call.priority % PRIORITY_COUNT != priority {
            let seen = format!("attempt {attempt} of {name:?} has priority {}", call.priority);
            self.checker.add_breach(PlatformRule::CustomerPriority, seen);
        }
    }
}
