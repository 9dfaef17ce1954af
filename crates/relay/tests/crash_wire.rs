//! Evidence on crashing requests as hosts tell it each other.

use std::time::Duration;

use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::MarkStage;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestAnswer;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_relay::crash_wire::decode_evidence;
use vanillapick_relay::crash_wire::encode_evidence;

fn news() -> CrashNews {
    let kind = ReplicaKind { pool: 7, version: 8 };
    let time = Duration::from_millis(1_700_000_000_123);
    let loss =
        TargetLoss { lost: time + Duration::from_micros(5), sent: time, target: "t1".into(), kind };
    let mark = CrashMark {
        fingerprint: 255,
        generation: 1,
        until_ms: 1_700_000_010_123,
        stage: MarkStage::Marked,
        mark_count: 1,
    };
    CrashNews {
        losses: vec![(255, loss)],
        answers: vec![RequestAnswer { fingerprint: 255, kind, at: time }],
        marks: vec![mark],
    }
}

/// Builds of other versions read these bytes: fields may be added, and none may change or go.
#[test]
fn bytes_of_evidence() {
    let encoded = encode_evidence(&news()).expect("numbers and names are encodable");
    let text: String = encoded.escape_ascii().map(char::from).collect();
    insta::assert_snapshot!(text);
    assert_eq!(decode_evidence(&encoded), Ok(news()));
}

/// Guards against evidence of later versions that this one cannot read.
#[test]
fn unknown_fields_and_missing_ones_are_passed_over() {
    // {"later": [1], "losses": []}
    let later = b"\x82\xa5later\x91\x01\xa6losses\x90";
    assert_eq!(decode_evidence(later), Ok(CrashNews::default()));
    assert_eq!(decode_evidence(b"\x80"), Ok(CrashNews::default()));
}

/// Guards against a message that uses up the stack.
#[test]
fn deep_nesting_is_an_error() {
    let nested = |prefix: &[u8]| [prefix, &[0x91; 60_000]].concat();
    for prefix in [&b""[..], b"\x81\xa5later", b"\x81\xa6losses"] {
        assert!(decode_evidence(&nested(prefix)).is_err());
    }
}
