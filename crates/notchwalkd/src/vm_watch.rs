//! Polls the VM list, and updates engine polls and peer links to match it.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use notchwalk_core::{LogEvent, LogEventKind, ServerId, VmId};
use notchwalk_decide::{Event, PeerRecord, ServerKind, ServerRecord};
use notchwalk_wire::{VmKind, VmRecord, VmState};

use crate::{engine_poll, peer_link, shell::Shell};

/// Interval between reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval until the list first contains a backend server.
const STARTUP_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the list until the daemon stops.
pub async fn watch(shell: Rc<Shell>) {
    let polled = Rc::new(RefCell::new(HashSet::new()));
    let mut is_unavailable = false;
    let mut seen_servers = false;
    loop {
        match shell.platform.vms().await {
            Ok(records) => {
                if std::mem::take(&mut is_unavailable) {
                    LogEvent::new(LogEventKind::PlatformRecovered, "service=vm-list").emit();
                }
                seen_servers |= apply_vm_list(&shell, &polled, records);
            }
            Err(e) if !is_unavailable => {
                is_unavailable = true;
                let facts = format!("service=vm-list error={e:?}");
                LogEvent::new(LogEventKind::PlatformCallFailed, facts).emit();
            }
            Err(_) => {}
        }
        let interval = if seen_servers {
            READ_INTERVAL
        } else {
            STARTUP_READ_INTERVAL
        };
        monoio::time::sleep(interval).await;
    }
}

/// Applies a VM list. Returns whether it contains a backend server.
fn apply_vm_list(
    shell: &Rc<Shell>,
    polled: &Rc<RefCell<HashSet<ServerId>>>,
    records: Vec<VmRecord>,
) -> bool {
    let mut servers = Vec::new();
    let mut nodes = Vec::new();
    let mut addresses = HashMap::new();
    let mut peers = HashMap::new();
    for record in records {
        let draining = record.state == VmState::Draining;
        let Ok(address) = record.address.parse() else {
            continue;
        };
        let kind = match record.kind {
            VmKind::Entry { peer_address } => {
                let vm = VmId(record.id);
                if let Ok(peer_address) = peer_address.parse() {
                    peers.insert(vm, peer_address);
                }
                nodes.push(PeerRecord {
                    vm,
                    caller_address: record.address,
                    failure_domain: record.failure_domain,
                    draining,
                });
                continue;
            }
            VmKind::Engine => ServerKind::Engine,
            VmKind::Service { service } => ServerKind::Service(service),
        };
        let id = ServerId(record.id);
        addresses.insert(id, address);
        servers.push(ServerRecord {
            id,
            kind,
            failure_domain: record.failure_domain,
            draining,
        });
    }
    let engines = servers.iter().filter(|s| s.kind == ServerKind::Engine);
    let engines: Vec<ServerId> = engines.map(|s| s.id).collect();
    let has_servers = !servers.is_empty();
    shell.set_server_addresses(addresses);
    shell.step(Event::VmList { servers, nodes });
    peers.remove(&shell.vm());
    peer_link::sync_links(shell, peers);
    for id in engines {
        if polled.borrow_mut().insert(id) {
            spawn_poll(shell.clone(), polled.clone(), id);
        }
    }
    has_servers
}

/// Spawns the poll task of an engine, and removes the engine from `polled` when the
/// task ends.
fn spawn_poll(shell: Rc<Shell>, polled: Rc<RefCell<HashSet<ServerId>>>, id: ServerId) {
    notchwalk_http::spawn(async move {
        engine_poll::poll(shell, id).await;
        polled.borrow_mut().remove(&id);
    });
}
