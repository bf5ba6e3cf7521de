/// The platform key that holds the rules.
pub const RULES_KEY: &str = "lagoonhill/rules";

/// The platform keys under which entries announce themselves.
pub const ENTRIES_PREFIX: &str = "lagoonhill/entries/";

/// The platform keys that bind callers' keys to entries.
pub const REQUEST_KEYS_PREFIX: &str = "lagoonhill/keys/";

/// The platform keys that say what became of jobs that are kept, by name.
pub const JOBS_PREFIX: &str = "lagoonhill/jobs/";

/// The platform keys that hold unfinished jobs, by owner and name.
pub const OPEN_PREFIX: &str = "lagoonhill/open/";

/// The platform keys of owners that are alive.
pub const OWNERS_PREFIX: &str = "lagoonhill/owners/";

/// The platform keys that tell owners of jobs cancelled elsewhere, by owner and
/// name.
pub const CANCELS_PREFIX: &str = "lagoonhill/cancels/";

/// The platform keys that hold owners' counts of waiting jobs.
pub const WAITING_PREFIX: &str = "lagoonhill/waiting/";
