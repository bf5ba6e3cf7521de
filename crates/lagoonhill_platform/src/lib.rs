//! The platform's key-value service: the [`Store`] trait and its implementation
//! for the JSON gateway of the etcd v3 API.
//!
//! The service can be down, slow, or lose a response after its write took
//! effect. Every write result is therefore `Done`, `Conflict` or `Unknown`.

mod calls;
mod etcd;
mod http;
mod keys;
mod store;
pub mod wire;

pub use calls::{CallCounts, CallKind};
pub use etcd::EtcdStore;
pub use keys::{
    CANCEL_REQUESTS_PREFIX, ENTRIES_PREFIX, JOBS_PREFIX, OPEN_JOBS_PREFIX, OWNERS_PREFIX,
    REQUEST_KEYS_PREFIX, RULES_KEY, WAITING_COUNTS_PREFIX,
};
pub use store::{
    LeaseId, Listing, Put, Store, StoreRevision, StoreUnavailable, Transaction, TransactionOutcome,
    Versioned, WatchEvent, WriteOutcome,
};
