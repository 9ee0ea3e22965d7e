//! Counts the exchanges of a server that are not finished.

use std::{cell::Cell, rc::Rc};

/// The number of requests whose response is not written yet, from the first byte of their
/// head. A process that exits before it is zero cuts responses off.
#[derive(Clone, Debug, Default)]
pub struct OpenExchanges(Rc<Cell<usize>>);

impl OpenExchanges {
    /// Returns the number of open exchanges.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts an exchange as open until the guard is dropped.
    pub(crate) fn open(&self) -> OpenExchangeGuard {
        self.0.set(self.0.get() + 1);
        OpenExchangeGuard(self.0.clone())
    }
}

/// Counts an exchange as open until dropped.
pub(crate) struct OpenExchangeGuard(Rc<Cell<usize>>);

impl Drop for OpenExchangeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
