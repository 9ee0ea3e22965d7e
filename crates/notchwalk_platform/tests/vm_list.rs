//! The VM list as its readers get it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};

use notchwalk_http::Client;
use notchwalk_platform::{HttpPlatform, VmList};

/// Starts a server that responds to one request with this JSON.
fn serve_once(json: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", json.len());
        stream
            .write_all((head + &json).as_bytes())
            .expect("a response");
    });
    addr
}

/// Guards against one record that hides all others.
#[test]
fn malformed_record_does_not_hide_the_others() {
    let record = |id: u32| {
        format!(
            r#"{{"id":{id},"kind":"engine","address":"127.0.0.1:1","failure_domain":"a","state":"live"}}"#
        )
    };
    let odd = record(2).replace("\"live\"", "\"asleep\"");
    let addr = serve_once(format!("[{},{odd},3,{}]", record(1), record(4)));
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("a runtime");
    let vms = runtime.block_on(async { HttpPlatform::new(Client::new(), addr).vms().await });
    let ids: Vec<u32> = vms.expect("a list").iter().map(|vm| vm.id).collect();
    assert_eq!(ids, [1, 4]);
}
