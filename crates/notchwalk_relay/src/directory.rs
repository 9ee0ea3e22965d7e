//! Serves the directory of nodes to callers and the readiness check to the platform.

use std::rc::Rc;

use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_http::prelude::*;

use crate::{shell::Shell, DirectoryResponse};

/// Maximum number of addresses in one response. Callers accept no more.
const MAX_ADDRESSES: usize = 64;

/// Serves directory queries and readiness checks.
pub(crate) struct Directory {
    shell: Rc<Shell>,
}

impl Directory {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell }
    }

    fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let shell = &self.shell;
        let mut addresses = shell.peers.borrow().ready_addrs(shell.now());
        if shell.is_ready() {
            addresses.push(shell.settings.caller_addr);
        }
        addresses.sort_unstable();
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    async fn respond_to_query(&self, exchange: &mut Exchange) {
        let addresses = self.addresses();
        if addresses.is_empty() {
            exchange
                .respond_text(StatusCode::SERVICE_UNAVAILABLE, "no entry is ready\n")
                .await;
            return;
        }
        let response = DirectoryResponse {
            addresses,
            ttl: self.shell.settings.directory_ttl,
        };
        let body = self.shell.dialect.directory_response(&response);
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        exchange.respond(StatusCode::OK, headers, &body).await;
    }
}

impl Service for Directory {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            if self.shell.dialect.is_readiness_check(exchange.path()) {
                let status = match self.shell.is_ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                return exchange.respond_text(status, "").await;
            }
            if self
                .shell
                .dialect
                .directory_query(&exchange.head.uri)
                .is_some()
            {
                return self.respond_to_query(exchange).await;
            }
            exchange
                .respond_text(StatusCode::NOT_FOUND, "no such question\n")
                .await;
        })
    }
}
