//! Brings bundles into force: reads the head row, fetches what changed, checks
//! it and hands it to the reducer. While the store is down, newer bundles come
//! from peers.

use std::{rc::Rc, sync::Arc, time::Duration};

use notchwalk_bundle::{Bundle, BundleError};
use notchwalk_core::{LogEvent, LogEventKind, VmId};
use notchwalk_decide::Event;
use notchwalk_platform::{fetch_bundle, fetch_head, SubmitError};
use notchwalk_wire::PeerMessage;

use crate::{bundle_texts::BundleTexts, shell::Shell};

/// How often the head row is read.
const READ_EVERY: Duration = Duration::from_millis(400);

/// Reads the head for ever.
pub async fn watch(shell: Rc<Shell>) {
    let mut down = false;
    let mut refused = None;
    loop {
        match refresh(&shell, &mut refused).await {
            Ok(()) if down => {
                down = false;
                LogEvent::new(LogEventKind::PlatformUp, "service=table").emit();
            }
            Ok(()) => {}
            Err(e) => {
                if !std::mem::replace(&mut down, true) {
                    let facts = format!("service=table error={e}");
                    LogEvent::new(LogEventKind::PlatformDown, facts).emit();
                }
                ask_peer(&shell);
            }
        }
        monoio::time::sleep(READ_EVERY).await;
    }
}

async fn refresh(shell: &Rc<Shell>, refused: &mut Option<String>) -> Result<(), SubmitError> {
    let Some(head) = fetch_head(&*shell.platform).await? else {
        return Ok(());
    };
    let in_force = shell.with_node(|node| node.bundle_version());
    if head.version <= in_force || refused.as_ref() == Some(&head.manifest) {
        return Ok(());
    }
    let known = shell
        .bundle_texts
        .borrow()
        .as_ref()
        .map(|texts| texts.parts.clone());
    let known = known.unwrap_or_default();
    let fetched = match fetch_bundle(&*shell.platform, &head.manifest, &known).await {
        Ok(fetched) => fetched,
        Err(SubmitError::Bundle(e)) => {
            refuse(head.version, &e);
            *refused = Some(head.manifest);
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    shell
        .bundle_bytes
        .set(shell.bundle_bytes.get() + fetched.fetched_bytes);
    let texts = BundleTexts {
        manifest: fetched.manifest,
        parts: fetched.parts,
    };
    put_in_force(shell, fetched.bundle, texts);
    Ok(())
}

fn refuse(version: u64, error: &BundleError) {
    let facts = format!("version={version} reason={error:?}");
    LogEvent::new(LogEventKind::BundleRefused, facts).emit();
}

fn put_in_force(shell: &Rc<Shell>, bundle: Bundle, texts: BundleTexts) {
    let was_ready = shell.with_node(|node| node.bundle_version()) > 0;
    let version = bundle.version;
    shell.step(Event::Bundle(Arc::new(bundle)));
    *shell.bundle_texts.borrow_mut() = Some(texts);
    if !was_ready {
        LogEvent::new(LogEventKind::DaemonReady, format!("version={version}")).emit();
    }
}

/// Asks a peer that has a newer bundle.
fn ask_peer(shell: &Rc<Shell>) {
    let (peer, have) =
        shell.with_node(|node| (node.peer_with_newer_bundle(), node.bundle_version()));
    if let Some(peer) = peer {
        shell.links.send(peer, PeerMessage::BundleAsk(have));
    }
}

/// Offers the bundle in force to a peer that has an older one.
pub fn offer(shell: &Rc<Shell>, to: VmId, have: u64) {
    let texts = shell.bundle_texts.borrow();
    let Some(texts) = texts.as_ref().filter(|t| t.manifest.version > have) else {
        return;
    };
    let text = serde_json::to_string(texts).unwrap_or_default();
    shell.links.send(to, PeerMessage::BundleOffer(text));
}

/// Takes in a bundle that a peer offered. Its parts must be those that were
/// signed. Signatures are checked against the bundle before, if that is the
/// one in force; otherwise the peer, which proved itself, is relied on.
pub fn take_offer(shell: &Rc<Shell>, from: VmId, text: &str) {
    let Ok(texts) = serde_json::from_str::<BundleTexts>(text) else {
        LogEvent::new(LogEventKind::PeerGarbage, format!("vm={}", from.0)).emit();
        return;
    };
    let version = texts.manifest.version;
    match check_offer(shell, &texts) {
        Ok(Some(bundle)) => put_in_force(shell, bundle, texts),
        Ok(None) => {}
        Err(e) => refuse(version, &e),
    }
}

fn check_offer(shell: &Shell, texts: &BundleTexts) -> Result<Option<Bundle>, BundleError> {
    let manifest = &texts.manifest;
    let in_force = shell.bundle();
    let present = in_force.as_ref().map_or(0, |b| b.version);
    if manifest.version <= present {
        return Ok(None);
    }
    let digests = texts.parts.iter().map(|p| (p.name, p.digest()));
    if digests.collect::<Vec<_>>() != manifest.parts {
        let reason = "the parts aren't those that were signed";
        return Err(BundleError::Signature(reason.to_owned()));
    }
    let bundle = Bundle::parse(manifest.version, &texts.parts)?;
    if let Some(before) = in_force.filter(|b| b.version + 1 == manifest.version) {
        manifest.verify(&before)?;
    }
    Ok(Some(bundle))
}
