//! Reads the bodies of replies up to a size limit.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use reqwest::Response;

use crate::body_buffer::BodyBuffer;
use crate::reply_memory::ReplyMemory;

/// Why the body of a reply could not be read.
#[derive(Debug, Display, Error, From)]
pub enum ReplyBodyError {
    /// The body was shorter than announced, its encoding is invalid, or the connection failed.
    #[display("{_0}")]
    Http(reqwest::Error),
    /// The body is longer than a valid reply can be. A sender in trouble may go on without end.
    #[display("the body of the reply exceeds {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// Size limit in bytes.
        limit: usize,
    },
    /// The memory for the bodies of all replies is in use.
    #[display("no memory is left for the body of the reply")]
    NoMemory,
}

/// Reads a body of at most `limit` bytes to its end, as far as `memory` is left for it; otherwise its connection is closed. The
/// memory is in use until the last copy of the body is dropped.
pub async fn read_reply_body(
    mut response: Response,
    limit: usize,
    memory: &Arc<ReplyMemory>,
) -> Result<Bytes, ReplyBodyError> {
    let mut body = BodyBuffer::new(memory);
    let mut length = 0;
    while let Some(data) = response.chunk().await? {
        length += data.len();
        if limit < length {
            return Err(ReplyBodyError::TooLarge { limit });
        }
        if !body.push(data) {
            return Err(ReplyBodyError::NoMemory);
        }
    }
    Ok(body.finish())
}
