//! What hosts tell each other about requests that crash targets, in the store and by `POST /evidence`.
//!
//! MessagePack with the names of the fields, so that later versions of the program can add some and pass over those they don't
//! know.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestAnswer;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_dispatch::crash_guard::WallTime;
use vanillapick_model::peer_message;
use vanillapick_policy::micros::micros;

/// Path of the endpoint.
pub(crate) const EVIDENCE_PATH: &str = "/evidence";

/// Size limit of one message: all losses and marks that a host keeps.
pub(crate) const MAX_EVIDENCE_BYTES: usize = 512 << 10;

#[derive(Debug, Default, Deserialize, Serialize)]
struct WireEvidence {
    #[serde(default)]
    losses: Vec<WireLoss>,
    #[serde(default)]
    answers: Vec<WireAnswer>,
    #[serde(default)]
    marks: Vec<CrashMark>,
}

/// Times are in microseconds since the Unix epoch.
#[derive(Debug, Deserialize, Serialize)]
struct WireLoss {
    print: RequestFingerprint,
    target: String,
    pool: u32,
    version: u32,
    sent: u64,
    lost: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireAnswer {
    print: RequestFingerprint,
    pool: u32,
    version: u32,
    at: u64,
}

/// Encodes evidence.
///
/// # Errors
///
/// Returns the message of the encoder; this does not occur for values in memory.
pub fn encode_evidence(news: &CrashNews) -> Result<Bytes, String> {
    let losses = news.losses.iter().map(|(print, loss)| WireLoss {
        print: *print,
        target: loss.target.to_string(),
        pool: loss.kind.pool,
        version: loss.kind.version,
        sent: micros(loss.sent),
        lost: micros(loss.lost),
    });
    let answers = news.answers.iter().map(|answer| WireAnswer {
        print: answer.fingerprint,
        pool: answer.kind.pool,
        version: answer.kind.version,
        at: micros(answer.at),
    });
    let wire = WireEvidence {
        losses: losses.collect(),
        answers: answers.collect(),
        marks: news.marks.clone(),
    };
    rmp_serde::to_vec_named(&wire).map(Bytes::from).map_err(|error| error.to_string())
}

/// Decodes evidence.
///
/// # Errors
///
/// Returns a description of the first byte that is no evidence.
pub fn decode_evidence(encoded: &[u8]) -> Result<CrashNews, String> {
    let wire: WireEvidence = peer_message::decode(encoded).map_err(|error| error.to_string())?;
    let losses = wire.losses.into_iter().map(|loss| {
        let kind = ReplicaKind { pool: loss.pool, version: loss.version };
        let (sent, lost) = (wall_time(loss.sent), wall_time(loss.lost));
        (loss.print, TargetLoss { target: Arc::from(loss.target), kind, sent, lost })
    });
    let answers = wire.answers.into_iter().map(|answer| RequestAnswer {
        fingerprint: answer.print,
        kind: ReplicaKind { pool: answer.pool, version: answer.version },
        at: wall_time(answer.at),
    });
    Ok(CrashNews { losses: losses.collect(), answers: answers.collect(), marks: wire.marks })
}

fn wall_time(time: u64) -> WallTime {
    Duration::from_micros(time)
}
