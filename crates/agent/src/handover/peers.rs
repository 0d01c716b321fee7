//! The other processes of this agent during an upgrade, which share its limits.

use std::cell::Cell;
use std::rc::Rc;

/// Called with the number of processes, this one included.
type ChangeHandler = Box<dyn Fn(usize)>;

/// Counts the processes that share the limits; a process counts while this one is connected to it.
#[derive(Default)]
pub struct ProcessPeers {
    /// The number of connected processes, this one excluded.
    peers: Cell<usize>,
    /// The number of connected successors that can serve.
    ready_successors: Cell<usize>,
    change_handler: Cell<Option<ChangeHandler>>,
}

impl ProcessPeers {
    /// Calls `handler` with the number of processes, this one included, now and at each change.
    pub fn on_change(&self, handler: impl Fn(usize) + 'static) {
        self.change_handler.set(Some(Box::new(handler)));
        self.notify();
    }

    fn notify(&self) {
        // The handler is taken out for the call, so that it may use the peers itself.
        if let Some(handler) = self.change_handler.take() {
            handler(self.peers.get() + 1);
            self.change_handler.set(Some(handler));
        }
    }

    /// Whether another process can serve connections from the same queues.
    pub fn has_ready_successor(&self) -> bool {
        self.ready_successors.get() > 0
    }

    /// The number of connected processes, this one excluded.
    pub(super) fn count(&self) -> usize {
        self.peers.get()
    }

    /// Counts another process until the registration is dropped.
    pub(super) fn register(self: &Rc<Self>) -> PeerRegistration {
        self.peers.set(self.peers.get() + 1);
        self.notify();
        PeerRegistration { peers: Rc::clone(self), state: PeerState::Connected }
    }
}

/// The state of a connected process.
///
/// | state | entered when | left when |
/// | --- | --- | --- |
/// | `Connected` | the connection is established | the peer reports that it is ready, or exits |
/// | `Ready` | the peer, a successor, reports that it is ready | the peer exits |
#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// The process shares the limits.
    Connected,
    /// The process shares the limits and can serve.
    Ready,
}

/// Another process, counted until this is dropped.
pub(super) struct PeerRegistration {
    peers: Rc<ProcessPeers>,
    state: PeerState,
}

impl PeerRegistration {
    /// Whether [`mark_ready`](Self::mark_ready) has been called.
    pub(super) fn is_ready(&self) -> bool {
        self.state == PeerState::Ready
    }

    /// Counts the process as a successor that can serve; has no effect if it is one already.
    pub(super) fn mark_ready(&mut self) {
        if !self.is_ready() {
            self.state = PeerState::Ready;
            self.peers.ready_successors.set(self.peers.ready_successors.get() + 1);
        }
    }
}

impl Drop for PeerRegistration {
    fn drop(&mut self) {
        if self.is_ready() {
            self.peers.ready_successors.set(self.peers.ready_successors.get() - 1);
        }
        self.peers.peers.set(self.peers.peers.get() - 1);
        self.peers.notify();
    }
}
