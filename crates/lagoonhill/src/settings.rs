//! Checks the options of the daemons and turns them into settings.

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

/// Parses values and collects every error instead of stopping at the first.
#[derive(Debug, Default)]
struct SettingsParser {
    errors: Vec<String>,
}

impl SettingsParser {
    fn parse<T: FromStr<Err: Display>>(&mut self, flag: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.errors.push(format!("--{flag}: {error}"));
                None
            }
        }
    }

    fn parse_address(&mut self, flag: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            let message = "write an IP number and a port, such as 10.0.0.1:8080";
            self.errors
                .push(format!("--{flag}: `{text}` is not an address: {message}"));
        }
        address
    }

    /// Parses an address that may be absent; one that can't be parsed is an error, which `finish` reports.
    fn parse_optional_address(&mut self, flag: &str, text: Option<&str>) -> Option<SocketAddr> {
        text.and_then(|text| self.parse_address(flag, text))
    }

    fn parse_addresses(&mut self, flag: &str, texts: &[String]) -> Option<Vec<SocketAddr>> {
        let addresses = texts.iter().map(|text| self.parse_address(flag, text));
        let addresses: Vec<Option<SocketAddr>> = addresses.collect();
        addresses.into_iter().collect()
    }

    fn parse_required<T: FromStr<Err: Display>>(
        &mut self,
        flag: &str,
        text: Option<&str>,
    ) -> Option<T> {
        let Some(text) = text else {
            let variable = format!("LAGOONHILL_{}", flag.to_uppercase());
            self.errors.push(format!(
                "--{flag}: missing; give the flag or set {variable}"
            ));
            return None;
        };
        self.parse(flag, text)
    }

    fn finish<T>(self, settings: Option<T>) -> Result<T, String> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(format!("invalid settings:\n  {}", self.errors.join("\n  "))),
        }
    }
}

fn log_settings(parser: &mut SettingsParser, common: &CommonOptions) -> Option<LogSettings> {
    let format = parser.parse("log-format", &common.log_format);
    let level = parser.parse("log-level", &common.log_level);
    Some(LogSettings {
        format: format?,
        level: level?,
    })
}

/// Checks the options of an entry and returns its settings.
pub(crate) fn check_entry(
    common: &CommonOptions,
    options: &EntryOptions,
) -> Result<(EntrySettings, LogSettings), String> {
    let mut parser = SettingsParser::default();
    let log = log_settings(&mut parser, common);
    let http = parser.parse_address("http", &options.http);
    let inbox = parser.parse_address("inbox", &common.inbox);
    let advertise = parser.parse_optional_address("advertise", common.advertise.as_deref());
    let platform = parser.parse_optional_address("platform", common.platform.as_deref());
    let balancer = parser.parse_optional_address("balancer", common.balancer.as_deref());
    let seeds = parser.parse_addresses("seed", &common.seeds);
    let zone = options.zone.as_deref();
    let zone = zone.map(|zone| parser.parse("zone", zone));
    let drain_delay_ms = parser.parse("drain-delay", &options.drain_delay);
    let drain_limit_ms = parser.parse("drain-limit", &common.drain_limit);
    let max_body_bytes = parser.parse("max-body", &options.max_body);
    let look_ahead = parser.parse("look-ahead", &options.look_ahead);
    let key_rate = parser.parse("key-rate", &options.key_rate);
    if common.platform.is_none() && common.balancer.is_none() {
        let message = "--platform: missing; give the store's address, or --balancer to learn the rules from other entries";
        parser.errors.push(message.to_owned());
    }
    let build = || {
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
            seeds: seeds?,
            seed_address: None,
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
    let settings = build();
    parser.finish(settings)
}

/// Checks the options of an agent and returns its settings.
pub(crate) fn check_agent(
    common: &CommonOptions,
    options: &AgentOptions,
) -> Result<(AgentSettings, LogSettings), String> {
    let mut parser = SettingsParser::default();
    let log = log_settings(&mut parser, common);
    let worker = parser.parse_required("worker", options.worker.as_deref());
    let zone = parser.parse_required("zone", options.zone.as_deref());
    let http = parser.parse_address("http", &options.http);
    let inbox = parser.parse_address("inbox", &common.inbox);
    let advertise = parser.parse_optional_address("advertise", common.advertise.as_deref());
    let platform = parser.parse_optional_address("platform", common.platform.as_deref());
    let balancer = parser.parse_optional_address("balancer", common.balancer.as_deref());
    let seeds = parser.parse_addresses("seed", &common.seeds);
    let drain_limit_ms = parser.parse("drain-limit", &common.drain_limit);
    if common.platform.is_none() && common.balancer.is_none() {
        let message =
            "--platform: missing; give the store's address, or --balancer, to find entries";
        parser.errors.push(message.to_owned());
    }
    let build = || {
        let mut settings = AgentSettings::new(worker?, zone?);
        settings.http = http?;
        settings.inbox = inbox?;
        settings.advertise = advertise;
        settings.platform = platform;
        settings.balancer = balancer;
        settings.seeds = seeds?;
        settings.drain_limit_ms = drain_limit_ms?;
        Some((settings, log?))
    };
    let settings = build();
    parser.finish(settings)
}

/// Parses one address given to an operator's command.
pub(crate) fn read_address(text: &str) -> Result<SocketAddr, String> {
    let mut parser = SettingsParser::default();
    let address = parser.parse_address("address", text);
    parser.finish(address)
}

/// Parses one value given to an operator's command.
pub(crate) fn read_value<T: FromStr<Err: Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}
