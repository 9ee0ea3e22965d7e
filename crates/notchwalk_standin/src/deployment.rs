//! A deployment of stand-ins that run as separate processes, described by one INI file.

use std::{net::SocketAddr, path::Path, time::Duration};

use notchwalk_bundle::IniFile;
use notchwalk_core::{Findings, ServerId};
use notchwalk_wire::{LoadedModel, VmKind, VmRecord, VmState};

use crate::{engine::EngineConfig, platform::PlatformConfig};

/// An engine of a deployment.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Listen address.
    pub addr: SocketAddr,
    /// Engine configuration.
    pub config: EngineConfig,
}

/// A server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Listen address.
    pub addr: SocketAddr,
    /// Service name.
    pub name: String,
}

/// All processes of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Listen address of the platform.
    pub platform: SocketAddr,
    /// Platform configuration.
    pub platform_config: PlatformConfig,
    /// Stand-in engines.
    pub engines: Vec<EngineSpec>,
    /// Servers of plain services.
    pub services: Vec<ServiceSpec>,
    /// The VM list that the platform serves.
    pub vms: Vec<VmRecord>,
}

impl Deployment {
    /// Reads a deployment from a file.
    ///
    /// # Errors
    ///
    /// Returns all findings, including an unreadable file.
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

    /// Parses a deployment. `name` is the file name shown in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        let ini = IniFile::parse(name, text)?;
        let deployment = read_deployment(&ini);
        ini.finish()?;
        deployment.ok_or_else(Findings::default)
    }
}

struct VmSection {
    id: u32,
    addr: SocketAddr,
    failure_domain: String,
}

/// Reads all sections of one kind. The second element of each pair is the additional field
/// that some kinds require.
fn read_vm_sections(ini: &IniFile, kind: &str) -> Vec<(VmSection, Option<String>)> {
    let mut sections = Vec::new();
    for (id, section) in ini.sections_of_kind(kind) {
        let addr = section.required::<SocketAddr>("address");
        let failure_domain = section.required::<String>("failure_domain");
        let extra = match kind {
            "entry" => section.required::<String>("peer_address"),
            "service" => section.required::<String>("service"),
            _ => None,
        };
        let Ok(id) = id.parse() else {
            section.report("", "the section's name must be a number");
            continue;
        };
        let (Some(addr), Some(failure_domain)) = (addr, failure_domain) else {
            continue;
        };
        let vm = VmSection {
            id,
            addr,
            failure_domain,
        };
        sections.push((vm, extra));
    }
    sections
}

fn vm_record(vm: &VmSection, kind: VmKind) -> VmRecord {
    VmRecord {
        id: vm.id,
        kind,
        address: vm.addr.to_string(),
        failure_domain: vm.failure_domain.clone(),
        state: VmState::Live,
    }
}

fn read_deployment(ini: &IniFile) -> Option<Deployment> {
    let section = ini.section("platform");
    let platform = section.required::<SocketAddr>("address");
    let defaults = PlatformConfig::default();
    let lag_ms = section.in_range("vm_list_lag_ms", 500, 0, 600_000);
    let platform_config = PlatformConfig {
        writes_per_s: section.in_range("writes_per_s", defaults.writes_per_s, 1.0, 1e6),
        list_lag: Duration::from_millis(lag_ms),
        ..defaults
    };
    drop(section);
    let engines = ini.section("engines");
    let model = engines.required::<String>("model").unwrap_or_default();
    let versions = engines.list("versions");
    let adapters = engines.list("adapters");
    let time_scale = engines.in_range("time_scale", 1.0, 0.01, 1_000.0);
    let capacity = engines.in_range("capacity_tokens", 400_000, 1_000, 100_000_000);
    let checks_fencing_token = engines.value_or("checks_fence", true);
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
    for (node, peer_address) in read_vm_sections(ini, "entry") {
        let peer_address = peer_address.unwrap_or_default();
        let kind = VmKind::Entry { peer_address };
        deployment.vms.push(vm_record(&node, kind));
    }
    for (engine, _) in read_vm_sections(ini, "engine") {
        deployment.vms.push(vm_record(&engine, VmKind::Engine));
        let config = EngineConfig::new(ServerId(engine.id), loaded.clone())
            .with_time_scale(time_scale)
            .with_capacity(capacity)
            .with_checks_fencing_token(checks_fencing_token);
        deployment.engines.push(EngineSpec {
            addr: engine.addr,
            config,
        });
    }
    for (server, service) in read_vm_sections(ini, "service") {
        let name = service.unwrap_or_default();
        let kind = VmKind::Service {
            service: name.clone(),
        };
        deployment.vms.push(vm_record(&server, kind));
        deployment.services.push(ServiceSpec {
            addr: server.addr,
            name,
        });
    }
    Some(deployment)
}
