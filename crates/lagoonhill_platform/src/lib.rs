//! The platform's key-value service: a generic port, and the adapter that
//! speaks the JSON form of the etcd v3 API.
//!
//! The service can be down, slow, or lose an answer after its write took
//! effect. Every write result is therefore `Done`, `Conflict` or `Unknown`.

mod calls;
mod etcd;
mod http;
mod keys;
mod store;
pub mod wire;

pub use calls::{CallCounts, CallKind};
pub use etcd::EtcdStore;
pub use keys::{ENTRIES_PREFIX, REQUEST_KEYS_PREFIX, RULES_KEY};
pub use store::{
    LeaseId, Store, StoreRevision, StoreUnavailable, Versioned, WatchEvent, WriteOutcome,
};
