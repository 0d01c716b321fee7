//! A model of the lease protocol, explored exhaustively: two incarnations of one name, up to two changes of leader, two
//! messages in flight at a time, each lost or delayed by any time, holders that stop and restart, and clocks that run at two
//! thirds or four thirds of real time, chosen again at every step. All times are remaining times, so that the state space is
//! finite.

use heronhoist_coordination::lease::LeaseTerms;
use stateright::{Checker, Model, Property};

/// The duration of a lease on the leader's clock, in thirds of a step of real time.
const DURATION: u8 = 9;
/// The numbers of thirds by which a clock may advance in one step.
const RATES: [u8; 2] = [2, 4];
const MAX_MESSAGES: usize = 2;
const MAX_LEADERS: u8 = 2;

/// An injected fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    NotInjected,
    /// The holder relies on the lease for the leader's full duration.
    NoDriftMargin,
    /// The duration counts for the holder from the receipt of the grant.
    CountedFromReceipt,
    /// A leader grants without confirmation that it still leads.
    UnconfirmedGrant,
    /// A new leader does not count a full lease from its election.
    NoLeaseFromElection,
    /// A lease is renewed although its expiry has been proposed.
    RenewedAfterProposal,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
enum MessageState {
    /// A renewal on its way to the leader.
    Renewal,
    /// A renewal that waits for confirmation: the time since its receipt on the leader's clock, and the number of the leader
    /// that received it.
    Received(u8, u8),
    /// A grant on its way to the holder.
    Grant,
}

/// A message of an incarnation. Its age is the time on the holder's clock since the renewal was sent.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    state: MessageState,
    incarnation: usize,
    age: u8,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    /// The incarnation whose lease is held according to the leader, and its remaining time on the leader's clock.
    living: Option<usize>,
    remaining: u8,
    /// Whether the leader has proposed the expiry of the lease.
    expiry_proposed: bool,
    joined: usize,
    leader: u8,
    /// The remaining time for which each holder relies on its lease.
    held_for: [u8; 2],
    messages: Vec<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick(u8, [u8; 2]),
    Send(usize),
    Drop(usize),
    ArriveAtLeader(usize, u8),
    Confirm(usize),
    ArriveAtHolder(usize),
    Restart(usize),
    ProposeExpiry,
    Expire,
    ElectLeader,
    Join,
}

struct LeaseModel(Fault);

impl LeaseModel {
    fn holder_duration(&self) -> u8 {
        match self.0 {
            Fault::NoDriftMargin => DURATION,
            _ => LeaseTerms { duration: DURATION.into(), max_clock_drift: 1.0 / 3.0 }.holder_duration() as u8,
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let (held_for, messages) = ([0, 0], Vec::new());
        vec![State {
            living: Some(0),
            remaining: DURATION,
            expiry_proposed: false,
            joined: 1,
            leader: 0,
            held_for,
            messages,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for leader_rate in RATES {
            for first in RATES {
                actions.extend(RATES.map(|second| Action::Tick(leader_rate, [first, second])));
            }
        }
        for incarnation in 0..state.joined {
            if state.messages.len() < MAX_MESSAGES {
                actions.push(Action::Send(incarnation));
            }
            if state.held_for[incarnation] > 0 {
                actions.push(Action::Restart(incarnation));
            }
        }
        for (index, message) in state.messages.iter().enumerate() {
            actions.push(Action::Drop(index));
            match message.state {
                // A former leader that does not know of its replacement also receives messages.
                MessageState::Renewal => {
                    actions.extend((0..=state.leader).map(|leader| Action::ArriveAtLeader(index, leader)));
                }
                MessageState::Received(..) => actions.push(Action::Confirm(index)),
                MessageState::Grant => actions.push(Action::ArriveAtHolder(index)),
            }
        }
        if state.living.is_some() && state.remaining == 0 && !state.expiry_proposed {
            actions.push(Action::ProposeExpiry);
        }
        if state.expiry_proposed {
            actions.push(Action::Expire);
        }
        if state.leader < MAX_LEADERS {
            actions.push(Action::ElectLeader);
        }
        if state.living.is_none() && state.joined < 2 {
            actions.push(Action::Join);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick(leader_rate, holders) => {
                next.remaining = next.remaining.saturating_sub(leader_rate);
                for (held_for, rate) in next.held_for.iter_mut().zip(holders) {
                    *held_for = held_for.saturating_sub(rate);
                }
                for message in &mut next.messages {
                    message.age += holders[message.incarnation];
                    if let MessageState::Received(received, _) = &mut message.state {
                        *received = (*received + leader_rate).min(DURATION);
                    }
                }
                // Messages of this age have no effect any more, even with an injected fault in the holder.
                next.messages.retain(|message| message.age < 2 * DURATION);
            }
            Action::Send(incarnation) => {
                next.messages.push(Message { state: MessageState::Renewal, incarnation, age: 0 });
            }
            Action::Drop(index) => drop(next.messages.remove(index)),
            Action::ArriveAtLeader(index, leader) => {
                next.messages[index].state = MessageState::Received(0, leader);
            }
            Action::Confirm(index) => {
                let Message { state: MessageState::Received(received, leader), incarnation, .. } =
                    next.messages[index]
                else {
                    return None;
                };
                let leads = leader == next.leader;
                if !(leads || self.0 == Fault::UnconfirmedGrant) {
                    return None;
                }
                let is_ending = leads && next.expiry_proposed && self.0 != Fault::RenewedAfterProposal;
                if (leads && next.living != Some(incarnation)) || is_ending {
                    next.messages.remove(index);
                } else {
                    if leads {
                        next.remaining = next.remaining.max(DURATION - received);
                    }
                    next.messages[index].state = MessageState::Grant;
                }
            }
            Action::ArriveAtHolder(index) => {
                let Message { incarnation, age, .. } = next.messages.remove(index);
                let age = if self.0 == Fault::CountedFromReceipt { 0 } else { age };
                next.held_for[incarnation] =
                    next.held_for[incarnation].max(self.holder_duration().saturating_sub(age));
            }
            Action::Restart(incarnation) => next.held_for[incarnation] = 0,
            Action::ProposeExpiry => next.expiry_proposed = true,
            Action::Expire => (next.living, next.expiry_proposed, next.remaining) = (None, false, 0),
            Action::ElectLeader => {
                next.leader += 1;
                // A proposal of the former leader may be committed or not; here it is not.
                next.expiry_proposed = false;
                next.remaining =
                    if self.0 == Fault::NoLeaseFromElection || next.living.is_none() { 0 } else { DURATION };
            }
            Action::Join => (next.living, next.joined, next.remaining) = (Some(1), 2, DURATION),
        }
        next.messages.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no holder relies on a lease that has ended", |_, state: &State| {
                (0..state.joined)
                    .all(|incarnation| state.living == Some(incarnation) || state.held_for[incarnation] == 0)
            }),
            Property::always("at most one holder relies on its lease", |_, state: &State| {
                state.held_for.contains(&0)
            }),
            Property::sometimes("the second incarnation relies on its lease", |_, state: &State| {
                state.held_for[1] > 0
            }),
        ]
    }
}

#[test]
fn at_most_one_holder_acts_and_none_acts_on_an_expired_lease() {
    let checker = LeaseModel(Fault::NotInjected).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    // Exhaustive: every reachable state was visited.
    assert!(checker.is_done() && checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn the_model_finds_each_injected_fault() {
    for fault in [
        Fault::NoDriftMargin,
        Fault::CountedFromReceipt,
        Fault::UnconfirmedGrant,
        Fault::NoLeaseFromElection,
        Fault::RenewedAfterProposal,
    ] {
        let checker = LeaseModel(fault).checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("no holder relies on a lease that has ended");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
