//! The claims of request ids that the processes of an upgrade share, so that a request runs in one of them at most.
//!
//! Each process tells the others of its claims over a Unix connection of its own. A claim is written to them before the request is
//! sent, and what they have written is read before and after that. So if two processes claim the same id at the same time, at least
//! one of them sees the claim of the other, and does not send the request.

mod link;

use super::socket::listen_for_successors;
use heronhoist_engine::timing::timeout;
use heronhoist_engine::{CorrelationId, RecentClaims, RequestClaims};
use link::{Link, Message};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a new process waits for the claims of its predecessor.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// The claims of this process and of those that serve beside it.
pub struct SharedClaims {
    claims: RefCell<RecentClaims>,
    links: RefCell<Vec<Rc<Link>>>,
}

/// The path of the Unix socket for claims, beside that of the handover.
fn claims_path(socket_path: &Path) -> PathBuf {
    socket_path.with_extension("claims")
}

impl SharedClaims {
    /// Creates an empty memory for at most `max_claims` ids, without other processes.
    pub fn new(max_claims: usize) -> Rc<Self> {
        Rc::new(SharedClaims {
            claims: RefCell::new(RecentClaims::new(max_claims)),
            links: RefCell::default(),
        })
    }

    /// Connects to the running process whose handover socket is at one of these paths, and returns once its claims are known. Without
    /// such a process, or if it shares no claims, there is nothing to wait for.
    ///
    /// A process listens at one path for each of its fronts. Only one of them is connected to: over a second connection this process
    /// would get its own messages back, late.
    pub async fn join(self: &Rc<Self>, socket_paths: &[PathBuf]) {
        for path in socket_paths {
            if let Ok(stream) = UnixStream::connect(claims_path(path)).await {
                let link = self.add_link(stream);
                let _ = timeout(RECEIVE_TIMEOUT, link.synchronized()).await;
                return;
            }
        }
    }

    /// Listens for the processes that connect with [`join`](Self::join); `None` if that is impossible, which is logged.
    pub fn listen(socket_path: &Path) -> Option<UnixListener> {
        listen_for_successors(&claims_path(socket_path))
    }

    /// Shares the claims with each process that connects.
    pub async fn serve(self: Rc<Self>, listener: UnixListener) {
        loop {
            let stream = crate::accept::accept(&listener, |_, _| {}).await;
            let link = self.add_link(stream);
            for id in self.claims.borrow().ids() {
                link.send(Message::Claim, id);
            }
            link.send(Message::Synchronized, &[]);
        }
    }

    fn add_link(self: &Rc<Self>, stream: UnixStream) -> Rc<Link> {
        let link = Rc::new(Link::new(stream));
        self.links.borrow_mut().push(Rc::clone(&link));
        let (claims, served) = (Rc::clone(self), Rc::clone(&link));
        // Messages are read, and unsent ones written, also while this process makes no claim.
        spawn_local(async move {
            while served.ready().await {
                claims.receive();
            }
        });
        link
    }

    /// Applies what the other processes have sent. Returns the ids that they have claimed.
    fn receive(&self) -> Vec<CorrelationId> {
        let mut claimed = Vec::new();
        let links = self.links.borrow().clone();
        for link in &links {
            for (message, id) in link.receive() {
                if message == Message::Claim {
                    claimed.push(Rc::clone(&id));
                }
                self.apply(message, &id, link);
            }
        }
        self.links.borrow_mut().retain(|link| !link.is_closed());
        claimed
    }

    /// Applies a message of another process, and passes it on: the processes of a chain of upgrades are connected in a row.
    fn apply(&self, message: Message, id: &CorrelationId, origin: &Rc<Link>) {
        let is_news = match message {
            Message::Claim => self.claims.borrow_mut().insert(id, Instant::now()),
            Message::Release => {
                let was_claimed = self.claims.borrow().contains(id);
                self.claims.borrow_mut().remove(id);
                was_claimed
            }
            Message::Synchronized => false,
        };
        if is_news {
            self.send(message, id, Some(origin));
        }
    }

    fn send(&self, message: Message, id: &[u8], except: Option<&Rc<Link>>) {
        let links = self.links.borrow();
        let receivers = links.iter().filter(|link| except.is_none_or(|except| !Rc::ptr_eq(link, except)));
        receivers.for_each(|link| link.send(message, id));
    }
}

impl RequestClaims for SharedClaims {
    fn is_claimed(&self, id: &[u8]) -> bool {
        self.receive();
        self.claims.borrow().contains(id)
    }

    fn claim(&self, id: &CorrelationId) -> bool {
        if self.is_claimed(id) {
            return false;
        }
        self.claims.borrow_mut().insert(id, Instant::now());
        self.send(Message::Claim, id, None);
        !self.receive().contains(id)
    }

    fn release(&self, id: &[u8]) {
        self.claims.borrow_mut().remove(id);
        self.send(Message::Release, id, None);
    }
}

#[cfg(test)]
mod tests;
