//! The engine: what lies between a front, which owes its clients exactly one final answer a request, and the servers
//! that a decision module chooses. It knows time and tasks and no protocol.
//!
//! A [`Pool`] is one fleet of servers with one decision module, one [`Upstream`] that speaks to them and one
//! [`Membership`] that says which they are. A front hands an [`Exchange`] to [`Pool::submit`] and awaits
//! [`Owed::answer`]; whatever it drops unanswered is told to the module as gone. Where there are several pools in a
//! process, [`Quota`] shares what the process may hold, so that one fleet that hangs can't starve the others.
//!
//! All of it runs on one thread, in a [`tokio::task::LocalSet`].

mod clock;
mod drains;
mod membership;
mod pool;
mod quota;
mod servers;
mod start_times;
pub mod timing;
mod upstream;

pub use drains::Drainable;
pub use membership::{Feed, Fixed, Heard, List, Member, Membership, State};
pub use pool::{Declined, Exchange, Final, Levels, Owed, Pool, Setup, ANSWER_RESERVE};
pub use quota::{Part, Portion, Quota};
pub use servers::{ServerNames, SERVERS_MOST};
pub use upstream::{Arriving, Coming, Ended, Gate, Payload, Place, Upstream};
