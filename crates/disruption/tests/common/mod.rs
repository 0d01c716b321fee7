//! Helpers shared by the tests of this package: the state of the coordination service, without processes or sockets.

use heronhoist_coordination::state::{ClusterId, Command, CommandRequest, CommandResult, Peer, State, Txn};
use heronhoist_coordination::wire::View;
use heronhoist_coordination::Limits;
use std::collections::BTreeMap;

/// The replicated state of a coordination service.
#[derive(Clone)]
pub struct Coordination(pub State);

impl Coordination {
    pub fn new() -> Coordination {
        Coordination(State::new(ClusterId(1), BTreeMap::<u64, Peer>::new()))
    }

    pub fn apply(&mut self, command: Command) -> CommandResult {
        self.0.apply(&CommandRequest { session: None, command }, &Limits::default())
    }

    /// Adds a member that is at this site and ready, and returns its incarnation.
    pub fn join(&mut self, name: &str, site: &str) -> u64 {
        let nonce = self.0.revision + 1;
        let [site, version, address] = [site, "1", ""].map(String::from);
        let previous_incarnation = self.0.members.get(name).map_or(0, |member| member.incarnation);
        let join = Command::Join { name: name.into(), nonce, previous_incarnation, site, version, address };
        let incarnation = match self.apply(join) {
            CommandResult::Joined { incarnation } => incarnation,
            other => panic!("{other:?}"),
        };
        self.apply(Command::Report { name: name.into(), incarnation, number: 1, ready: true });
        incarnation
    }

    /// Executes a transaction whose checks must pass.
    pub fn commit(&mut self, transaction: Txn) {
        let result = self.apply(Command::Write(transaction));
        assert!(matches!(result, CommandResult::Done(_)), "{result:?}");
    }

    pub fn view(&self) -> View {
        let State { cluster_id, revision, peers, members, records, .. } = self.0.clone();
        View { cluster_id, revision, max_staleness: Some(0), peers, members, records }
    }
}
