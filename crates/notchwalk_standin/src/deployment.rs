//! A deployment of stand-ins, each as a process of its own, described by one
//! INI file.

use std::{net::SocketAddr, path::Path, time::Duration};

use notchwalk_bundle::IniFile;
use notchwalk_core::{Findings, ServerId};
use notchwalk_wire::{LoadedModel, VmKind, VmRecord, VmState};

use crate::{engine::EngineConfig, platform::PlatformConfig};

/// An engine of a deployment.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Where it listens.
    pub addr: SocketAddr,
    /// How it behaves.
    pub config: EngineConfig,
}

/// A server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The service.
    pub name: String,
}

/// All of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// How the platform behaves.
    pub platform_config: PlatformConfig,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The servers of plain services.
    pub services: Vec<ServiceSpec>,
    /// The VM list.
    pub vms: Vec<VmRecord>,
}

impl Deployment {
    /// Reads a deployment's file.
    ///
    /// # Errors
    ///
    /// Returns all findings; a file that can't be read is one.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(e) => {
                let mut findings = Findings::default();
                findings.add(&name, "", "", e.to_string());
                Err(findings)
            }
        }
    }

    /// Parses a deployment's text; `name` stands in the findings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        let ini = IniFile::parse(name, text)?;
        let deployment = read(&ini);
        ini.finish()?;
        deployment.ok_or_else(Findings::default)
    }
}

struct Listed {
    id: u32,
    addr: SocketAddr,
    failure_domain: String,
}

/// Reads the sections of one kind, which all have an address and a failure
/// domain.
fn listed(ini: &IniFile, kind: &str) -> Vec<(Listed, Option<String>)> {
    let mut found = Vec::new();
    for (id, section) in ini.sections_of(kind) {
        let addr = section.required::<SocketAddr>("address");
        let failure_domain = section.required::<String>("failure_domain");
        let extra = match kind {
            "entry" => section.required::<String>("peer_address"),
            "service" => section.required::<String>("service"),
            _ => None,
        };
        let Ok(id) = id.parse() else {
            section.add("", "the section's name is a number");
            continue;
        };
        let (Some(addr), Some(failure_domain)) = (addr, failure_domain) else {
            continue;
        };
        let listed = Listed {
            id,
            addr,
            failure_domain,
        };
        found.push((listed, extra));
    }
    found
}

fn record(listed: &Listed, kind: VmKind) -> VmRecord {
    VmRecord {
        id: listed.id,
        kind,
        address: listed.addr.to_string(),
        failure_domain: listed.failure_domain.clone(),
        state: VmState::Live,
    }
}

fn read(ini: &IniFile) -> Option<Deployment> {
    let section = ini.section("platform");
    let platform = section.required::<SocketAddr>("address");
    let defaults = PlatformConfig::default();
    let lag_ms = section.within("vm_list_lag_ms", 500, 0, 600_000);
    let platform_config = PlatformConfig {
        writes_per_s: section.within("writes_per_s", defaults.writes_per_s, 1.0, 1e6),
        list_lag: Duration::from_millis(lag_ms),
        ..defaults
    };
    drop(section);
    let engines = ini.section("engines");
    let model = engines.required::<String>("model").unwrap_or_default();
    let versions = engines.list("versions");
    let adapters = engines.list("adapters");
    let time_scale = engines.within("time_scale", 1.0, 0.01, 1_000.0);
    let capacity = engines.within("capacity_tokens", 400_000, 1_000, 100_000_000);
    let checks_fence = engines.or("checks_fence", true);
    drop(engines);
    let loaded = vec![LoadedModel {
        model,
        versions,
        adapters,
    }];
    let mut deployment = Deployment {
        platform: platform?,
        platform_config,
        engines: Vec::new(),
        services: Vec::new(),
        vms: Vec::new(),
    };
    for (entry, peer_address) in listed(ini, "entry") {
        let peer_address = peer_address.unwrap_or_default();
        let kind = VmKind::Entry { peer_address };
        deployment.vms.push(record(&entry, kind));
    }
    for (engine, _) in listed(ini, "engine") {
        deployment.vms.push(record(&engine, VmKind::Engine));
        let config = EngineConfig::new(ServerId(engine.id), loaded.clone())
            .with_time_scale(time_scale)
            .with_capacity(capacity)
            .with_checks_fence(checks_fence);
        deployment.engines.push(EngineSpec {
            addr: engine.addr,
            config,
        });
    }
    for (server, service) in listed(ini, "service") {
        let name = service.unwrap_or_default();
        let kind = VmKind::Service {
            service: name.clone(),
        };
        deployment.vms.push(record(&server, kind));
        deployment.services.push(ServiceSpec {
            addr: server.addr,
            name,
        });
    }
    Some(deployment)
}
