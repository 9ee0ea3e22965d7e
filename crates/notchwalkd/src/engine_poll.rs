//! Polls engines for load reports and cache events.

use std::{rc::Rc, time::Duration};

use http::Method;
use notchwalk_core::ServerId;
use notchwalk_decide::Event;
use notchwalk_http::prelude::*;
use notchwalk_wire::{CacheEvents, LoadReport};

use crate::shell::Shell;

/// Interval between load polls of an engine.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of load polls for each poll of cache events.
const LOAD_POLLS_PER_CACHE_POLL: u32 = 3;
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Polls an engine until the VM list no longer contains it as an engine.
pub async fn poll(shell: Rc<Shell>, server: ServerId) {
    // Starts at the server's id to spread the cache polls of different engines.
    let mut polls: u32 = server.0;
    loop {
        let is_engine = shell.with_node(|node| node.is_engine(server));
        let Some(addr) = shell.server_address(server).filter(|_| is_engine) else {
            return;
        };
        let load = get_json::<LoadReport>(&shell, addr, "/v1/load").await;
        shell.step(match load {
            Some(report) => Event::Load {
                server,
                report: Box::new(report),
            },
            None => Event::LoadPollFailed(server),
        });
        polls = polls.wrapping_add(1);
        if polls % LOAD_POLLS_PER_CACHE_POLL == 0 {
            let after = shell.with_node(|node| node.cache_events_after(server));
            let path = format!("/v1/cache/events?after={after}");
            if let Some(events) = get_json::<CacheEvents>(&shell, addr, &path).await {
                shell.step(Event::Cache { server, events });
            }
        }
        monoio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}

async fn get_json<T: serde::de::DeserializeOwned>(
    shell: &Rc<Shell>,
    addr: std::net::SocketAddr,
    path: &str,
) -> Option<T> {
    let req = OutgoingRequest::new(Method::GET, path);
    let response = shell
        .client
        .send(addr, req, POLL_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .ok()?;
    response.json().ok()
}
