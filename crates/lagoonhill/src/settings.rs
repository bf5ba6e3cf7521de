use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use lagoonhill_agent::AgentSettings;
use lagoonhill_core::Timing;
use lagoonhill_daemon::logging::{LogFormat, LogLevel};
use lagoonhill_entry::EntrySettings;

use crate::cli::{AgentOptions, CommonOptions, EntryOptions};

/// Logging settings of a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogSettings {
    pub(crate) format: LogFormat,
    pub(crate) level: LogLevel,
}

/// Collects every mistake instead of stopping at the first.
#[derive(Debug, Default)]
struct Checker {
    mistakes: Vec<String>,
}

impl Checker {
    fn read<T: FromStr<Err: Display>>(&mut self, flag: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.mistakes.push(format!("--{flag}: {error}"));
                None
            }
        }
    }

    fn address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            let mistake = "write an IP number and a port, such as 10.0.0.1:8080";
            self.mistakes
                .push(format!("--{flag}: `{text}` is not an address: {mistake}"));
        }
        address
    }

    /// Absent is fine; unreadable is a mistake, which `finish` reports.
    fn optional_address(&mut self, flag: &str, text: Option<&str>) -> Option<SocketAddr> {
        text.and_then(|text| self.address(flag, text))
    }

    fn required<T: FromStr<Err: Display>>(&mut self, flag: &str, text: Option<&str>) -> Option<T> {
        let Some(text) = text else {
            let variable = format!("LAGOONHILL_{}", flag.to_uppercase());
            self.mistakes.push(format!(
                "--{flag}: missing; give the flag or set {variable}"
            ));
            return None;
        };
        self.read(flag, text)
    }

    fn finish<T>(self, settings: Option<T>) -> Result<T, String> {
        match settings {
            Some(settings) if self.mistakes.is_empty() => Ok(settings),
            _ => Err(format!(
                "the settings can't be used:\n  {}",
                self.mistakes.join("\n  ")
            )),
        }
    }
}

fn log_settings(check: &mut Checker, common: &CommonOptions) -> Option<LogSettings> {
    let format = check.read("log-format", &common.log_format);
    let level = check.read("log-level", &common.log_level);
    Some(LogSettings {
        format: format?,
        level: level?,
    })
}

/// Checks the settings of an entry.
pub(crate) fn check_entry(
    common: &CommonOptions,
    options: &EntryOptions,
) -> Result<(EntrySettings, LogSettings), String> {
    let mut check = Checker::default();
    let log = log_settings(&mut check, common);
    let http = check.address("http", &options.http);
    let inbox = check.address("inbox", &common.inbox);
    let advertise = check.optional_address("advertise", common.advertise.as_deref());
    let platform = check.optional_address("platform", common.platform.as_deref());
    let balancer = check.optional_address("balancer", common.balancer.as_deref());
    let zone = options.zone.as_deref();
    let zone = zone.map(|zone| check.read("zone", zone));
    let drain_delay_ms = check.read("drain-delay", &options.drain_delay);
    let drain_limit_ms = check.read("drain-limit", &common.drain_limit);
    let max_body_bytes = check.read("max-body", &options.max_body);
    let look_ahead = check.read("look-ahead", &options.look_ahead);
    let key_rate = check.read("key-rate", &options.key_rate);
    if common.platform.is_none() && common.balancer.is_none() {
        let mistake = "--platform: missing; give the store's address, or --balancer to learn the rules from other entries";
        check.mistakes.push(mistake.to_owned());
    }
    let assemble = || {
        let settings = EntrySettings {
            http: http?,
            zone: match zone {
                Some(zone) => Some(zone?),
                None => None,
            },
            inbox: inbox?,
            advertise,
            platform,
            balancer,
            drain_delay_ms: drain_delay_ms?,
            drain_limit_ms: drain_limit_ms?,
            max_body_bytes: max_body_bytes?,
            look_ahead: look_ahead?,
            key_rate: key_rate?,
            shares_rules: true,
            timing: Timing::default(),
        };
        Some((settings, log?))
    };
    let settings = assemble();
    check.finish(settings)
}

/// Checks the settings of an agent.
pub(crate) fn check_agent(
    common: &CommonOptions,
    options: &AgentOptions,
) -> Result<(AgentSettings, LogSettings), String> {
    let mut check = Checker::default();
    let log = log_settings(&mut check, common);
    let worker = check.required("worker", options.worker.as_deref());
    let zone = check.required("zone", options.zone.as_deref());
    let http = check.address("http", &options.http);
    let inbox = check.address("inbox", &common.inbox);
    let advertise = check.optional_address("advertise", common.advertise.as_deref());
    let platform = check.optional_address("platform", common.platform.as_deref());
    let balancer = check.optional_address("balancer", common.balancer.as_deref());
    let drain_limit_ms = check.read("drain-limit", &common.drain_limit);
    if common.platform.is_none() && common.balancer.is_none() {
        let mistake =
            "--platform: missing; give the store's address, or --balancer, to find entries";
        check.mistakes.push(mistake.to_owned());
    }
    let assemble = || {
        let mut settings = AgentSettings::new(worker?, zone?);
        settings.http = http?;
        settings.inbox = inbox?;
        settings.advertise = advertise;
        settings.platform = platform;
        settings.balancer = balancer;
        settings.drain_limit_ms = drain_limit_ms?;
        Some((settings, log?))
    };
    let settings = assemble();
    check.finish(settings)
}

/// Reads one address given to an operator's command.
pub(crate) fn read_address(text: &str) -> Result<SocketAddr, String> {
    let mut check = Checker::default();
    let address = check.address("address", text);
    check.finish(address)
}

/// Reads one value given to an operator's command.
pub(crate) fn read_value<T: FromStr<Err: Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}
