//! Logging as `key=value` pairs or as JSON, with a level that can change at run time.

use std::{
    io::{self, Write},
    time::Duration,
};

use acaciareel_node::LogLevel;
use error_stack::{Report, ResultExt};
use flexi_logger::{
    DeferredNow, FileSpec, FormatFunction, LogSpecification, Logger, LoggerHandle, WriteMode,
};
use log::{
    Level, LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::{
    config::{LogFormat, LogsConfig},
    error::DaemonError,
};

/// Starts logging to the folder in the settings, or to standard error without one. Logging ends
/// when the handle is dropped.
///
/// # Errors
///
/// Fails if the level is unknown, the log folder cannot be used or logging was started before.
pub fn start(config: &LogsConfig) -> Result<LoggerHandle, Report<DaemonError>> {
    let logger = Logger::try_with_str(&config.level)
        .change_context(DaemonError::Settings)?
        .format(format_of(config.format));
    let logger = match &config.folder {
        Some(folder) => logger.log_to_file(FileSpec::default().directory(folder)),
        None => logger.log_to_stderr(),
    };
    logger.start().change_context(DaemonError::Start)
}

/// Size of the buffer of log lines.
const BUFFER_BYTES: usize = 2 << 10;
/// Longest time for which a log line stays in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts logging to standard output. Lines are buffered, so that not every line needs a system
/// call. Logging ends when the handle is dropped.
///
/// # Errors
///
/// Fails if the level is unknown or logging was started before.
pub fn start_on_stdout(
    level: &str,
    format: LogFormat,
) -> Result<LoggerHandle, Report<DaemonError>> {
    Logger::try_with_str(level)
        .change_context(DaemonError::Settings)?
        .format(format_of(format))
        .log_to_stdout()
        .write_mode(WriteMode::BufferAndFlushWith(BUFFER_BYTES, FLUSH_INTERVAL))
        .start()
        .change_context(DaemonError::Start)
}

fn format_of(format: LogFormat) -> FormatFunction {
    match format {
        LogFormat::KeyValue => key_value_line,
        LogFormat::Json => flexi_logger::json_format,
    }
}

/// Parses a level, such as `info`, or levels by module, such as `info, quinn=warn`.
///
/// # Errors
///
/// Fails if a level is unknown; the library would take the unknown word for a module name.
pub fn parse_level(text: &str) -> Result<LogSpecification, String> {
    for part in text.split(',') {
        let level = part.rsplit('=').next().unwrap_or("").trim();
        if level.parse::<LevelFilter>().is_err() {
            let known = "off, error, warn, info, debug, trace";
            return Err(format!("{level:?} is not one of {known}"));
        }
    }
    LogSpecification::parse(text).map_err(|error| error.to_string())
}

/// Logs an event of the node, or of the reducer of a cell VM, with the target `acaciareel_node`.
pub fn log_node_event(level: LogLevel, event: &str, fields: &[(&'static str, String)]) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    if level > log::max_level() {
        return;
    }
    let mut pairs = vec![("event", event)];
    pairs.extend(fields.iter().map(|(key, value)| (*key, value.as_str())));
    log::logger().log(
        &Record::builder()
            .level(level)
            .target("acaciareel_node")
            .module_path_static(Some("acaciareel_node"))
            .args(format_args!(""))
            .key_values(&pairs.as_slice())
            .build(),
    );
}

/// Writes one line: time, level, the key-value pairs of the record, and its message if it has one.
fn key_value_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%:z");
    let level = record.level().as_str().to_ascii_lowercase();
    write!(out, "time={time} level={level}")?;
    let mut pairs = PairWriter {
        out,
        result: Ok(()),
    };
    let visited = record.key_values().visit(&mut pairs);
    pairs.result.and(visited.map_err(io::Error::other))?;
    let text = record.args().to_string();
    if !text.is_empty() {
        write_pair(out, "message", &text)?;
    }
    Ok(())
}

/// Writes the pairs that it visits; keeps the first error.
struct PairWriter<'a> {
    out: &'a mut dyn Write,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.result.is_ok() {
            self.result = write_pair(self.out, key.as_str(), &value.to_string());
        }
        Ok(())
    }
}

/// Writes one pair. A value that is empty or contains characters other than visible ASCII, or a
/// quote or an equals sign, is quoted.
fn write_pair(out: &mut dyn Write, key: &str, value: &str) -> io::Result<()> {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        write!(out, " {key}={value}")
    } else {
        write!(out, " {key}={value:?}")
    }
}
