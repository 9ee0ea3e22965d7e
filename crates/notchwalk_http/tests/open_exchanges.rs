//! Exchanges count as open from the first byte of a request to the last one of its response.

use std::{net::TcpListener as StdListener, rc::Rc, time::Duration};

use http::StatusCode;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    LegacyDriver, RuntimeBuilder,
};
use notchwalk_http::{prelude::*, serve_counted, OpenExchanges};

/// More than the socket buffers hold.
const RESPONSE_BYTES: usize = 32 << 20;

struct LargeResponseService;

impl Service for LargeResponseService {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let text = "x".repeat(RESPONSE_BYTES);
            exchange.respond_text(StatusCode::OK, &text).await;
        })
    }
}

async fn pause() {
    monoio::time::sleep(Duration::from_millis(50)).await;
}

/// Guards against a process that exits while a response is being written.
#[test]
fn exchange_is_open_until_its_response_is_written() {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(async {
        let listener = StdListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking");
        let addr = listener.local_addr().expect("an address");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let open = OpenExchanges::default();
        let service = Rc::new(LargeResponseService);
        let limits = ServerLimits::default();
        monoio::spawn(serve_counted(listener, limits, service, open.clone()));
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        pause().await;
        assert_eq!(open.count(), 0, "an idle connection counts as open");
        stream.write_all("GET / HTT").await.0.expect("sent");
        pause().await;
        assert_eq!(open.count(), 1, "an incomplete head does not count as open");
        stream.write_all("P/1.1\r\n\r\n").await.0.expect("sent");
        pause().await;
        assert_eq!(open.count(), 1, "an unread response does not count as open");
        let mut received = 0;
        while received < RESPONSE_BYTES {
            let (n, _) = stream.read(vec![0; 1 << 16]).await;
            received += n.expect("received");
        }
        pause().await;
        assert_eq!(open.count(), 0);
    });
}
