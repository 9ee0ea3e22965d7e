//! Bundles in the platform: content-addressed parts and manifests in the
//! object store, and one head row in the table that moves by compare-and-set
//! from version n to n+1. A bundle is accepted when that move is committed.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use notchwalk_bundle::{Bundle, BundleError, Delta, Manifest, Part, PartName};
use notchwalk_wire::{Condition, Row, TableOp, TableRead, TableTransaction};
use serde::{Deserialize, Serialize};

use crate::{ObjectStore, Platform, PlatformError, TableStore};

/// The key of the head row.
pub const HEAD_KEY: &str = "bundle/head";
/// Tries of a move whose answer was lost, before it is given up as unknown.
const READ_BACK_TRIES: usize = 20;

/// The value of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// The version in force.
    pub version: u64,
    /// The digest of its manifest.
    pub manifest: String,
}

/// A bundle as fetched: checked, and signed by those who may.
#[derive(Clone, Debug)]
pub struct FetchedBundle {
    /// The manifest.
    pub manifest: Manifest,
    /// The parts.
    pub parts: Vec<Part>,
    /// The content.
    pub bundle: Bundle,
    /// Bytes that were fetched for it.
    pub fetched_bytes: u64,
}

/// Why a bundle was not accepted, or could not be fetched.
#[derive(Debug, Display, Error, From)]
pub enum SubmitError {
    /// The platform failed; nothing changed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// The bundle has faults or lacks signatures.
    #[display("{_0}")]
    Bundle(BundleError),
    /// Another version was accepted in between.
    #[display("version {} is in force, not {}: {}", in_force.version, expected, by)]
    #[from(ignore)]
    Raced {
        /// What is in force.
        #[error(not(source))]
        in_force: BundleHead,
        /// What the change was made against.
        expected: u64,
        /// Who changed what.
        by: String,
    },
    /// Something stored is missing or isn't what its name says.
    #[display("stored data is missing or damaged: {_0}")]
    #[from(ignore)]
    Damaged(#[error(not(source))] String),
    /// The answer to the move was lost and could not be found out.
    #[display(
        "the platform did not say whether version {_0} was accepted; run the same command again"
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

/// Reads which bundle is in force; `None` before the first.
///
/// # Errors
///
/// Fails while the table is down or if the row is damaged.
pub async fn fetch_head(table: &dyn TableStore) -> Result<Option<BundleHead>, SubmitError> {
    let keys = vec![HEAD_KEY.to_owned()];
    let answer = table.read(TableRead { keys }).await?;
    let row = answer.rows.into_iter().next().flatten();
    row.map(|row| parse_head(&row)).transpose()
}

fn parse_head(row: &Row) -> Result<BundleHead, SubmitError> {
    serde_json::from_str(&row.value).map_err(|e| SubmitError::Damaged(format!("head row: {e}")))
}

/// Fetches a manifest by digest.
///
/// # Errors
///
/// Fails while the store is down or if the object isn't that manifest.
pub async fn fetch_manifest(
    objects: &dyn ObjectStore,
    digest: &str,
) -> Result<Manifest, SubmitError> {
    let data = objects.get(manifest_key(digest)).await?;
    let data = data.ok_or_else(|| SubmitError::Damaged(format!("no manifest {digest}")))?;
    let manifest: Manifest = serde_json::from_slice(&data)
        .map_err(|e| SubmitError::Damaged(format!("manifest {digest}: {e}")))?;
    if manifest.digest() != digest {
        return Err(SubmitError::Damaged(format!(
            "manifest {digest} is another one"
        )));
    }
    Ok(manifest)
}

/// Fetches a part by digest.
///
/// # Errors
///
/// Fails while the store is down or if the object isn't that part.
pub async fn fetch_part(
    objects: &dyn ObjectStore,
    name: PartName,
    digest: &str,
) -> Result<Part, SubmitError> {
    let data = objects.get(part_key(digest)).await?;
    let data = data.ok_or_else(|| SubmitError::Damaged(format!("no part {name} {digest}")))?;
    let text = String::from_utf8(data.to_vec())
        .map_err(|_| SubmitError::Damaged(format!("part {name} is no text")))?;
    let part = Part { name, text };
    if part.digest() != digest {
        return Err(SubmitError::Damaged(format!(
            "part {name} {digest} is another one"
        )));
    }
    Ok(part)
}

/// Fetches a bundle by its manifest's digest and checks content and
/// signatures. Parts found in `known` are not fetched again, and of a changed
/// part only what differs, if the difference is stored.
///
/// # Errors
///
/// Fails while the store is down, or if the bundle is faulty, damaged or not
/// signed by those the bundle before names.
pub async fn fetch_bundle(
    objects: &dyn ObjectStore,
    digest: &str,
    known: &[Part],
) -> Result<FetchedBundle, SubmitError> {
    let manifest = fetch_manifest(objects, digest).await?;
    let mut fetch = PartFetch::new(objects, known);
    fetch.bytes += serde_json::to_vec(&manifest).map_or(0, |json| json.len() as u64);
    let parts = fetch.all(&manifest).await?;
    let bundle = Bundle::parse(manifest.version, &parts)?;
    if manifest.previous.is_empty() {
        manifest.verify(&bundle)?;
    } else {
        let before = fetch_manifest(objects, &manifest.previous).await?;
        manifest.verify(&fetch.operators_of(&before, &parts).await?)?;
    }
    Ok(FetchedBundle {
        fetched_bytes: fetch.bytes,
        manifest,
        parts,
        bundle,
    })
}

/// Fetches parts and counts what they cost.
struct PartFetch<'a> {
    objects: &'a dyn ObjectStore,
    known: &'a [Part],
    bytes: u64,
}

impl<'a> PartFetch<'a> {
    fn new(objects: &'a dyn ObjectStore, known: &'a [Part]) -> Self {
        Self {
            objects,
            known,
            bytes: 0,
        }
    }

    async fn all(&mut self, manifest: &Manifest) -> Result<Vec<Part>, SubmitError> {
        let mut parts = Vec::new();
        for (name, digest) in &manifest.parts {
            parts.push(self.one(*name, digest).await?);
        }
        Ok(parts)
    }

    async fn one(&mut self, name: PartName, digest: &str) -> Result<Part, SubmitError> {
        let known = self.known.iter().find(|part| part.name == name);
        if let Some(known) = known {
            let old = known.digest();
            if old == digest {
                return Ok(known.clone());
            }
            if let Some(part) = self.changed(known, &old, digest).await? {
                return Ok(part);
            }
        }
        let part = fetch_part(self.objects, name, digest).await?;
        self.bytes += part.text.len() as u64;
        Ok(part)
    }

    /// Makes a part from the known one and the stored difference; `None` if
    /// there is none or it does not lead to the wanted part.
    async fn changed(
        &mut self,
        known: &Part,
        old: &str,
        digest: &str,
    ) -> Result<Option<Part>, SubmitError> {
        let Some(data) = self.objects.get(delta_key(old, digest)).await? else {
            return Ok(None);
        };
        self.bytes += data.len() as u64;
        let delta = serde_json::from_slice::<Delta>(&data).ok();
        let text = delta.and_then(|delta| delta.apply(&known.text));
        let part = text.map(|text| Part {
            name: known.name,
            text,
        });
        Ok(part.filter(|part| part.digest() == digest))
    }

    /// Returns a bundle that knows the operators of an earlier one, which is
    /// all that its signatures need.
    async fn operators_of(
        &mut self,
        before: &Manifest,
        parts: &[Part],
    ) -> Result<Bundle, SubmitError> {
        let mut parts = parts.to_vec();
        for (name, digest) in &before.parts {
            if *name != PartName::Operators {
                continue;
            }
            for part in parts.iter_mut().filter(|part| part.name == *name) {
                if part.digest() != *digest {
                    *part = self.one(*name, digest).await?;
                }
            }
        }
        parts.retain(|part| part.name == PartName::Operators);
        Ok(Bundle::operators_only(before.version, &parts)?)
    }
}

/// Stores a signed bundle and moves the head to it. Safe to repeat: a bundle
/// that is already in force counts as accepted.
///
/// # Errors
///
/// Fails if the bundle is faulty or unsigned, if another operator was faster,
/// or if the platform is down.
pub async fn submit(
    platform: &dyn Platform,
    manifest: &Manifest,
    parts: &[Part],
) -> Result<BundleHead, SubmitError> {
    let bundle = Bundle::parse(manifest.version, parts)?;
    let head = fetch_head(platform).await?;
    let digest = manifest.digest();
    let wanted = BundleHead {
        version: manifest.version,
        manifest: digest.clone(),
    };
    if head.as_ref() == Some(&wanted) {
        return Ok(wanted);
    }
    check_follows(platform, manifest, parts, &bundle, head.as_ref()).await?;
    store_parts(platform, head.as_ref(), parts).await?;
    let data = serde_json::to_vec(manifest).unwrap_or_default();
    platform
        .put(manifest_key(&digest), Bytes::from(data))
        .await?;
    move_head(platform, head, wanted).await
}

/// Stores parts, and how those that changed differ from what is in force.
async fn store_parts(
    platform: &dyn Platform,
    head: Option<&BundleHead>,
    parts: &[Part],
) -> Result<(), SubmitError> {
    let before = match head {
        Some(head) => fetch_manifest(platform, &head.manifest).await?.parts,
        None => Vec::new(),
    };
    for part in parts {
        let digest = part.digest();
        let old = before.iter().find(|(name, _)| *name == part.name);
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

async fn check_follows(
    platform: &dyn Platform,
    manifest: &Manifest,
    parts: &[Part],
    bundle: &Bundle,
    head: Option<&BundleHead>,
) -> Result<(), SubmitError> {
    let Some(head) = head else {
        if manifest.version != 1 || !manifest.previous.is_empty() {
            let reason = "there is no bundle yet; the first has version 1";
            return Err(SubmitError::Damaged(reason.to_owned()));
        }
        return Ok(manifest.verify(bundle)?);
    };
    if manifest.version != head.version + 1 || manifest.previous != head.manifest {
        let expected = manifest.version.saturating_sub(1);
        return Err(raced(platform, head.clone(), expected).await);
    }
    let before = fetch_manifest(platform, &head.manifest).await?;
    let operators = PartFetch::new(platform, &[])
        .operators_of(&before, parts)
        .await?;
    Ok(manifest.verify(&operators)?)
}

async fn raced(objects: &dyn ObjectStore, in_force: BundleHead, expected: u64) -> SubmitError {
    let by = match fetch_manifest(objects, &in_force.manifest).await {
        Ok(manifest) => {
            let names = manifest.signatures.iter().map(|s| s.operator.as_str());
            let names = names.collect::<Vec<_>>().join(" and ");
            format!("{names} changed it: {}", manifest.reason)
        }
        Err(e) => format!("by whom can't be told: {e}"),
    };
    SubmitError::Raced {
        in_force,
        expected,
        by,
    }
}

/// Moves the head row. A lost answer is found out by reading back.
async fn move_head(
    platform: &dyn Platform,
    from: Option<BundleHead>,
    to: BundleHead,
) -> Result<BundleHead, SubmitError> {
    let text = |head: &BundleHead| serde_json::to_string(head).unwrap_or_default();
    let op = TableOp {
        key: HEAD_KEY.to_owned(),
        condition: from
            .as_ref()
            .map_or(Condition::Absent, |h| Condition::Value(text(h))),
        value: Some(text(&to)),
        ttl_s: None,
    };
    let tx = TableTransaction {
        ops: vec![op],
        all_or_none: true,
    };
    let expected = from.map_or(0, |head| head.version);
    for _ in 0..READ_BACK_TRIES {
        match platform.transact(tx.clone()).await {
            Ok(answer) if answer.applied.first() == Some(&true) => return Ok(to),
            Ok(answer) => {
                let row = answer.rows.into_iter().next().flatten();
                let now = row.map(|row| parse_head(&row)).transpose()?;
                return match now {
                    Some(now) if now == to => Ok(to),
                    Some(now) => Err(raced(platform, now, expected).await),
                    None => Err(SubmitError::Damaged("the head row is gone".to_owned())),
                };
            }
            // The move is conditional, so doing it again is safe, and its
            // answer tells whether the first took effect.
            Err(e) if e.may_have_taken_effect() => continue,
            Err(e) => return Err(e.into()),
        }
    }
    Err(SubmitError::Unknown(to.version))
}
