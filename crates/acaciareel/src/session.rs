//! Calls that are tried on several servers in turn.

use std::{fmt, ops::ControlFlow, time::Duration};

use acaciareel_wire::{headers, http};
use error_stack::Report;
use futures_util::future;
use hyper::{StatusCode, http::uri::Authority};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    config::Config,
    error::{CliError, CliResult},
    transport::{Answer, Call, Transport, Trouble},
};

/// Pause before the second round; it doubles with each round.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between rounds.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Servers and the client that reaches them.
#[derive(Debug)]
pub struct Session {
    config: Config,
    transport: Transport,
}

/// An answer that is not what the call asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// Every server would reject the call; nothing was done.
    Final(String),
    /// This server has not carried out the call, or may have.
    Trouble(Trouble),
}

impl Session {
    /// Creates a session.
    pub fn new(config: Config) -> Self {
        let transport = Transport::new(config.authorization.clone());
        Self { config, transport }
    }

    /// Sends a call to one server.
    pub async fn exchange(&self, server: &Authority, call: &Call) -> Result<Answer, Trouble> {
        self.transport.exchange(server, call).await
    }

    /// Runs a step for each server in turn, round by round, until it breaks with a result.
    pub async fn each_server<T>(
        &self,
        mut step: impl AsyncFnMut(&Authority) -> ControlFlow<T>,
    ) -> Option<T> {
        let mut pause = FIRST_PAUSE;
        for round in 0..self.config.rounds {
            if round > 0 {
                time::sleep(pause).await;
                pause = LONGEST_PAUSE.min(pause * 2);
            }
            for server in &self.config.servers {
                if let ControlFlow::Break(result) = step(server).await {
                    return Some(result);
                }
            }
        }
        None
    }

    /// Sends a call that may be carried out several times, and returns the first answer that
    /// `accept` takes.
    pub async fn repeatable<T>(
        &self,
        call: &Call,
        accept: impl Fn(&Answer) -> Option<T>,
    ) -> CliResult<T> {
        let mut trouble = Vec::new();
        let result = self
            .each_server(async |server| {
                let rejection = match self.exchange(server, call).await {
                    Ok(answer) => match accept(&answer) {
                        Some(accepted) => return ControlFlow::Break(Ok(accepted)),
                        None => rejection(&answer),
                    },
                    Err(trouble) => Rejection::Trouble(trouble),
                };
                match rejection {
                    Rejection::Final(text) => ControlFlow::Break(Err(text)),
                    Rejection::Trouble(new) => {
                        note_trouble(&mut trouble, server, new.text());
                        ControlFlow::Continue(())
                    }
                }
            })
            .await;
        match result {
            Some(Ok(accepted)) => Ok(accepted),
            Some(Err(text)) => Err(Report::new(CliError::general(text))),
            None => Err(Report::new(CliError::general(no_answer(&trouble)))),
        }
    }

    /// Reads a JSON body.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> CliResult<T> {
        let call = Call::new(hyper::Method::GET, path);
        self.repeatable(&call, |answer| {
            let ok = answer.status == StatusCode::OK;
            ok.then(|| serde_json::from_slice(&answer.body).ok())?
        })
        .await
    }
}

/// A server that did not answer.
#[derive(Debug, Serialize)]
pub struct Silent {
    /// Address.
    pub server: String,
    /// What went wrong.
    pub error: String,
}

impl Session {
    /// Asks all servers at once; returns the answers, and the servers without one.
    pub async fn ask_all<T>(
        &self,
        ask: impl AsyncFn(&Self, &Authority) -> Result<T, String>,
    ) -> (Vec<T>, Vec<Silent>) {
        let asked = self.config.servers.iter().map(|server| ask(self, server));
        let results = future::join_all(asked).await;
        let (mut answers, mut silent) = (Vec::new(), Vec::new());
        for (server, result) in self.config.servers.iter().zip(results) {
            match result {
                Ok(answer) => answers.push(answer),
                Err(error) => silent.push(Silent {
                    server: server.to_string(),
                    error,
                }),
            }
        }
        (answers, silent)
    }
}

impl fmt::Display for Silent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.error)
    }
}

/// Makes the error that none of the servers answered.
pub fn no_servers(silent: &[Silent]) -> Report<CliError> {
    let lines = silent.iter().map(ToString::to_string);
    Report::new(CliError::general(no_answer(&lines.collect::<Vec<_>>())))
}

/// Remembers what went wrong with a server, once for each server and text.
pub fn note_trouble(trouble: &mut Vec<String>, server: &Authority, text: &str) {
    let line = format!("{server}: {text}");
    if !trouble.contains(&line) {
        trouble.push(line);
    }
}

/// Returns the message that no server gave a useful answer.
pub fn no_answer(trouble: &[String]) -> String {
    format!("no server answered: {}", trouble.join("; "))
}

/// Tells what an answer means that is not what the call asked for.
pub fn rejection(answer: &Answer) -> Rejection {
    let Ok(body) = serde_json::from_slice::<http::ErrorBody>(&answer.body) else {
        // Something between client and daemon may have answered, so the fate is unknown.
        let text = format!("unexpected answer with status {}", answer.status);
        return Rejection::Trouble(Trouble::Lost(text));
    };
    let text = format!("{} ({})", body.error, answer.status);
    let try_next = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if body.verdict != headers::NOT_RUN {
        Rejection::Trouble(Trouble::Lost(text))
    } else if try_next.contains(&answer.status) {
        Rejection::Trouble(Trouble::NotDone(text))
    } else {
        Rejection::Final(text)
    }
}
