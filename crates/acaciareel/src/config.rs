//! Checked connection options of one run.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use hyper::http::{HeaderValue, uri::Authority};

use crate::{
    cli::Cli,
    error::{CliError, CliResult},
    exit_codes::ExitCode,
};

/// Servers and credentials for the calls of one run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Servers in the order in which they are tried.
    pub servers: Vec<Authority>,
    /// Value of the header `Authorization`; none without a token file.
    pub authorization: Option<HeaderValue>,
    /// Number of passes over all servers, at least 1.
    pub rounds: u32,
}

impl TryFrom<&Cli> for Config {
    type Error = Report<CliError>;

    fn try_from(cli: &Cli) -> CliResult<Self> {
        if cli.server.is_empty() {
            return Err(usage_error("the command needs --server"));
        }
        if cli.rounds == 0 {
            return Err(usage_error("--rounds must be at least 1"));
        }
        let servers = cli.server.iter().map(|text| parse_server(text));
        let token = cli.token_file.as_deref().map(read_authorization);
        Ok(Self {
            servers: servers.collect::<CliResult<_>>()?,
            authorization: token.transpose()?,
            rounds: cli.rounds,
        })
    }
}

fn usage_error(text: impl Into<String>) -> Report<CliError> {
    Report::new(CliError::new(ExitCode::Usage, text))
}

/// Parses `HOST:PORT`, with an optional `http://` in front and an optional `/` at the end.
fn parse_server(text: &str) -> CliResult<Authority> {
    let address = text.strip_prefix("http://").unwrap_or(text);
    let address = address.strip_suffix('/').unwrap_or(address);
    let invalid = || usage_error(format!("--server {text:?} is not of the form HOST:PORT"));
    let authority: Authority = address.parse().map_err(|_| invalid())?;
    if address.contains('@') || authority.host().is_empty() || authority.port_u16().is_none() {
        return Err(invalid());
    }
    Ok(authority)
}

/// Reads a token file: the first word of the first line that is neither empty nor a comment (`#`).
///
/// The value is marked as sensitive, so that debug output does not show the token.
fn read_authorization(file: &Path) -> CliResult<HeaderValue> {
    let context = || CliError::general(format!("cannot use the token file {}", file.display()));
    let text = fs::read_to_string(file).change_context_lazy(context)?;
    let lines = text.lines().map(str::trim);
    let token = lines
        .filter(|line| !line.starts_with('#'))
        .find_map(|line| line.split_whitespace().next())
        .ok_or_else(|| Report::new(CliError::general("it holds no token")))
        .change_context_lazy(context)?;
    let mut value =
        HeaderValue::from_str(&format!("Bearer {token}")).change_context_lazy(context)?;
    value.set_sensitive(true);
    Ok(value)
}
