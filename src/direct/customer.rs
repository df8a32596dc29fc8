//! Customers that requests are sent for, and the keys by which their callers are known.
//!
//! A configuration without customers has no table, and its requests are served as those of
//! nobody. See [docs/design/customers.md](../../docs/design/customers.md).

use std::{collections::HashMap, fmt, hash::Hash, sync::Arc};

use serde::{Serialize, Serializer};
use siphasher::sip128::{Hasher128, SipHasher13};

/// Names a customer.
pub type CustomerName = Arc<str>;

/// Configuration of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CustomerConfig {
    /// Name of the customer, which targets get.
    pub name: CustomerName,
    /// Priority of its requests, 0 being the highest; it takes precedence over the route's.
    pub priority: Option<u8>,
}

/// For whom a request is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration has no customers, so that nobody is asked.
    Unchecked,
    /// The caller stated no key, and the route serves such requests.
    Anonymous,
    /// The customer that the caller's key belongs to.
    Customer(Arc<CustomerConfig>),
}

impl CallerIdentity {
    /// Returns the customer, if there is one.
    pub fn customer(&self) -> Option<&Arc<CustomerConfig>> {
        match self {
            CallerIdentity::Unchecked | CallerIdentity::Anonymous => None,
            CallerIdentity::Customer(customer) => Some(customer),
        }
    }
}

/// Keyed digest of a key. Digests are compared in place of keys, so that the time of a lookup
/// says nothing about a key.
type KeyDigest = u128;

/// Customers of a configuration by the digests of their keys. The keys themselves are not kept.
#[derive(Clone)]
pub struct CustomerTable {
    seed: (u64, u64),
    customers: HashMap<KeyDigest, Arc<CustomerConfig>>,
}

impl CustomerTable {
    /// Creates a table from customers and their keys. A key that several have belongs to the
    /// last of them.
    pub fn new<K: AsRef<[u8]>>(
        customers: impl IntoIterator<Item = (CustomerConfig, Vec<K>)>,
    ) -> CustomerTable {
        let seed = (rand::random(), rand::random());
        let mut table = CustomerTable { seed, customers: HashMap::new() };
        for (customer, keys) in customers {
            let customer = Arc::new(customer);
            for key in keys {
                table.customers.insert(table.digest(key.as_ref()), customer.clone());
            }
        }
        table
    }

    /// Returns the customer that a key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<CustomerConfig>> {
        self.customers.get(&self.digest(key))
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.customers.len()
    }

    fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut hasher = SipHasher13::new_with_keys(self.seed.0, self.seed.1);
        key.hash(&mut hasher);
        hasher.finish128().as_u128()
    }
}

impl PartialEq for CustomerTable {
    /// Tables are equal if each key of one belongs to the same customer in the other. Digests
    /// of tables with different seeds are not comparable, so that such tables are unequal.
    fn eq(&self, other: &CustomerTable) -> bool {
        self.seed == other.seed && self.customers == other.customers
    }
}

impl fmt::Debug for CustomerTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CustomerTable").field("keys", &self.customers.len()).finish()
    }
}

impl Serialize for CustomerTable {
    /// Writes the number of keys, as a state dump holds neither keys nor what is derived from them.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map([("keys", self.customers.len())])
    }
}
