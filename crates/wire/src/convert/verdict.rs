//! Conversions of verdicts, to and from Protobuf messages and JSON bodies.

use acaciareel_types::{Millis, Reason, Verdict};

use crate::{
    DecodeError, Fields, headers, http,
    types::{self, verdict},
};

impl From<&Verdict> for types::Verdict {
    fn from(value: &Verdict) -> Self {
        let verdict = match value {
            Verdict::Ran(answer) => verdict::Verdict::Ran(answer.into()),
            Verdict::NotRun {
                reason,
                retry_after_ms,
            } => verdict::Verdict::NotRun(types::NotRun {
                reason: reason.to_string(),
                retry_after_ms: retry_after_ms.0,
            }),
            Verdict::MayHaveRun { reason } => verdict::Verdict::MayHaveRun(types::MayHaveRun {
                reason: reason.to_string(),
            }),
        };
        Self {
            verdict: Some(verdict),
        }
    }
}

impl TryFrom<types::Verdict> for Verdict {
    type Error = DecodeError;

    fn try_from(wire: types::Verdict) -> Result<Self, DecodeError> {
        match Fields::of("Verdict").present("verdict", wire.verdict)? {
            verdict::Verdict::Ran(answer) => answer.try_into().map(Self::Ran),
            verdict::Verdict::NotRun(not_run) => Ok(Self::NotRun {
                reason: Fields::of("NotRun").parse("reason", &not_run.reason)?,
                retry_after_ms: Millis(not_run.retry_after_ms),
            }),
            verdict::Verdict::MayHaveRun(may_have_run) => Ok(Self::MayHaveRun {
                reason: Fields::of("MayHaveRun").parse("reason", &may_have_run.reason)?,
            }),
        }
    }
}

impl From<&Verdict> for http::VerdictBody {
    /// Omits the answer of a request that ran: it is the body of the HTTP response itself.
    fn from(verdict: &Verdict) -> Self {
        let (verdict, reason, retry_after_ms) = match verdict {
            Verdict::Ran(_) => (headers::RAN, None, None),
            Verdict::NotRun {
                reason,
                retry_after_ms,
            } => (headers::NOT_RUN, Some(reason), Some(retry_after_ms.0)),
            Verdict::MayHaveRun { reason } => (headers::MAY_HAVE_RUN, Some(reason), None),
        };
        Self {
            verdict: verdict.into(),
            reason: reason.map(Reason::to_string),
            retry_after_ms,
        }
    }
}

impl TryFrom<http::VerdictBody> for Verdict {
    type Error = DecodeError;

    /// Rejects the verdict on a request that ran, since its answer is not part of this message.
    fn try_from(wire: http::VerdictBody) -> Result<Self, DecodeError> {
        let fields = Fields::of("VerdictBody");
        let reason = || {
            let text = fields.present("reason", wire.reason.as_deref())?;
            fields.parse("reason", text)
        };
        match wire.verdict.as_str() {
            headers::NOT_RUN => Ok(Self::NotRun {
                reason: reason()?,
                retry_after_ms: Millis(fields.present("retry_after_ms", wire.retry_after_ms)?),
            }),
            headers::MAY_HAVE_RUN => Ok(Self::MayHaveRun { reason: reason()? }),
            other => {
                let text = format!("{other:?} is neither not_run nor may_have_run");
                Err(fields.error("verdict", text))
            }
        }
    }
}
