//! Dispatch of reducer effects to the drivers that execute them.

use std::rc::Rc;

use notchwalk_decide::Effect;

use crate::{
    channel::CallerEvent,
    claim_writer, engine_driver, order_driver,
    shell::{EffectHandler, Shell},
};

/// Executes effects by passing each to its driver.
pub struct DaemonEffects;

impl EffectHandler for DaemonEffects {
    fn handle(&self, shell: &Rc<Shell>, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                let payload = shell.payload(dispatch.request);
                match payload {
                    Some(payload) => shell.spawn_attempt(
                        dispatch.request,
                        engine_driver::generate(shell.clone(), dispatch, payload),
                    ),
                    None => shell.send_to_caller(dispatch.request, CallerEvent::Send(dispatch)),
                }
            }
            Effect::Segment(segment) => {
                if segment.from == 0 {
                    shell.clear_tickets(segment.request);
                }
                if let Some(payload) = shell.payload(segment.request) {
                    let task = engine_driver::prefill_segment(shell.clone(), segment, payload);
                    shell.spawn_attempt(segment.request, task);
                }
            }
            Effect::Cancel { server, id, up_to } => {
                notchwalk_http::spawn(engine_driver::cancel(shell.clone(), server, id, up_to));
            }
            Effect::QueryAllocations(server) => {
                notchwalk_http::spawn(engine_driver::query_allocations(shell.clone(), server));
            }
            Effect::ClaimInsert {
                request,
                key,
                token,
                fingerprint,
            } => claim_writer::insert(shell, request, key, token, fingerprint),
            Effect::ClaimRead { request, key } => claim_writer::read(shell, request, key),
            Effect::ClaimRelease {
                key,
                token,
                fingerprint,
            } => claim_writer::release(shell, key, token, fingerprint),
            Effect::LeaseRead => {
                notchwalk_http::spawn(order_driver::read_lease(shell.clone()));
            }
            Effect::LeaseWrite { expected, row } => {
                notchwalk_http::spawn(order_driver::write_lease(shell.clone(), expected, row));
            }
            Effect::Order {
                server,
                fencing_token,
                desired,
            } => {
                notchwalk_http::spawn(order_driver::send_order(
                    shell.clone(),
                    server,
                    fencing_token,
                    desired,
                ));
            }
            // Executed by the shell, which owns the open requests.
            Effect::Admitted { .. }
            | Effect::Refuse { .. }
            | Effect::Deliver { .. }
            | Effect::Finish { .. }
            | Effect::FinishStored { .. }
            | Effect::Peer { .. }
            | Effect::Log(_)
            | Effect::Stop => {}
        }
    }
}
