//! Bundles for stand-in fleets: texts of the parts, and two operators who
//! sign.

use notchwalk_bundle::{key_hash, Bundle, Manifest, Part, PartName, SigningKey};
use notchwalk_platform::{BundleHead, Platform, SubmitError};

/// A workspace of a stand-in fleet.
#[derive(Clone, Debug)]
pub struct WorkspaceSpec {
    /// The name.
    pub name: String,
    /// The share.
    pub weight: f64,
    /// The callers' key.
    pub key: String,
}

impl WorkspaceSpec {
    /// Builds a workspace with a key made from its name.
    pub fn new(name: &str, weight: f64) -> Self {
        Self {
            name: name.to_owned(),
            weight,
            key: format!("key-of-{name}"),
        }
    }
}

/// What the bundle of a stand-in fleet says.
#[derive(Clone, Debug)]
pub struct BundleSpec {
    /// The model's name.
    pub model: String,
    /// Its context, in tokens.
    pub context_tokens: u64,
    /// The model's versions, the default first.
    pub versions: Vec<String>,
    /// Whether the engines refuse old fencing numbers.
    pub checks_fence: bool,
    /// The plain service's name.
    pub service: String,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The policy's settings, as INI lines.
    pub policy: String,
}

/// An author and a reviewer.
pub struct Operators {
    author: SigningKey,
    reviewer: SigningKey,
}

impl Operators {
    /// Makes two operators from a seed.
    pub fn new(seed: u8) -> Self {
        Self {
            author: SigningKey::from_bytes(&[seed; 32]),
            reviewer: SigningKey::from_bytes(&[seed.wrapping_add(1); 32]),
        }
    }

    /// Returns the parts of a bundle.
    pub fn parts(&self, spec: &BundleSpec) -> Vec<Part> {
        let hex = |key: &SigningKey| hex_of(key.verifying_key().as_bytes());
        let operators = format!(
            "[operator author]\npublic_key = {}\nroles = author\n\n\
             [operator reviewer]\npublic_key = {}\nroles = reviewer\n",
            hex(&self.author),
            hex(&self.reviewer)
        );
        let models = format!(
            "[model {}]\ncontext_tokens = {}\nversions = {}\nadapters = tour\nchecks_fence = {}\n",
            spec.model,
            spec.context_tokens,
            spec.versions.join(", "),
            spec.checks_fence
        );
        let services = format!("[service {}]\ntimeout_ms = 10000\n", spec.service);
        let mut workspaces = String::new();
        for workspace in &spec.workspaces {
            workspaces.push_str(&format!(
                "[workspace {}]\nweight = {}\nkey_hashes = {}\nmodels = {}\nservices = {}\n\
                 max_in_flight = 4096\nmax_queued = 20000\n\n",
                workspace.name,
                workspace.weight,
                key_hash(&workspace.key),
                spec.model,
                spec.service
            ));
        }
        let part = |name, text| Part { name, text };
        vec![
            part(PartName::Operators, operators),
            part(PartName::Models, models),
            part(PartName::Services, services),
            part(PartName::Workspaces, workspaces),
            part(PartName::Policy, format!("[policy]\n{}", spec.policy)),
        ]
    }

    /// Signs and submits parts as the version after `before`.
    ///
    /// # Errors
    ///
    /// Fails if the bundle is not accepted.
    pub async fn submit(
        &self,
        platform: &dyn Platform,
        before: Option<&BundleHead>,
        parts: &[Part],
        reason: &str,
    ) -> Result<BundleHead, SubmitError> {
        let version = before.map_or(1, |head| head.version + 1);
        Bundle::parse(version, parts)?;
        let mut manifest = Manifest {
            version,
            previous: before.map_or_else(String::new, |head| head.manifest.clone()),
            reason: reason.to_owned(),
            parts: parts.iter().map(|p| (p.name, p.digest())).collect(),
            signatures: Vec::new(),
        };
        manifest.sign("author", &self.author);
        manifest.sign("reviewer", &self.reviewer);
        notchwalk_platform::submit(platform, &manifest, parts).await
    }
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
