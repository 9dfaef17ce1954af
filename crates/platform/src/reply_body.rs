//! Reads the bodies of replies up to a size limit.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use reqwest::Response;

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
}

/// Reads a body of at most `limit` bytes to its end; a longer one is an error, and its connection is closed.
pub async fn read_reply_body(
    mut response: Response,
    limit: usize,
) -> Result<Bytes, ReplyBodyError> {
    let mut body = BytesMut::new();
    while let Some(data) = response.chunk().await? {
        if limit < body.len() + data.len() {
            return Err(ReplyBodyError::TooLarge { limit });
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}
