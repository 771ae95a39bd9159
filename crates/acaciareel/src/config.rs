//! Checked settings of one run.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use hyper::http::{HeaderValue, uri::Authority};

use crate::{
    cli::Cli,
    error::{CliError, CliResult},
    exit_codes::ExitCode,
};

/// How the servers are reached.
#[derive(Clone, Debug)]
pub struct Config {
    /// Servers in the order in which they are tried.
    pub servers: Vec<Authority>,
    /// Value of the header `Authorization`.
    pub authorization: Option<HeaderValue>,
    /// Times that all servers are tried.
    pub rounds: u32,
}

impl TryFrom<&Cli> for Config {
    type Error = Report<CliError>;

    fn try_from(cli: &Cli) -> CliResult<Self> {
        if cli.server.is_empty() {
            return Err(usage("the command needs --server"));
        }
        if cli.rounds == 0 {
            return Err(usage("--rounds must be at least 1"));
        }
        let servers = cli.server.iter().map(|text| server(text));
        let token = cli.token_file.as_deref().map(authorization);
        Ok(Self {
            servers: servers.collect::<CliResult<_>>()?,
            authorization: token.transpose()?,
            rounds: cli.rounds,
        })
    }
}

fn usage(text: impl Into<String>) -> Report<CliError> {
    Report::new(CliError::new(ExitCode::Usage, text))
}

fn server(text: &str) -> CliResult<Authority> {
    let bare = text.strip_prefix("http://").unwrap_or(text);
    let bare = bare.strip_suffix('/').unwrap_or(bare);
    let wrong = || usage(format!("--server {text:?} is not of the form HOST:PORT"));
    let authority: Authority = bare.parse().map_err(|_| wrong())?;
    if bare.contains('@') || authority.host().is_empty() || authority.port_u16().is_none() {
        return Err(wrong());
    }
    Ok(authority)
}

fn authorization(file: &Path) -> CliResult<HeaderValue> {
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
