//! The platform keys that lagoonhill uses.

/// The key that holds the rules.
pub const RULES_KEY: &str = "lagoonhill/rules";

/// Prefix of the keys under which entries announce themselves.
pub const ENTRIES_PREFIX: &str = "lagoonhill/entries/";

/// Prefix of the keys that bind callers' idempotency keys to entries.
pub const REQUEST_KEYS_PREFIX: &str = "lagoonhill/keys/";

/// Prefix of the states of durable jobs, by job name.
pub const JOBS_PREFIX: &str = "lagoonhill/jobs/";

/// Prefix of unfinished durable jobs, by owner and job name.
pub const OPEN_JOBS_PREFIX: &str = "lagoonhill/open/";

/// Prefix of the leased keys of live owners.
pub const OWNERS_PREFIX: &str = "lagoonhill/owners/";

/// Prefix of the cancellation requests from other entries, by owner and job name.
pub const CANCEL_REQUESTS_PREFIX: &str = "lagoonhill/cancels/";

/// Prefix of the owners' counts of waiting jobs, by owner.
pub const WAITING_COUNTS_PREFIX: &str = "lagoonhill/waiting/";
