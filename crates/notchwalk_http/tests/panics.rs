//! A panic while handling a request closes only the connection of that request.

use std::{
    cell::Cell,
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    time::Duration,
};

use http::{Method, StatusCode};
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use notchwalk_http::prelude::*;

#[derive(Default)]
struct PanickingService {
    panics: Cell<u32>,
}

impl Service for PanickingService {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            assert!(exchange.path() != "/panic", "panic requested by the test");
            exchange.respond_text(StatusCode::OK, "fine").await;
        })
    }

    fn on_panic(&self) {
        self.panics.set(self.panics.get() + 1);
    }
}

async fn get(addr: SocketAddr, path: &str) -> Result<BufferedResponse, HttpError> {
    let req = OutgoingRequest::new(Method::GET, path).with_reuse(ConnectionReuse::Fresh);
    Client::new()
        .send(addr, req, Duration::from_secs(5), 1_000)
        .await
}

#[test]
fn other_requests_are_served_after_a_panic() {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    runtime.block_on(async {
        let listener = StdListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking");
        let addr = listener.local_addr().expect("an address");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let service = Rc::new(PanickingService::default());
        monoio::spawn(serve(listener, ServerLimits::default(), service.clone()));
        assert!(get(addr, "/panic").await.is_err());
        assert_eq!(service.panics.get(), 1);
        assert_eq!(
            get(addr, "/").await.expect("a response").status,
            StatusCode::OK
        );
    });
}
