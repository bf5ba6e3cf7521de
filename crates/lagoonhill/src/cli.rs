//! The command line: commands, flags and their environment variables.

use bpaf::Bpaf;
use lagoonhill_core::entry::DEFAULT_LOOK_AHEAD;
use lagoonhill_operator::GroupBy;

/// Options of every daemon. All values are checked together, so that one start
/// reports every invalid setting.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct CommonOptions {
    /// Address of the platform's key-value service
    #[bpaf(env("LAGOONHILL_PLATFORM"), argument("IP:PORT"), optional)]
    pub(crate) platform: Option<String>,
    /// Address of the platform's balancer, to find entries while the store is down
    #[bpaf(env("LAGOONHILL_BALANCER"), argument("IP:PORT"), optional)]
    pub(crate) balancer: Option<String>,
    /// HTTP address of an entry that knows the others, if the store can't be read; may
    /// be given several times
    #[bpaf(long("seed"), argument("IP:PORT"), many)]
    pub(crate) seeds: Vec<String>,
    /// Address to receive packets from other lagoonhill processes
    #[bpaf(
        env("LAGOONHILL_INBOX"),
        argument("IP:PORT"),
        fallback("127.0.0.1:0".to_owned()),
        display_fallback
    )]
    pub(crate) inbox: String,
    /// Address under which other processes reach the inbox, if it differs
    #[bpaf(env("LAGOONHILL_ADVERTISE"), argument("IP:PORT"), optional)]
    pub(crate) advertise: Option<String>,
    /// Longest wait for running work during shutdown
    #[bpaf(
        env("LAGOONHILL_DRAIN_LIMIT"),
        argument("DURATION"),
        fallback("60s".to_owned()),
        display_fallback
    )]
    pub(crate) drain_limit: String,
    /// Log format: text or json
    #[bpaf(
        env("LAGOONHILL_LOG_FORMAT"),
        argument("FORMAT"),
        fallback("text".to_owned()),
        display_fallback
    )]
    pub(crate) log_format: String,
    /// Log level: error, warn, info or debug
    #[bpaf(
        env("LAGOONHILL_LOG_LEVEL"),
        argument("LEVEL"),
        fallback("info".to_owned()),
        display_fallback
    )]
    pub(crate) log_level: String,
    /// Print the settings in force and exit
    #[bpaf(switch)]
    pub(crate) print_settings: bool,
}

/// Options of an entry.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct EntryOptions {
    /// Address to receive requests from callers and other entries
    #[bpaf(
        env("LAGOONHILL_HTTP"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8080".to_owned()),
        display_fallback
    )]
    pub(crate) http: String,
    /// The entry's availability zone: preferred among otherwise equal workers
    #[bpaf(env("LAGOONHILL_ZONE"), argument("NAME"), optional)]
    pub(crate) zone: Option<String>,
    /// How long to keep serving after a shutdown request
    #[bpaf(
        env("LAGOONHILL_DRAIN_DELAY"),
        argument("DURATION"),
        fallback("2s".to_owned()),
        display_fallback
    )]
    pub(crate) drain_delay: String,
    /// Largest request body
    #[bpaf(
        env("LAGOONHILL_MAX_BODY"),
        argument("SIZE"),
        fallback("4MiB".to_owned()),
        display_fallback
    )]
    pub(crate) max_body: String,
    /// Tasks sent to an agent beyond its number of slots
    #[bpaf(
        env("LAGOONHILL_LOOK_AHEAD"),
        argument("COUNT"),
        fallback(DEFAULT_LOOK_AHEAD.to_string()),
        display_fallback
    )]
    pub(crate) look_ahead: String,
    /// Highest rate of binding callers' keys in the platform's store
    #[bpaf(
        env("LAGOONHILL_KEY_RATE"),
        argument("RATE"),
        fallback("50/s".to_owned()),
        display_fallback
    )]
    pub(crate) key_rate: String,
}

/// Options of an agent.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct AgentOptions {
    /// The worker's name
    #[bpaf(env("LAGOONHILL_WORKER"), argument("NAME"), optional)]
    pub(crate) worker: Option<String>,
    /// The worker's availability zone
    #[bpaf(env("LAGOONHILL_ZONE"), argument("NAME"), optional)]
    pub(crate) zone: Option<String>,
    /// Address to receive the target's announcement
    #[bpaf(
        env("LAGOONHILL_HTTP"),
        argument("IP:PORT"),
        fallback("127.0.0.1:8081".to_owned()),
        display_fallback
    )]
    pub(crate) http: String,
}

/// Where the rules are stored.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct StoreOptions {
    /// Address of the platform's key-value service
    #[bpaf(env("LAGOONHILL_PLATFORM"), argument("IP:PORT"))]
    pub(crate) platform: String,
}

/// Commands for the rules.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum RulesCommand {
    /// Check a rule file and report every error
    #[bpaf(command)]
    Check {
        /// The rule file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Print the rules in the platform's store
    #[bpaf(command)]
    Show {
        #[bpaf(external(store_options))]
        store: StoreOptions,
    },
    /// Set one line: `lagoonhill rules set 'team north rate=50/s  # Asha'`
    #[bpaf(command)]
    Set {
        #[bpaf(external(store_options))]
        store: StoreOptions,
        /// The whole line, ending with who asked for it
        #[bpaf(positional("LINE"))]
        line: String,
    },
    /// Remove one line
    #[bpaf(command)]
    Remove {
        #[bpaf(external(store_options))]
        store: StoreOptions,
        /// The line's first word
        #[bpaf(positional("KIND"))]
        kind: String,
        /// The line's second word
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Replace the rules by a file
    #[bpaf(command)]
    Apply {
        #[bpaf(external(store_options))]
        store: StoreOptions,
        /// An entry whose rules replace a stored value that can't be decoded
        #[bpaf(argument("IP:PORT"), optional)]
        restore_from: Option<String>,
        /// The rule file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show recent edits and who asked for them
    #[bpaf(command)]
    Log {
        #[bpaf(external(store_options))]
        store: StoreOptions,
    },
    /// Wait until the stored rules are in force everywhere
    #[bpaf(command)]
    Status {
        #[bpaf(external(store_options))]
        store: StoreOptions,
        /// Address of any entry
        #[bpaf(env("LAGOONHILL_ENTRY"), argument("IP:PORT"))]
        entry: String,
    },
}

/// Options of the analysis of logs.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct AnalyzeOptions {
    /// Group jobs: all, team, width, entry or worker
    #[bpaf(argument("GROUPING"), fallback(GroupBy::All), display_fallback)]
    pub(crate) by: GroupBy,
    /// Leave out jobs that came earlier than this after the first one
    #[bpaf(argument("SECONDS"), fallback(0.0), display_fallback)]
    pub(crate) from: f64,
    /// Leave out jobs that came later than this after the first one
    #[bpaf(argument("SECONDS"), fallback(f64::INFINITY))]
    pub(crate) to: f64,
    /// Print JSON
    #[bpaf(switch)]
    pub(crate) json: bool,
    /// Logs named after their processes, or `-` for standard input
    #[bpaf(positional("FILE"), many)]
    pub(crate) logs: Vec<String>,
}

/// Options of the demonstration.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct DemoOptions {
    /// Keep running after the rush, for requests by hand
    #[bpaf(switch)]
    pub(crate) serve: bool,
    /// Number of entries
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    pub(crate) entries: u16,
    /// Number of workers
    #[bpaf(argument("COUNT"), fallback(11), display_fallback)]
    pub(crate) workers: u16,
    /// Length of the rush in seconds
    #[bpaf(argument("SECONDS"), fallback(6), display_fallback)]
    pub(crate) seconds: u16,
    /// Log level: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback("error".to_owned()), display_fallback)]
    pub(crate) log_level: String,
}

/// Dispatches sub-second tasks to targets, each at most once.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run an entry: takes jobs, places tasks, assembles answers
    #[bpaf(command)]
    Entry {
        #[bpaf(external(common_options))]
        common: CommonOptions,
        #[bpaf(external(entry_options))]
        options: EntryOptions,
    },
    /// Run an agent beside a target
    #[bpaf(command)]
    Agent {
        #[bpaf(external(common_options))]
        common: CommonOptions,
        #[bpaf(external(agent_options))]
        options: AgentOptions,
    },
    /// Check and change the rules
    #[bpaf(command)]
    Rules(#[bpaf(external(rules_command))] RulesCommand),
    /// Show an entry's view of the fleet
    #[bpaf(command)]
    Status {
        /// Address of the entry
        #[bpaf(env("LAGOONHILL_ENTRY"), argument("IP:PORT"))]
        entry: String,
    },
    /// Explain what happened to one job, from logs or from its entry's recent decisions
    #[bpaf(command)]
    Explain {
        /// Address of the entry that owns the job
        #[bpaf(env("LAGOONHILL_ENTRY"), argument("IP:PORT"), optional)]
        entry: Option<String>,
        /// A log file named after its process, or `-` for standard input; may be
        /// repeated
        #[bpaf(argument("FILE"), many)]
        log: Vec<String>,
        /// The job: the caller's request key (logs only), or the entry's job id
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Tell from logs where time, work and promises went
    #[bpaf(command)]
    Analyze(#[bpaf(external(analyze_options))] AnalyzeOptions),
    /// Run a whole fleet with stand-in targets under a short load peak
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
}

/// Parses the command line; prints help or an error and exits as needed.
pub(crate) fn parse() -> Command {
    command().run()
}
