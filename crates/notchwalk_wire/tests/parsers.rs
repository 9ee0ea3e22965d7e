//! No bytes make the parsers of messages panic, and messages survive the way.

use notchwalk_core::{BootNumber, RequestId, ServerId, VmId};
use notchwalk_wire::{
    from_cbor, to_cbor, ChatRequest, CompletionRequest, EngineFrame, Heartbeat, LoadReport,
    LongHold, PeerMessage, ServedCost, ServerShare, VmRecord,
};
use proptest::prelude::*;

fn heartbeat() -> PeerMessage {
    let request = RequestId {
        vm: VmId(1),
        boot: BootNumber(2),
        seq: 3,
    };
    PeerMessage::Heartbeat(Heartbeat {
        vm: VmId(1),
        boot: BootNumber(1_700_000_000_000_000),
        seq: 7,
        leaving: false,
        bundle_version: 9,
        heard: Vec::new(),
        demand: vec![(u64::MAX, 4_000)],
        shares: vec![ServerShare {
            server: ServerId(5),
            per_mille: 500,
            pool_per_mille: 750,
        }],
        served: vec![ServedCost {
            workspace: 1,
            cost_us: 2,
        }],
        leaving_servers: vec![ServerId(8)],
        long_holds: vec![LongHold {
            server: ServerId(5),
            request,
            tokens: 100_000,
            prompt_done: true,
        }],
    })
}

#[test]
fn a_heartbeat_survives_the_way() {
    let message = heartbeat();
    assert_eq!(from_cbor::<PeerMessage>(&to_cbor(&message)), Ok(message));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_the_cbor_parser_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = from_cbor::<PeerMessage>(&bytes);
    }

    #[test]
    fn no_damaged_heartbeat_makes_the_parser_panic(at in 0usize..200, byte in any::<u8>(), cut in 0usize..200) {
        let mut bytes = to_cbor(&heartbeat());
        let place = at % bytes.len();
        bytes[place] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut % 50));
        let _ = from_cbor::<PeerMessage>(&bytes);
    }

    #[test]
    fn no_text_makes_the_json_parsers_panic(text in "[\\[\\]{}\",:a-z0-9 \\\\.-]{0,120}") {
        let _ = serde_json::from_str::<CompletionRequest>(&text);
        let _ = serde_json::from_str::<ChatRequest>(&text);
        let _ = serde_json::from_str::<EngineFrame>(&text);
        let _ = serde_json::from_str::<LoadReport>(&text);
        let _ = serde_json::from_str::<Vec<VmRecord>>(&text);
    }

    #[test]
    fn request_ids_read_what_they_write(vm in any::<u32>(), boot in any::<u64>(), seq in any::<u64>()) {
        let id = RequestId { vm: VmId(vm), boot: BootNumber(boot), seq };
        prop_assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
    }
}
