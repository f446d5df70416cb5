//! Decoding of peer messages: any input is either decoded in full or refused with a result code.

#![allow(clippy::unwrap_used)]

use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::Incarnation;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::ids::RegionName;
use pomelostack_lib::ids::ZoneName;
use pomelostack_lib::member_record::MemberRecord;
use pomelostack_lib::member_record::MemberStatus;
use pomelostack_lib::member_section::PayloadSection;
use pomelostack_lib::member_section::SectionKind;
use pomelostack_lib::member_section::SectionVersion;
use pomelostack_lib::member_zone::ZoneSummary;
use pomelostack_lib::peer_message::MAX_MESSAGE_BYTES;
use pomelostack_lib::peer_message::MessageBody;
use pomelostack_lib::peer_message::MessageError;
use pomelostack_lib::peer_message::PeerMessage;
use pomelostack_lib::peer_message::RegionDigest;
use pomelostack_lib::protos::peer as proto;
use pomelostack_lib::result_code::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use prost::Message as _;
use rstest::rstest;

fn runner() -> TestRunner {
    let cases = std::env::var("PEER_MESSAGE_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(512), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn region() -> RegionName {
    RegionName::try_from("salish").unwrap()
}

fn zone() -> ZoneName {
    ZoneName::try_from("salish-a").unwrap()
}

fn sample(body: MessageBody) -> PeerMessage {
    let record = MemberRecord {
        host: HostId::try_from("entry-1").unwrap(),
        incarnation: Incarnation(7),
        status: MemberStatus::Live,
        address: ([10, 0, 0, 1], 7_000).into(),
        region: region(),
        zone: zone(),
    };
    let section = PayloadSection {
        origin: 4,
        kind: SectionKind::LoadDigest,
        version: SectionVersion { incarnation: Incarnation(7), sequence: 3 },
        payload: vec![1, 2, 3],
    };
    let summary = ZoneSummary {
        region: region(),
        zone: zone(),
        version: 9,
        live: 2,
        leaving: 1,
        load_percent: 40,
    };
    PeerMessage {
        updates: vec![MemberRecord { status: MemberStatus::Suspected, ..record.clone() }],
        sender: record,
        body,
        table_digest: 11,
        config_offset: LogOffset(12),
        load_percent: 13,
        sections: vec![section],
        zones: vec![summary],
    }
}

#[rstest]
#[case(MessageBody::Probe)]
#[case(MessageBody::ProbeReply)]
#[case(MessageBody::IndirectProbe(HostId::try_from("entry-2").unwrap()))]
#[case(MessageBody::Confirm(HostId::try_from("entry-2").unwrap(), Incarnation(3)))]
#[case(MessageBody::TableRequest(vec![RegionDigest { region: region(), digest: 5 }]))]
#[case(MessageBody::TableReply)]
#[case(MessageBody::Push)]
#[case(MessageBody::Ack)]
fn round_trip(#[case] body: MessageBody) {
    let message = sample(body);
    assert_eq!(PeerMessage::decode(&message.encode()), Ok(message));
}

type Corruption = fn(&mut proto::Envelope);

#[rstest]
#[case::version(|raw: &mut proto::Envelope| raw.version = 9, ResultCode::RecordVersion)]
#[case::no_sender(|raw: &mut proto::Envelope| raw.sender = None, ResultCode::RecordMalformed)]
#[case::kind(|raw: &mut proto::Envelope| raw.kind = 99, ResultCode::RecordMalformed)]
#[case::load(|raw: &mut proto::Envelope| raw.load_percent = 256, ResultCode::RecordMalformed)]
#[case::status(|raw: &mut proto::Envelope| raw.updates[0].status = 0, ResultCode::RecordMalformed)]
#[case::host(|raw: &mut proto::Envelope| raw.updates[0].host = "no host".into(), ResultCode::RecordMalformed)]
#[case::port(|raw: &mut proto::Envelope| raw.updates[0].port = 65_536, ResultCode::RecordMalformed)]
#[case::ip(|raw: &mut proto::Envelope| raw.updates[0].ip = vec![1; 5], ResultCode::RecordMalformed)]
#[case::section_kind(|raw: &mut proto::Envelope| raw.sections[0].kind = 77, ResultCode::RecordMalformed)]
#[case::section_size(|raw: &mut proto::Envelope| raw.sections[0].payload = vec![0; 321], ResultCode::RecordTooLarge)]
#[case::zone_name(|raw: &mut proto::Envelope| raw.zones[0].zone = String::new(), ResultCode::RecordMalformed)]
#[case::size(|raw: &mut proto::Envelope| raw.target = "x".repeat(MAX_MESSAGE_BYTES), ResultCode::RecordTooLarge)]
fn invalid_field(#[case] corrupt: Corruption, #[case] code: ResultCode) {
    let mut raw = proto::Envelope::from(&sample(MessageBody::Probe));
    corrupt(&mut raw);
    let refused = PeerMessage::decode(&raw.encode_to_vec()).unwrap_err();
    assert_eq!(refused.code(), code);
}

#[test]
fn random_bytes() {
    runner()
        .run(&proptest::collection::vec(any::<u8>(), 0..512), |bytes| {
            if let Err(error) = PeerMessage::decode(&bytes) {
                prop_assert!((600..=602).contains(&error.code().number()));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn truncated_message() {
    let whole = sample(MessageBody::Probe).encode();
    for length in 0..whole.len() {
        if let Ok(shorter) = PeerMessage::decode(&whole[..length]) {
            assert_eq!(shorter.encode().len(), length, "truncated at the end of a field");
        }
    }
    assert!(matches!(PeerMessage::decode(&whole[..10]), Err(MessageError::Malformed(_))));
}

#[test]
fn flipped_bytes() {
    let whole = sample(MessageBody::Probe).encode();
    let flipped = (0..whole.len(), 1..=255_u8);
    runner()
        .run(&flipped, |(index, mask)| {
            let mut bytes = whole.clone();
            bytes[index] ^= mask;
            if let Ok(message) = PeerMessage::decode(&bytes) {
                prop_assert_eq!(PeerMessage::decode(&message.encode()), Ok(message));
            }
            Ok(())
        })
        .unwrap();
}
