//! A server's answer as it is stored and sent to other gateways.

use crate::server_protocol::{ServerAnswer, ATTEMPT};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use lupinledge_messaging::{decode, encode};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::rc::Rc;

/// Status, headers and body, without the attempt id of the request that was run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(String, ByteBuf)>,
    body: ByteBuf,
}

impl StoredAnswer {
    /// Encodes an answer for storage; `None` if it can't be encoded.
    pub fn encoded(made: &ServerAnswer) -> Option<Rc<[u8]>> {
        let kept = made.headers.iter().filter(|(name, _)| **name != ATTEMPT);
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_string(), ByteBuf::from(value.as_bytes()))
        };
        let answer = StoredAnswer {
            status: made.status.as_u16(),
            headers: kept.map(header).collect(),
            body: ByteBuf::from(made.body.as_ref()),
        };
        let mut bytes = Vec::new();
        encode(&answer, &mut bytes).ok().map(|()| bytes.into())
    }

    /// Decodes a stored answer for a request with this attempt id.
    pub fn decoded(bytes: &[u8], attempt_id: Option<&HeaderValue>) -> Option<ServerAnswer> {
        let StoredAnswer { status, headers, body } = decode(bytes).ok()?;
        let mut made = ServerAnswer {
            status: StatusCode::from_u16(status).ok()?,
            headers: HeaderMap::new(),
            body: Bytes::from(body.into_vec()),
        };
        for (name, value) in headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            made.headers.append(name, HeaderValue::from_bytes(&value).ok()?);
        }
        attempt_id.into_iter().for_each(|id| drop(made.headers.insert(ATTEMPT, id.clone())));
        Some(made)
    }
}

#[cfg(test)]
mod tests;
