/// The platform key that holds the rules.
pub const RULES_KEY: &str = "lagoonhill/rules";

/// The platform keys under which entries announce themselves.
pub const ENTRIES_PREFIX: &str = "lagoonhill/entries/";

/// The platform keys that bind callers' keys to entries.
pub const REQUEST_KEYS_PREFIX: &str = "lagoonhill/keys/";
