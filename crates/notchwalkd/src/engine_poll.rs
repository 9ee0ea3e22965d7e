//! Asks engines for their load and cache events.

use std::{rc::Rc, time::Duration};

use http::Method;
use notchwalk_core::ServerId;
use notchwalk_decide::Event;
use notchwalk_http::prelude::*;
use notchwalk_wire::{CacheEvents, LoadReport};

use crate::shell::Shell;

/// How often an engine is asked for its load.
const LOAD_EVERY: Duration = Duration::from_millis(200);
/// Of so many load questions, one is followed by one for cache events.
const CACHE_EVERY: u32 = 3;
/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_millis(800);
/// The largest answer, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Polls one engine until the VM list no longer names it.
pub async fn poll(shell: Rc<Shell>, server: ServerId) {
    let mut round: u32 = server.0;
    loop {
        let Some(addr) = shell.server_address(server) else {
            return;
        };
        let load = ask::<LoadReport>(&shell, addr, "/v1/load").await;
        shell.step(match load {
            Some(report) => Event::Load {
                server,
                report: Box::new(report),
            },
            None => Event::LoadFailed(server),
        });
        round = round.wrapping_add(1);
        if round % CACHE_EVERY == 0 {
            let after = shell.with_node(|node| node.cache_events_after(server));
            let path = format!("/v1/cache/events?after={after}");
            if let Some(events) = ask::<CacheEvents>(&shell, addr, &path).await {
                shell.step(Event::Cache { server, events });
            }
        }
        monoio::time::sleep(LOAD_EVERY).await;
    }
}

async fn ask<T: serde::de::DeserializeOwned>(
    shell: &Rc<Shell>,
    addr: std::net::SocketAddr,
    path: &str,
) -> Option<T> {
    let req = OutgoingRequest::new(Method::GET, path);
    let answer = shell
        .client
        .send(addr, req, TIMEOUT, MAX_ANSWER)
        .await
        .ok()?;
    answer.json().ok()
}
