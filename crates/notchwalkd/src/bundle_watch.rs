//! Brings bundles into force: reads the head row, fetches what changed, checks
//! it and hands it to the reducer.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use notchwalk_bundle::Part;
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_decide::Event;
use notchwalk_platform::{fetch_bundle, fetch_head, SubmitError};

use crate::shell::Shell;

/// How often the head row is read.
const READ_EVERY: Duration = Duration::from_millis(400);

/// Reads the head for ever.
pub async fn watch(shell: Rc<Shell>) {
    let known = RefCell::new(Vec::<Part>::new());
    let mut down = false;
    let mut refused = None;
    loop {
        match refresh(&shell, &known, &mut refused).await {
            Ok(()) if down => {
                down = false;
                LogEvent::new(LogEventKind::PlatformUp, "service=table").emit();
            }
            Ok(()) => {}
            Err(e) if !down => {
                down = true;
                let facts = format!("service=table error={e}");
                LogEvent::new(LogEventKind::PlatformDown, facts).emit();
            }
            Err(_) => {}
        }
        monoio::time::sleep(READ_EVERY).await;
    }
}

async fn refresh(
    shell: &Rc<Shell>,
    known: &RefCell<Vec<Part>>,
    refused: &mut Option<String>,
) -> Result<(), SubmitError> {
    let Some(head) = fetch_head(&*shell.platform).await? else {
        return Ok(());
    };
    let in_force = shell.with_node(|node| node.bundle_version());
    if head.version <= in_force || refused.as_ref() == Some(&head.manifest) {
        return Ok(());
    }
    let parts = known.borrow().clone();
    let fetched = match fetch_bundle(&*shell.platform, &head.manifest, &parts).await {
        Ok(fetched) => fetched,
        Err(SubmitError::Bundle(e)) => {
            let facts = format!("version={} reason={e:?}", head.version);
            LogEvent::new(LogEventKind::BundleRefused, facts).emit();
            *refused = Some(head.manifest);
            return Ok(());
        }
        Err(e) => return Err(e),
    };
    *known.borrow_mut() = fetched.parts;
    let was_ready = in_force > 0;
    shell.step(Event::Bundle(Arc::new(fetched.bundle)));
    if !was_ready {
        LogEvent::new(
            LogEventKind::DaemonReady,
            format!("version={}", head.version),
        )
        .emit();
    }
    Ok(())
}
