//! Keeps the active bundle up to date: polls the head row of the platform's table,
//! fetches the changed parts of a new bundle, verifies it and feeds it to the
//! reducer. While the table is unavailable, newer bundles are requested from peers.

use std::{rc::Rc, sync::Arc, time::Duration};

use notchwalk_bundle::{Bundle, BundleError};
use notchwalk_core::{LogEvent, LogEventKind, VmId};
use notchwalk_decide::Event;
use notchwalk_platform::{fetch_bundle, fetch_head, SubmitError};
use notchwalk_wire::PeerMessage;

use crate::{bundle_source::BundleSource, shell::Shell};

/// Interval between reads of the head row.
const HEAD_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Polls the head row until the daemon stops.
pub async fn watch(shell: Rc<Shell>) {
    let mut is_unavailable = false;
    let mut rejected_manifest = None;
    loop {
        match refresh(&shell, &mut rejected_manifest).await {
            Ok(()) if is_unavailable => {
                is_unavailable = false;
                LogEvent::new(LogEventKind::PlatformRecovered, "service=table").emit();
            }
            Ok(()) => {}
            Err(e) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    let facts = format!("service=table error={e}");
                    LogEvent::new(LogEventKind::PlatformCallFailed, facts).emit();
                }
                request_from_peer(&shell);
            }
        }
        monoio::time::sleep(HEAD_READ_INTERVAL).await;
    }
}

async fn refresh(
    shell: &Rc<Shell>,
    rejected_manifest: &mut Option<String>,
) -> Result<(), SubmitError> {
    let Some(head) = fetch_head(&*shell.platform).await? else {
        return Ok(());
    };
    let active_version = shell.with_node(|node| node.bundle_version());
    if head.version <= active_version || rejected_manifest.as_ref() == Some(&head.manifest) {
        return Ok(());
    }
    let known_parts = shell
        .bundle_source
        .borrow()
        .as_ref()
        .map(|source| source.parts.clone());
    let known_parts = known_parts.unwrap_or_default();
    let fetched = match fetch_bundle(&*shell.platform, &head.manifest, &known_parts).await {
        Ok(fetched) => fetched,
        Err(SubmitError::Bundle(e)) => {
            log_rejection(head.version, &e);
            *rejected_manifest = Some(head.manifest);
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    shell
        .bundle_bytes
        .set(shell.bundle_bytes.get() + fetched.fetched_bytes);
    let source = BundleSource {
        manifest: fetched.manifest,
        parts: fetched.parts,
    };
    activate(shell, fetched.bundle, source);
    Ok(())
}

fn log_rejection(version: u64, error: &BundleError) {
    let facts = format!("version={version} reason={error:?}");
    LogEvent::new(LogEventKind::BundleRejected, facts).emit();
}

fn activate(shell: &Rc<Shell>, bundle: Bundle, source: BundleSource) {
    let was_ready = shell.with_node(|node| node.bundle_version()) > 0;
    let version = bundle.version;
    shell.step(Event::Bundle(Arc::new(bundle)));
    *shell.bundle_source.borrow_mut() = Some(source);
    if !was_ready {
        LogEvent::new(LogEventKind::DaemonReady, format!("version={version}")).emit();
    }
}

/// Requests the bundle of a peer that has a newer one.
fn request_from_peer(shell: &Rc<Shell>) {
    let (peer, active_version) =
        shell.with_node(|node| (node.peer_with_newer_bundle(), node.bundle_version()));
    if let Some(peer) = peer {
        shell
            .links
            .send(peer, PeerMessage::BundleRequest(active_version));
    }
}

/// Sends the active bundle to a peer if it is newer than the peer's.
pub fn send_if_newer(shell: &Rc<Shell>, to: VmId, peer_version: u64) {
    let source = shell.bundle_source.borrow();
    let Some(source) = source
        .as_ref()
        .filter(|s| s.manifest.version > peer_version)
    else {
        return;
    };
    let text = serde_json::to_string(source).unwrap_or_default();
    shell.links.send(to, PeerMessage::BundleResponse(text));
}

/// Activates a bundle received from a peer if it is newer and valid. Its parts must
/// match the digests in the manifest. Signatures are verified only if the active
/// bundle is the direct predecessor; otherwise the authenticated peer is trusted.
pub fn apply_received(shell: &Rc<Shell>, from: VmId, text: &str) {
    let Ok(source) = serde_json::from_str::<BundleSource>(text) else {
        LogEvent::new(LogEventKind::PeerFrameInvalid, format!("vm={}", from.0)).emit();
        return;
    };
    let version = source.manifest.version;
    match verify_received(shell, &source) {
        Ok(Some(bundle)) => activate(shell, bundle, source),
        Ok(None) => {}
        Err(e) => log_rejection(version, &e),
    }
}

fn verify_received(shell: &Shell, source: &BundleSource) -> Result<Option<Bundle>, BundleError> {
    let manifest = &source.manifest;
    let active = shell.bundle();
    let active_version = active.as_ref().map_or(0, |b| b.version);
    if manifest.version <= active_version {
        return Ok(None);
    }
    let digests = source.parts.iter().map(|p| (p.name, p.digest()));
    if digests.collect::<Vec<_>>() != manifest.parts {
        let reason = "the parts aren't those that were signed";
        return Err(BundleError::Signature(reason.to_owned()));
    }
    let bundle = Bundle::parse(manifest.version, &source.parts)?;
    if let Some(previous) = active.filter(|b| b.version + 1 == manifest.version) {
        manifest.verify(&previous)?;
    }
    Ok(Some(bundle))
}
