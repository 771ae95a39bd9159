//! Bearer tokens of operators, callers and workers.

use std::{fmt, fs, path::Path};

use acaciareel_types::TenantName;
use error_stack::{Report, ResultExt};
use hyper::{HeaderMap, StatusCode, header};

use crate::{config::TokensConfig, error::DaemonError, http::HttpError};

/// Shortest token; 16 characters of base64 hold 96 bits.
const MIN_TOKEN_BYTES: usize = 16;

/// Part of the interface that a token gives access to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Tables, workers, VMs, status, metrics.
    Operator,
    /// Submitting, querying and cancelling requests.
    Caller,
    /// Announcements of workers and results of tasks.
    Worker,
}

/// Rights of the holder of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Access {
    role: Role,
    /// Tenant that the holder is limited to; `None` allows every tenant.
    tenant: Option<TenantName>,
}

impl Access {
    /// Checks that the holder may act for a tenant; fails with 403.
    pub fn check_tenant(&self, tenant: &TenantName) -> Result<(), HttpError> {
        match &self.tenant {
            Some(own) if own != tenant => {
                let reason = format!("the token belongs to tenant {own}");
                Err(HttpError::new(StatusCode::FORBIDDEN, reason))
            }
            _ => Ok(()),
        }
    }
}

/// All valid tokens with their rights.
pub struct Tokens {
    tokens: Vec<(String, Access)>,
}

impl fmt::Debug for Tokens {
    /// Writes only the number of tokens: the tokens themselves must not appear in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tokens({})", self.tokens.len())
    }
}

impl Tokens {
    /// Reads the token files that the settings name.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, has no token, or has a token that is too short or a tenant
    /// name that is not valid.
    pub fn load(config: &TokensConfig) -> Result<Self, Report<DaemonError>> {
        let mut tokens = Vec::new();
        for (file, role) in [
            (&config.operators, Role::Operator),
            (&config.callers, Role::Caller),
            (&config.workers, Role::Worker),
        ] {
            read_tokens(file, role, &mut tokens)?;
        }
        Ok(Self { tokens })
    }

    /// Returns the token that this VM sends with calls to workers: the first one in the file of
    /// workers.
    pub fn worker_token(&self) -> &str {
        let mut tokens = self.tokens.iter();
        let found = tokens.find(|(_, access)| access.role == Role::Worker);
        found.map_or("", |(token, _)| token)
    }

    /// Checks the token of a request against the role that the request needs; fails with 401 or
    /// 403.
    pub fn check(&self, headers: &HeaderMap, role: Role) -> Result<Access, HttpError> {
        let value = headers.get(header::AUTHORIZATION);
        let token = value
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        let Some(token) = token else {
            let reason = "the header Authorization needs a bearer token";
            return Err(HttpError::new(StatusCode::UNAUTHORIZED, reason.to_owned()));
        };
        // All tokens are compared, so that the duration gives no information about them.
        let matches = self
            .tokens
            .iter()
            .filter(|(valid, _)| constant_time_eq(valid, token));
        let matches: Vec<_> = matches.map(|(_, access)| access).collect();
        if matches.is_empty() {
            let reason = "the token is not known".to_owned();
            return Err(HttpError::new(StatusCode::UNAUTHORIZED, reason));
        }
        let allowed = matches.into_iter().find(|access| access.role == role);
        allowed.cloned().ok_or_else(|| {
            let reason = "the token does not open this part of the interface";
            HttpError::new(StatusCode::FORBIDDEN, reason.to_owned())
        })
    }
}

/// Adds the tokens of a file: one a line, `TOKEN` or `TOKEN TENANT`; lines that start with `#` are
/// comments.
fn read_tokens(
    file: &Path,
    role: Role,
    tokens: &mut Vec<(String, Access)>,
) -> Result<(), Report<DaemonError>> {
    let report =
        || Report::new(DaemonError::Start).attach(format!("token file {}", file.display()));
    let before = tokens.len();
    let text = fs::read_to_string(file)
        .change_context(DaemonError::Start)
        .attach_with(|| format!("token file {}", file.display()))?;
    for line in text.lines() {
        let mut words = line.split_whitespace();
        let Some(token) = words.next().filter(|word| !word.starts_with('#')) else {
            continue;
        };
        if token.len() < MIN_TOKEN_BYTES {
            let reason = format!("a token has fewer than {MIN_TOKEN_BYTES} characters");
            return Err(report().attach(reason));
        }
        let tenant = words.next().map(str::parse::<TenantName>).transpose();
        let tenant = tenant.map_err(|error| report().attach(error))?;
        tokens.push((token.to_owned(), Access { role, tenant }));
    }
    if tokens.len() == before {
        return Err(report().attach("the file holds no token"));
    }
    Ok(())
}

/// Compares in a time that depends on the lengths only, so that a wrong token gives no information
/// about a valid one.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let difference = a.bytes().zip(b.bytes()).fold(0, |d, (a, b)| d | (a ^ b));
    a.len() == b.len() && difference == 0
}
