//! Bundles for stand-in fleets: generates the parts and signs them with two operator keys.

use notchwalk_bundle::{key_hash, Bundle, Manifest, Part, PartName, SigningKey};
use notchwalk_platform::{BundleHead, Platform, SubmitError};

/// A workspace of a stand-in fleet.
#[derive(Clone, Debug)]
pub struct WorkspaceSpec {
    /// Workspace name.
    pub name: String,
    /// Fair-share weight.
    pub weight: f64,
    /// API key of its callers.
    pub key: String,
}

impl WorkspaceSpec {
    /// Returns a workspace whose API key is derived from its name.
    pub fn new(name: &str, weight: f64) -> Self {
        Self {
            name: name.to_owned(),
            weight,
            key: format!("key-of-{name}"),
        }
    }
}

/// Content of a stand-in fleet's bundle.
#[derive(Clone, Debug)]
pub struct BundleSpec {
    /// Model name.
    pub model: String,
    /// Context window of the model, in tokens.
    pub context_tokens: u64,
    /// Versions of the model, the default first.
    pub versions: Vec<String>,
    /// Whether the engines reject stale fencing tokens.
    pub checks_fencing_token: bool,
    /// Name of the plain service.
    pub service: String,
    /// Workspaces of the fleet.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Policy settings, as INI lines.
    pub policy: String,
}

/// The signing keys of an author and a reviewer.
pub struct Operators {
    author: SigningKey,
    reviewer: SigningKey,
}

impl Operators {
    /// Derives both keys from a seed.
    pub fn new(seed: u8) -> Self {
        Self {
            author: SigningKey::from_bytes(&[seed; 32]),
            reviewer: SigningKey::from_bytes(&[seed.wrapping_add(1); 32]),
        }
    }

    /// Returns the parts of a bundle.
    pub fn parts(&self, spec: &BundleSpec) -> Vec<Part> {
        let hex = |key: &SigningKey| to_hex(key.verifying_key().as_bytes());
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
            spec.checks_fencing_token
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

    /// Signs parts and submits them as the version after `previous`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is invalid or rejected.
    pub async fn submit(
        &self,
        platform: &dyn Platform,
        previous: Option<&BundleHead>,
        parts: &[Part],
        reason: &str,
    ) -> Result<BundleHead, SubmitError> {
        let version = previous.map_or(1, |head| head.version + 1);
        Bundle::parse(version, parts)?;
        let mut manifest = Manifest {
            version,
            previous: previous.map_or_else(String::new, |head| head.manifest.clone()),
            reason: reason.to_owned(),
            parts: parts.iter().map(|p| (p.name, p.digest())).collect(),
            signatures: Vec::new(),
        };
        manifest.sign("author", &self.author);
        manifest.sign("reviewer", &self.reviewer);
        notchwalk_platform::submit(platform, &manifest, parts).await
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
