//! A server that responds to a request of a client in the same process.
//!
//! Run with `cargo run -p notchwalk_http --example hello`.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::prelude::*;

struct Hello;

impl Service for Hello {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let text = format!("hello, {}\n", exchange.path());
            exchange.respond_text(StatusCode::OK, &text).await;
        })
    }
}

fn main() {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        monoio::spawn(serve(listener, ServerLimits::default(), Rc::new(Hello)));
        let req = OutgoingRequest::new(Method::GET, "/ruwi");
        let response = Client::new()
            .send(addr, req, Duration::from_secs(5), 1_000)
            .await;
        let response = response.expect("a response");
        print!(
            "{} {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        );
    });
}
