//! Runs one request through the reducer: events in, effects out.
//!
//! Run with `cargo run -p notchwalk_decide --example one_request`.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, ModelKey, Part, PartName, WorkspaceKey};
use notchwalk_core::{BootNumber, Instant, ServerId, VmId};
use notchwalk_decide::{prelude::*, ServerKind, ServerRecord};
use notchwalk_wire::{LoadReport, LoadedModel};

fn bundle() -> Bundle {
    let keys = [
        "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
        "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c",
    ];
    let operators = format!(
        "[operator a]\npublic_key = {}\nroles = author\n[operator b]\npublic_key = {}\nroles = reviewer\n",
        keys[0], keys[1]
    );
    let part = |name, text: &str| Part {
        name,
        text: text.to_owned(),
    };
    let parts = [
        part(PartName::Operators, &operators),
        part(PartName::Models, "[model lampwise]\n"),
        part(PartName::Services, ""),
        part(
            PartName::Workspaces,
            "[workspace desk]\nmodels = lampwise\n",
        ),
        part(PartName::Policy, ""),
    ];
    Bundle::parse(1, &parts).expect("the example's bundle is valid")
}

fn report() -> LoadReport {
    LoadReport {
        capacity_tokens: 400_000,
        used_tokens: 0,
        running: 0,
        waiting: 0,
        slots: 64,
        backlog_tokens: 0,
        backlog_by_priority: Vec::new(),
        prefill_token_ns: 40_000,
        decode_token_ns: 100_000,
        loaded: vec![LoadedModel {
            model: "lampwise".to_owned(),
            versions: vec!["1".to_owned()],
            adapters: Vec::new(),
        }],
        draining: false,
        evictions: 0,
    }
}

fn main() {
    let mut node = Node::new(NodeConfig::new(VmId(1), BootNumber(1), "ruwi", 42));
    let server = ServerRecord {
        id: ServerId(7),
        kind: ServerKind::Engine,
        failure_domain: "ruwi".to_owned(),
        draining: false,
    };
    let arrival = Arrival {
        caller: CallerKey(1),
        workspace: WorkspaceKey(0),
        work: Work::Generate(GenerateWork {
            model: ModelKey(0),
            adapter: None,
            version: None,
            prompt_tokens: 1_200,
            max_tokens: 50,
            prefix: Vec::new(),
        }),
        content: None,
        priority: None,
        timeout_ms: None,
    };
    let events = [
        Event::Bundle(Arc::new(bundle())),
        Event::VmList {
            servers: vec![server],
            nodes: Vec::new(),
        },
        Event::Load {
            server: ServerId(7),
            report: Box::new(report()),
        },
        Event::Arrival(Box::new(arrival)),
    ];
    for (i, event) in events.into_iter().enumerate() {
        println!("event: {}", event.name());
        let mut effects = Vec::new();
        node.step(Instant::from_millis(1_000 + i as u64), event, &mut effects);
        for effect in effects {
            println!("  effect: {effect:?}");
        }
    }
}
