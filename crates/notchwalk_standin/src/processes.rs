//! Stand-ins that run as separate processes, and the load tool.

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
    workload::{self, TrafficClass},
};

async fn run_forever() {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}

/// Runs the stand-in platform.
///
/// # Errors
///
/// Returns an error if its address can't be bound.
pub fn run_platform(deployment: Deployment) -> io::Result<()> {
    let listener = TcpListener::bind(deployment.platform)?;
    block_on(async move {
        let addr = serve_platform(listener, deployment.platform_config, deployment.vms)?;
        println!("the platform listens on {addr}");
        run_forever().await;
        Ok(())
    })
}

/// Runs all stand-in engines of a deployment.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn run_engines(deployment: Deployment) -> io::Result<()> {
    block_on(async move {
        for engine in deployment.engines {
            let listener = TcpListener::bind(engine.addr)?;
            let id = engine.config.id.0;
            let (addr, _) = serve_engine(listener, engine.config)?;
            println!("engine {id} listens on {addr}");
        }
        run_forever().await;
        Ok(())
    })
}

/// Runs all servers of plain services of a deployment.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn run_services(deployment: Deployment) -> io::Result<()> {
    block_on(async move {
        for service in deployment.services {
            let listener = TcpListener::bind(service.addr)?;
            let addr = serve_service(listener, &service.name)?;
            println!("{} listens on {addr}", service.name);
        }
        run_forever().await;
        Ok(())
    })
}

/// Options of the load tool.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Caller addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// API key of the workspace.
    pub key: String,
    /// Model name.
    pub model: String,
    /// Traffic profile.
    pub traffic: TrafficClass,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed of the traffic.
    pub seed: u64,
}

/// Sends the load and prints its latencies and outcomes. Returns whether every completion was
/// complete.
pub fn run_load(options: &LoadOptions) -> bool {
    let nodes = options.nodes.len();
    let planned = options
        .traffic
        .plan(options.seed, options.duration, &[0], nodes);
    let keys = [options.key.clone()];
    let measured = workload::run_open_loop(&options.nodes, &keys, &options.model, planned);
    println!("{}", report::ttft_table(&measured));
    println!("{}", report::outcome_table(&measured));
    report::all_complete(&measured)
}
