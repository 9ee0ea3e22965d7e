//! Parsing and checking of a bundle's content.

use std::{collections::HashMap, fmt, str::FromStr};

use notchwalk_core::Findings;
use serde::{Deserialize, Serialize};

use crate::{reader::IniFile, sign::check_public_key, BundleError};

/// The name of a part of a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartName {
    /// Operators and their public keys.
    Operators,
    /// Models with their limits, adapters and versions.
    Models,
    /// Plain services.
    Services,
    /// Workspaces with their weights, priorities, limits and permissions.
    Workspaces,
    /// The scheduling policy.
    Policy,
}

/// All parts, in the order of listing and checking.
pub const PART_NAMES: [PartName; 5] = [
    PartName::Operators,
    PartName::Models,
    PartName::Services,
    PartName::Workspaces,
    PartName::Policy,
];

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Operators => "operators",
            Self::Models => "models",
            Self::Services => "services",
            Self::Workspaces => "workspaces",
            Self::Policy => "policy",
        })
    }
}

impl PartName {
    /// Returns the file name of the part in a bundle's directory.
    pub fn file_name(self) -> String {
        format!("{self}.ini")
    }
}

/// The text of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The name.
    pub name: PartName,
    /// Its INI text.
    pub text: String,
}

impl Part {
    /// Returns the BLAKE3 digest under which the part is stored, in hex.
    pub fn digest(&self) -> String {
        blake3::hash(self.text.as_bytes()).to_hex().to_string()
    }
}

macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index in the bundle's list.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index_type! {
    /// Identifies a workspace within one bundle.
    WorkspaceKey
}
index_type! {
    /// Identifies a model within one bundle.
    ModelKey
}
index_type! {
    /// Identifies a plain service within one bundle.
    ServiceKey
}

/// A tenant: its share of the fleet and its permissions.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// The weight in fair sharing, relative to the other workspaces.
    pub weight: f64,
    /// The highest priority that its requests may specify, 0 to 9.
    pub priority_max: u8,
    /// The models it may use.
    pub models: Vec<ModelKey>,
    /// The plain services it may use.
    pub services: Vec<ServiceKey>,
    /// Maximum number of running requests per node.
    pub max_in_flight: u32,
    /// Maximum number of queued requests per node.
    pub max_queued: u32,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name in requests.
    pub name: String,
    /// The context length, prompt and completion together, in tokens.
    pub context_tokens: u64,
    /// Adapters, requested as `MODEL:ADAPTER`.
    pub adapters: Vec<String>,
    /// Versions, requested as `MODEL@VERSION`; the first is the default. Engines that serve the
    /// model receive orders to load all of them.
    pub versions: Vec<String>,
    /// Whether the engines that serve it reject outdated fencing tokens.
    pub checks_fencing_token: bool,
}

/// A service that is not a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainService {
    /// The name in the request path.
    pub name: String,
    /// The timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// HTTP methods whose calls may be retried after a failure.
    pub repeatable_methods: Vec<String>,
}

/// An operator who may sign bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name.
    pub name: String,
    /// The ed25519 public key, in hex.
    pub public_key: String,
    /// Whether the operator may propose changes.
    pub author: bool,
    /// Whether the operator may approve the changes of others.
    pub reviewer: bool,
}

/// The algorithm that orders requests and assigns them to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyKind {
    /// A single queue in order of arrival, as a baseline for comparison.
    Fifo,
    /// Immediate dispatch to the server with the least reported load, as a baseline for
    /// comparison.
    LeastLoaded,
    /// Weighted fair sharing with length classes and reservations.
    #[default]
    Fair,
}

impl FromStr for PolicyKind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fifo" => Ok(Self::Fifo),
            "least_loaded" => Ok(Self::LeastLoaded),
            "fair" => Ok(Self::Fair),
            _ => Err("the kinds are fifo, least_loaded and fair"),
        }
    }
}

/// The settings of the scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The kind.
    pub kind: PolicyKind,
    /// Maximum number of queued and running requests per node.
    pub max_requests: u32,
    /// The timeout of a request that specifies none, in milliseconds.
    pub default_timeout_ms: u64,
    /// The longest timeout that a request may specify, in milliseconds.
    pub max_timeout_ms: u64,
    /// The share of an engine's KV memory that long requests can't reserve, in percent.
    pub short_reserve_percent: u64,
    /// The ageing period of long requests, in milliseconds: after waiting this long, they get
    /// the engine priority of a shorter lane.
    pub ageing_ms: u64,
    /// The retry budget: retries per hundred requests.
    pub retry_percent: u64,
    /// How long a daemon can be suspended without sending outdated orders to engines that lack
    /// fencing, in milliseconds.
    pub max_order_suspension_ms: u64,
    /// How long the outcome of a call with an idempotency key is stored, in seconds.
    pub outcome_ttl_s: u64,
}

/// A parsed and checked bundle.
#[derive(Clone, Debug)]
pub struct Bundle {
    /// The version; 0 before the first bundle was accepted.
    pub version: u64,
    /// The workspaces; [`WorkspaceKey`]s index them.
    pub workspaces: Vec<Workspace>,
    /// The models; [`ModelKey`]s index them.
    pub models: Vec<Model>,
    /// The plain services; [`ServiceKey`]s index them.
    pub services: Vec<PlainService>,
    /// The policy.
    pub policy: Policy,
    operators: Vec<Operator>,
    workspace_by_key: HashMap<String, WorkspaceKey>,
    workspace_by_name: HashMap<String, WorkspaceKey>,
    model_by_name: HashMap<String, ModelKey>,
    service_by_name: HashMap<String, ServiceKey>,
}

impl Bundle {
    /// Parses the parts and checks each of them and their references to each other.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(version: u64, parts: &[Part]) -> Result<Self, BundleError> {
        let mut builder = Builder::default();
        for name in PART_NAMES {
            match parts.iter().find(|part| part.name == name) {
                Some(part) => builder.read(part),
                None => builder
                    .findings
                    .add(&name.file_name(), "", "", "the part is missing"),
            }
        }
        builder.finish(version).map_err(BundleError::Faulty)
    }

    /// Parses only the operators, which verify the signatures of the next bundle.
    ///
    /// # Errors
    ///
    /// Returns all findings in the operators part.
    pub fn operators_only(version: u64, parts: &[Part]) -> Result<Self, BundleError> {
        let mut builder = Builder::default();
        for part in parts.iter().filter(|p| p.name == PartName::Operators) {
            builder.read(part);
        }
        builder.read(&Part {
            name: PartName::Policy,
            text: String::new(),
        });
        builder.finish(version).map_err(BundleError::Faulty)
    }

    /// Returns the workspace of a caller's API key.
    pub fn workspace_of_key(&self, key: &str) -> Option<WorkspaceKey> {
        self.workspace_by_key.get(&crate::key_hash(key)).copied()
    }

    /// Returns a workspace.
    pub fn workspace(&self, key: WorkspaceKey) -> &Workspace {
        &self.workspaces[key.index()]
    }

    /// Finds a workspace by name.
    pub fn workspace_named(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_by_name.get(name).copied()
    }

    /// Finds a model by name.
    pub fn model_named(&self, name: &str) -> Option<ModelKey> {
        self.model_by_name.get(name).copied()
    }

    /// Finds a plain service by name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.service_by_name.get(name).copied()
    }

    /// Finds an operator by name.
    pub fn operator(&self, name: &str) -> Option<&Operator> {
        self.operators.iter().find(|o| o.name == name)
    }
}

#[derive(Default)]
struct Builder {
    findings: Findings,
    operators: Vec<Operator>,
    models: Vec<Model>,
    services: Vec<PlainService>,
    workspaces: Vec<Workspace>,
    policy: Option<Policy>,
    workspace_by_key: HashMap<String, WorkspaceKey>,
}

impl Builder {
    fn read(&mut self, part: &Part) {
        let file = part.name.file_name();
        let ini = match IniFile::parse(&file, &part.text) {
            Ok(ini) => ini,
            Err(findings) => return self.findings.0.extend(findings.0),
        };
        match part.name {
            PartName::Operators => self.read_operators(&ini, &file),
            PartName::Models => self.read_models(&ini),
            PartName::Services => self.read_services(&ini),
            PartName::Workspaces => self.read_workspaces(&ini),
            PartName::Policy => self.read_policy(&ini),
        }
        if let Err(findings) = ini.finish() {
            self.findings.0.extend(findings.0);
        }
    }

    fn read_operators(&mut self, ini: &IniFile, file: &str) {
        for (name, section) in ini.sections_of_kind("operator") {
            let public_key: String = section.required("public_key").unwrap_or_default();
            if !public_key.is_empty() {
                let title = format!("operator {name}");
                check_public_key(&public_key, file, &title, &mut self.findings);
            }
            let roles = section.list("roles");
            for role in &roles {
                if role != "author" && role != "reviewer" {
                    section.report(
                        "roles",
                        format!("{role:?}: the roles are author and reviewer"),
                    );
                }
            }
            self.operators.push(Operator {
                name,
                public_key,
                author: roles.iter().any(|r| r == "author"),
                reviewer: roles.iter().any(|r| r == "reviewer"),
            });
        }
        let authors = self.operators.iter().filter(|o| o.author).count();
        let operators = self.operators.len();
        if authors == 0 || operators < 2 || !self.operators.iter().any(|o| o.reviewer) {
            ini.report(
                "",
                "",
                "an author and another operator as reviewer are required",
            );
        }
    }

    fn read_models(&mut self, ini: &IniFile) {
        for (name, section) in ini.sections_of_kind("model") {
            if name.contains(['@', ':', ' ']) {
                section.report("", "a model name must not contain '@', ':' or a space");
            }
            let mut versions = section.list("versions");
            if versions.is_empty() {
                versions.push("1".to_owned());
            }
            self.models.push(Model {
                name,
                context_tokens: section.in_range("context_tokens", 131_072, 1, 16_000_000),
                adapters: section.list("adapters"),
                versions,
                checks_fencing_token: section.value_or("checks_fence", true),
            });
        }
        if self.models.is_empty() {
            ini.report("", "", "at least one model is required");
        }
    }

    fn read_services(&mut self, ini: &IniFile) {
        for (name, section) in ini.sections_of_kind("service") {
            let mut methods = section.list("repeatable_methods");
            if methods.is_empty() {
                methods = vec!["GET".into(), "HEAD".into()];
            }
            self.services.push(PlainService {
                name,
                timeout_ms: section.in_range("timeout_ms", 10_000, 1, 3_600_000),
                repeatable_methods: methods,
            });
        }
    }

    fn read_workspaces(&mut self, ini: &IniFile) {
        for (name, section) in ini.sections_of_kind("workspace") {
            let key = WorkspaceKey(self.workspaces.len() as u32);
            for hash in section.list("key_hashes") {
                let is_hash = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_hash {
                    section.report(
                        "key_hashes",
                        format!("{hash:?} is not a hash of 64 hex digits"),
                    );
                } else if self
                    .workspace_by_key
                    .insert(hash.to_lowercase(), key)
                    .is_some()
                {
                    section.report(
                        "key_hashes",
                        "the key is already assigned to another workspace",
                    );
                }
            }
            let models = section.list("models");
            let models = resolve_names(
                &models,
                &self.models,
                |m| &m.name,
                |reason| {
                    section.report("models", reason);
                },
            );
            let services = section.list("services");
            let services = resolve_names(
                &services,
                &self.services,
                |s| &s.name,
                |reason| {
                    section.report("services", reason);
                },
            );
            self.workspaces.push(Workspace {
                weight: section.in_range("weight", 1.0, 0.001, 1_000_000.0),
                priority_max: section.in_range("priority_max", 5, 0, 9),
                models: models.into_iter().map(ModelKey).collect(),
                services: services.into_iter().map(ServiceKey).collect(),
                max_in_flight: section.in_range("max_in_flight", 256, 1, 1_000_000),
                max_queued: section.in_range("max_queued", 1_024, 0, 1_000_000),
                name,
            });
        }
    }

    fn read_policy(&mut self, ini: &IniFile) {
        let section = ini.section("policy");
        let policy = Policy {
            kind: section.value_or("kind", PolicyKind::Fair),
            max_requests: section.in_range("max_requests", 20_000, 1, 1_000_000),
            default_timeout_ms: section.in_range("default_timeout_ms", 120_000, 1, 86_400_000),
            max_timeout_ms: section.in_range("max_timeout_ms", 3_600_000, 1, 86_400_000),
            short_reserve_percent: section.in_range("short_room_percent", 25, 0, 90),
            ageing_ms: section.in_range("ageing_ms", 10_000, 1, 3_600_000),
            retry_percent: section.in_range("retry_percent", 20, 0, 1_000),
            max_order_suspension_ms: section.in_range("order_pause_ms", 10_000, 0, 3_600_000),
            outcome_ttl_s: section.in_range("outcome_ttl_s", 86_400, 1, 31_536_000),
        };
        if policy.default_timeout_ms > policy.max_timeout_ms {
            section.report("default_timeout_ms", "is longer than max_timeout_ms");
        }
        self.policy = Some(policy);
    }

    fn finish(self, version: u64) -> Result<Bundle, Findings> {
        let Some(policy) = self.policy else {
            return Err(self.findings);
        };
        fn index_by_name<T, K>(
            list: &[T],
            name: fn(&T) -> &str,
            key: fn(u32) -> K,
        ) -> HashMap<String, K> {
            let pairs = list.iter().enumerate();
            pairs
                .map(|(i, item)| (name(item).to_owned(), key(i as u32)))
                .collect()
        }
        let bundle = Bundle {
            version,
            workspace_by_name: index_by_name(&self.workspaces, |w| &w.name, WorkspaceKey),
            model_by_name: index_by_name(&self.models, |m| &m.name, ModelKey),
            service_by_name: index_by_name(&self.services, |s| &s.name, ServiceKey),
            workspace_by_key: self.workspace_by_key,
            workspaces: self.workspaces,
            models: self.models,
            services: self.services,
            policy,
            operators: self.operators,
        };
        self.findings.into_result(bundle)
    }
}

/// Returns the indices of `names` in `list` and reports unknown names.
fn resolve_names<T>(
    names: &[String],
    list: &[T],
    name_of: fn(&T) -> &String,
    mut report: impl FnMut(String),
) -> Vec<u32> {
    let mut indices = Vec::new();
    for name in names {
        match list.iter().position(|item| name_of(item) == name) {
            Some(i) => indices.push(i as u32),
            None => report(format!("{name:?} is not in the bundle")),
        }
    }
    indices
}
