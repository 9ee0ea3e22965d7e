//! Stand-ins as processes of their own, and the load tool.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use crate::{
    deployment::Deployment,
    engine::serve_engine,
    platform::serve_platform,
    report,
    service::serve_service,
    thread::block_on,
    workload::{self, Stream},
};

/// Serves until the process is ended.
async fn for_ever() {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}

/// Runs the stand-in platform.
///
/// # Errors
///
/// Fails if its address can't be listened on.
pub fn platform(deployment: Deployment) -> io::Result<()> {
    let listener = TcpListener::bind(deployment.platform)?;
    block_on(async move {
        let addr = serve_platform(listener, deployment.platform_config, deployment.vms)?;
        println!("the platform listens on {addr}");
        for_ever().await;
        Ok(())
    })
}

/// Runs all stand-in engines of a deployment.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub fn engines(deployment: Deployment) -> io::Result<()> {
    block_on(async move {
        for engine in deployment.engines {
            let listener = TcpListener::bind(engine.addr)?;
            let id = engine.config.id.0;
            let (addr, _) = serve_engine(listener, engine.config)?;
            println!("engine {id} listens on {addr}");
        }
        for_ever().await;
        Ok(())
    })
}

/// Runs all servers of plain services of a deployment.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub fn services(deployment: Deployment) -> io::Result<()> {
    block_on(async move {
        for service in deployment.services {
            let listener = TcpListener::bind(service.addr)?;
            let addr = serve_service(listener, &service.name)?;
            println!("{} listens on {addr}", service.name);
        }
        for_ever().await;
        Ok(())
    })
}

/// What the load tool sends.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The entries.
    pub entries: Vec<SocketAddr>,
    /// The workspace's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The traffic.
    pub stream: Stream,
    /// How long it is sent.
    pub over: Duration,
    /// Its seed.
    pub seed: u64,
}

/// Sends load and prints what came of it; tells whether all answers were
/// whole.
pub fn load(options: &LoadOptions) -> bool {
    let entries = options.entries.len();
    let planned = options
        .stream
        .plan(options.seed, options.over, &[0], entries);
    let keys = [options.key.clone()];
    let measured = workload::run(&options.entries, &keys, &options.model, planned);
    println!("{}", report::first_token_table(&measured));
    println!("{}", report::outcome_table(&measured));
    report::all_whole(&measured)
}
