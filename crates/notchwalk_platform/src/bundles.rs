//! Bundles on the platform: content-addressed parts and manifests in the object store, and a
//! head row in the table that is updated by compare-and-set from version n to n+1. A bundle is
//! accepted when that update is committed.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use notchwalk_bundle::{Bundle, BundleError, Delta, Manifest, Part, PartName};
use notchwalk_wire::{Condition, Row, TableOp, TableRead, TableTransaction};
use serde::{Deserialize, Serialize};

use crate::{ObjectStore, Platform, PlatformError, TableStore};

/// The key of the table row that contains the [`BundleHead`].
pub const HEAD_KEY: &str = "bundle/head";
/// Maximum number of attempts to update the head row while the platform does not respond.
const MAX_HEAD_ATTEMPTS: usize = 20;

/// The value of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// The active version.
    pub version: u64,
    /// The digest of its manifest.
    pub manifest: String,
}

/// A fetched bundle whose content and signatures are valid.
#[derive(Clone, Debug)]
pub struct FetchedBundle {
    /// The manifest.
    pub manifest: Manifest,
    /// The parts.
    pub parts: Vec<Part>,
    /// The parsed content.
    pub bundle: Bundle,
    /// The number of bytes fetched.
    pub fetched_bytes: u64,
}

/// Why a bundle was not accepted, or could not be fetched.
#[derive(Debug, Display, Error, From)]
pub enum SubmitError {
    /// A call to the platform failed; no version was accepted.
    #[display("{_0}")]
    Platform(PlatformError),
    /// The bundle is invalid or lacks signatures.
    #[display("{_0}")]
    Bundle(BundleError),
    /// Another version was accepted concurrently.
    #[display("version {} is in force, expected {}: {}", current.version, expected, changed_by)]
    #[from(ignore)]
    Conflict {
        /// The active version.
        #[error(not(source))]
        current: BundleHead,
        /// The version that the change is based on.
        expected: u64,
        /// The operators who signed the active version, and the reason they gave.
        changed_by: String,
    },
    /// Stored data is missing, or its content does not match its digest.
    #[display("stored data is missing or damaged: {_0}")]
    #[from(ignore)]
    Damaged(#[error(not(source))] String),
    /// The platform did not respond to the update of the head row, so its outcome is unknown.
    #[display(
        "the platform did not respond, so version {_0} may have been accepted; run the same command again"
    )]
    #[from(ignore)]
    Unknown(#[error(not(source))] u64),
}

fn manifest_key(digest: &str) -> String {
    format!("manifest/{digest}")
}

fn delta_key(old: &str, new: &str) -> String {
    format!("delta/{old}/{new}")
}

fn part_key(digest: &str) -> String {
    format!("part/{digest}")
}

/// Reads the head row; returns `None` if no bundle was accepted yet.
///
/// # Errors
///
/// Fails if the table is unavailable or the row is malformed.
pub async fn fetch_head(table: &dyn TableStore) -> Result<Option<BundleHead>, SubmitError> {
    let keys = vec![HEAD_KEY.to_owned()];
    let response = table.read(TableRead { keys }).await?;
    let row = response.rows.into_iter().next().flatten();
    row.map(|row| parse_head(&row)).transpose()
}

fn parse_head(row: &Row) -> Result<BundleHead, SubmitError> {
    serde_json::from_str(&row.value).map_err(|e| SubmitError::Damaged(format!("head row: {e}")))
}

/// Fetches a manifest by its digest.
///
/// # Errors
///
/// Fails if the object store is unavailable, or the manifest is missing or damaged.
pub async fn fetch_manifest(
    objects: &dyn ObjectStore,
    digest: &str,
) -> Result<Manifest, SubmitError> {
    let data = objects.get(manifest_key(digest)).await?;
    let data = data.ok_or_else(|| SubmitError::Damaged(format!("manifest {digest} not found")))?;
    let manifest: Manifest = serde_json::from_slice(&data)
        .map_err(|e| SubmitError::Damaged(format!("manifest {digest}: {e}")))?;
    if manifest.digest() != digest {
        return Err(SubmitError::Damaged(format!(
            "manifest {digest}: the content does not match the digest"
        )));
    }
    Ok(manifest)
}

/// Fetches a part by its digest.
///
/// # Errors
///
/// Fails if the object store is unavailable, or the part is missing or damaged.
pub async fn fetch_part(
    objects: &dyn ObjectStore,
    name: PartName,
    digest: &str,
) -> Result<Part, SubmitError> {
    let data = objects.get(part_key(digest)).await?;
    let data =
        data.ok_or_else(|| SubmitError::Damaged(format!("part {name} {digest} not found")))?;
    let text = String::from_utf8(data.to_vec())
        .map_err(|_| SubmitError::Damaged(format!("part {name} is not UTF-8")))?;
    let part = Part { name, text };
    if part.digest() != digest {
        return Err(SubmitError::Damaged(format!(
            "part {name} {digest}: the content does not match the digest"
        )));
    }
    Ok(part)
}

/// Fetches a bundle by the digest of its manifest and checks its content and signatures.
/// Parts in `known` that did not change are not fetched again. For a changed part, only the
/// delta is fetched, if one is stored.
///
/// # Errors
///
/// Fails if the object store is unavailable, or the bundle is invalid, damaged or not signed by
/// operators of the previous bundle.
pub async fn fetch_bundle(
    objects: &dyn ObjectStore,
    digest: &str,
    known: &[Part],
) -> Result<FetchedBundle, SubmitError> {
    let manifest = fetch_manifest(objects, digest).await?;
    let mut fetcher = PartFetcher::new(objects, known);
    fetcher.fetched_bytes += serde_json::to_vec(&manifest).map_or(0, |json| json.len() as u64);
    let parts = fetcher.fetch_all(&manifest).await?;
    let bundle = Bundle::parse(manifest.version, &parts)?;
    if manifest.previous.is_empty() {
        manifest.verify(&bundle)?;
    } else {
        let previous = fetch_manifest(objects, &manifest.previous).await?;
        manifest.verify(&fetcher.operators_of(&previous, &parts).await?)?;
    }
    Ok(FetchedBundle {
        fetched_bytes: fetcher.fetched_bytes,
        manifest,
        parts,
        bundle,
    })
}

/// Fetches parts and counts the fetched bytes.
struct PartFetcher<'a> {
    objects: &'a dyn ObjectStore,
    known: &'a [Part],
    fetched_bytes: u64,
}

impl<'a> PartFetcher<'a> {
    fn new(objects: &'a dyn ObjectStore, known: &'a [Part]) -> Self {
        Self {
            objects,
            known,
            fetched_bytes: 0,
        }
    }

    async fn fetch_all(&mut self, manifest: &Manifest) -> Result<Vec<Part>, SubmitError> {
        let mut parts = Vec::new();
        for (name, digest) in &manifest.parts {
            parts.push(self.fetch_one(*name, digest).await?);
        }
        Ok(parts)
    }

    async fn fetch_one(&mut self, name: PartName, digest: &str) -> Result<Part, SubmitError> {
        let known = self.known.iter().find(|part| part.name == name);
        if let Some(known) = known {
            let old = known.digest();
            if old == digest {
                return Ok(known.clone());
            }
            if let Some(part) = self.apply_delta(known, &old, digest).await? {
                return Ok(part);
            }
        }
        let part = fetch_part(self.objects, name, digest).await?;
        self.fetched_bytes += part.text.len() as u64;
        Ok(part)
    }

    /// Builds a part from the known one and the stored delta. Returns `None` if there is no
    /// delta or the result does not match `digest`.
    async fn apply_delta(
        &mut self,
        known: &Part,
        old: &str,
        digest: &str,
    ) -> Result<Option<Part>, SubmitError> {
        let Some(data) = self.objects.get(delta_key(old, digest)).await? else {
            return Ok(None);
        };
        self.fetched_bytes += data.len() as u64;
        let delta = serde_json::from_slice::<Delta>(&data).ok();
        let text = delta.and_then(|delta| delta.apply(&known.text));
        let part = text.map(|text| Part {
            name: known.name,
            text,
        });
        Ok(part.filter(|part| part.digest() == digest))
    }

    /// Returns a bundle with only the operators of `previous`, whose keys verify the signatures
    /// of the next bundle.
    async fn operators_of(
        &mut self,
        previous: &Manifest,
        parts: &[Part],
    ) -> Result<Bundle, SubmitError> {
        let mut parts = parts.to_vec();
        for (name, digest) in &previous.parts {
            if *name != PartName::Operators {
                continue;
            }
            for part in parts.iter_mut().filter(|part| part.name == *name) {
                if part.digest() != *digest {
                    *part = self.fetch_one(*name, digest).await?;
                }
            }
        }
        parts.retain(|part| part.name == PartName::Operators);
        Ok(Bundle::operators_only(previous.version, &parts)?)
    }
}

/// Stores a signed bundle and updates the head row to it. Idempotent: a bundle that is already in
/// force counts as accepted.
///
/// # Errors
///
/// Fails if the bundle is invalid or lacks signatures, if another version was accepted
/// concurrently, or if the platform is unavailable.
pub async fn submit(
    platform: &dyn Platform,
    manifest: &Manifest,
    parts: &[Part],
) -> Result<BundleHead, SubmitError> {
    let bundle = Bundle::parse(manifest.version, parts)?;
    let head = fetch_head(platform).await?;
    let digest = manifest.digest();
    let new_head = BundleHead {
        version: manifest.version,
        manifest: digest.clone(),
    };
    if head.as_ref() == Some(&new_head) {
        return Ok(new_head);
    }
    check_successor(platform, manifest, parts, &bundle, head.as_ref()).await?;
    store_parts(platform, head.as_ref(), parts).await?;
    let data = serde_json::to_vec(manifest).unwrap_or_default();
    platform
        .put(manifest_key(&digest), Bytes::from(data))
        .await?;
    update_head(platform, head, new_head).await
}

/// Stores the parts that changed, and their deltas from the active version.
async fn store_parts(
    platform: &dyn Platform,
    head: Option<&BundleHead>,
    parts: &[Part],
) -> Result<(), SubmitError> {
    let previous = match head {
        Some(head) => fetch_manifest(platform, &head.manifest).await?.parts,
        None => Vec::new(),
    };
    for part in parts {
        let digest = part.digest();
        let old = previous.iter().find(|(name, _)| *name == part.name);
        let old = old.map(|(_, digest)| digest.as_str());
        if old == Some(digest.as_str()) {
            continue;
        }
        let data = Bytes::from(part.text.clone());
        platform.put(part_key(&digest), data).await?;
        if let Some(old) = old {
            let text = fetch_part(platform, part.name, old).await?.text;
            let delta = Delta::between(&text, &part.text);
            let data = serde_json::to_vec(&delta).unwrap_or_default();
            platform
                .put(delta_key(old, &digest), Bytes::from(data))
                .await?;
        }
    }
    Ok(())
}

/// Checks that a manifest is the successor of the active version and is signed.
async fn check_successor(
    platform: &dyn Platform,
    manifest: &Manifest,
    parts: &[Part],
    bundle: &Bundle,
    head: Option<&BundleHead>,
) -> Result<(), SubmitError> {
    let Some(head) = head else {
        if manifest.version != 1 || !manifest.previous.is_empty() {
            let reason = "no bundle was accepted yet; the first must have version 1 and no previous manifest";
            return Err(SubmitError::Damaged(reason.to_owned()));
        }
        return Ok(manifest.verify(bundle)?);
    };
    if manifest.version != head.version + 1 || manifest.previous != head.manifest {
        let expected = manifest.version.saturating_sub(1);
        return Err(conflict(platform, head.clone(), expected).await);
    }
    let previous = fetch_manifest(platform, &head.manifest).await?;
    let operators = PartFetcher::new(platform, &[])
        .operators_of(&previous, parts)
        .await?;
    Ok(manifest.verify(&operators)?)
}

/// Returns the error of a concurrent submission, which names the version that was accepted.
async fn conflict(objects: &dyn ObjectStore, current: BundleHead, expected: u64) -> SubmitError {
    let changed_by = match fetch_manifest(objects, &current.manifest).await {
        Ok(manifest) => {
            let names = manifest.signatures.iter().map(|s| s.operator.as_str());
            let names = names.collect::<Vec<_>>().join(" and ");
            format!("changed by {names}: {}", manifest.reason)
        }
        Err(e) => format!("the operators are unknown: {e}"),
    };
    SubmitError::Conflict {
        current,
        expected,
        changed_by,
    }
}

/// Updates the head row. Retries if the platform did not respond.
async fn update_head(
    platform: &dyn Platform,
    from: Option<BundleHead>,
    to: BundleHead,
) -> Result<BundleHead, SubmitError> {
    let json = |head: &BundleHead| serde_json::to_string(head).unwrap_or_default();
    let op = TableOp {
        key: HEAD_KEY.to_owned(),
        condition: from
            .as_ref()
            .map_or(Condition::Absent, |h| Condition::Value(json(h))),
        value: Some(json(&to)),
        ttl_s: None,
    };
    let tx = TableTransaction {
        ops: vec![op],
        all_or_none: true,
    };
    let expected = from.map_or(0, |head| head.version);
    for _ in 0..MAX_HEAD_ATTEMPTS {
        match platform.transact(tx.clone()).await {
            Ok(response) if response.applied.first() == Some(&true) => return Ok(to),
            Ok(response) => {
                let row = response.rows.into_iter().next().flatten();
                let stored = row.map(|row| parse_head(&row)).transpose()?;
                return match stored {
                    Some(stored) if stored == to => Ok(to),
                    Some(stored) => Err(conflict(platform, stored, expected).await),
                    None => Err(SubmitError::Damaged("the head row was removed".to_owned())),
                };
            }
            // The update is conditional, so a retry is safe and its response shows whether
            // the first attempt took effect.
            Err(e) if e.may_have_taken_effect() => continue,
            Err(e) => return Err(e.into()),
        }
    }
    Err(SubmitError::Unknown(to.version))
}
