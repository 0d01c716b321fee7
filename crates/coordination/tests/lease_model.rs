//! A model of the lease protocol, explored exhaustively: two incarnations of one name, up to two changes of leader, two messages
//! in flight at a time, each lost or delayed by any time, holders that stop and restart, and clocks that run at two thirds or
//! four thirds of true time, chosen anew at every step. All times are remaining times, so that the state space is finite.

use heronhoist_coordination::lease::LeaseTerms;
use stateright::{Checker, Model, Property};

/// The duration of a lease on the leader's clock, in thirds of a step of true time.
const DURATION: u8 = 9;
/// The thirds by which a clock may advance in one step.
const RATES: [u8; 2] = [2, 4];
const MAX_MESSAGES: usize = 2;
const MAX_LEADERS: u8 = 2;

/// An injected fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The holder relies on the lease for as long as the leader counts it.
    NoMargin,
    /// The holder counts from the receipt of the grant.
    FromReceipt,
    /// A leader grants without confirmation that it still leads.
    Unconfirmed,
    /// A new leader does not count a whole lease from its election.
    NoNewTerm,
    /// A lease that is about to expire is renewed all the same.
    RenewedWhileEnding,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// On its way to the leader.
    Renewal,
    /// Received so long ago on the leader's clock by the leader of this number, which waits for confirmation.
    Received(u8, u8),
    /// On its way back to the holder.
    Grant,
}

/// A message of an incarnation, sent so long ago on its holder's clock.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    stage: Stage,
    of: usize,
    age: u8,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    /// The incarnation whose lease is counted as held, and its remaining time on the leader's clock.
    living: Option<usize>,
    remaining: u8,
    /// The leader has proposed to end the lease.
    ending: bool,
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
    Lose(usize),
    Arrive(usize, u8),
    Confirm(usize),
    Receive(usize),
    Restart(usize),
    ProposeEnd,
    End,
    Lead,
    Join,
}

struct LeaseModel(Fault);

impl LeaseModel {
    fn holder_duration(&self) -> u8 {
        match self.0 {
            Fault::NoMargin => DURATION,
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
            ending: false,
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
        for of in 0..state.joined {
            if state.messages.len() < MAX_MESSAGES {
                actions.push(Action::Send(of));
            }
            if state.held_for[of] > 0 {
                actions.push(Action::Restart(of));
            }
        }
        for (at, message) in state.messages.iter().enumerate() {
            actions.push(Action::Lose(at));
            match message.stage {
                // A deposed leader that does not know it receives messages too.
                Stage::Renewal => actions.extend((0..=state.leader).map(|leader| Action::Arrive(at, leader))),
                Stage::Received(..) => actions.push(Action::Confirm(at)),
                Stage::Grant => actions.push(Action::Receive(at)),
            }
        }
        if state.living.is_some() && state.remaining == 0 && !state.ending {
            actions.push(Action::ProposeEnd);
        }
        if state.ending {
            actions.push(Action::End);
        }
        if state.leader < MAX_LEADERS {
            actions.push(Action::Lead);
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
                    message.age += holders[message.of];
                    if let Stage::Received(received, _) = &mut message.stage {
                        *received = (*received + leader_rate).min(DURATION);
                    }
                }
                // So old a message has no effect any more, even on a holder that counts wrongly.
                next.messages.retain(|message| message.age < 2 * DURATION);
            }
            Action::Send(of) => next.messages.push(Message { stage: Stage::Renewal, of, age: 0 }),
            Action::Lose(at) => drop(next.messages.remove(at)),
            Action::Arrive(at, leader) => next.messages[at].stage = Stage::Received(0, leader),
            Action::Confirm(at) => {
                let Message { stage: Stage::Received(received, leader), of, .. } = next.messages[at] else {
                    return None;
                };
                let leads = leader == next.leader;
                if !(leads || self.0 == Fault::Unconfirmed) {
                    return None;
                }
                let ending = leads && next.ending && self.0 != Fault::RenewedWhileEnding;
                if (leads && next.living != Some(of)) || ending {
                    next.messages.remove(at);
                } else {
                    if leads {
                        next.remaining = next.remaining.max(DURATION - received);
                    }
                    next.messages[at].stage = Stage::Grant;
                }
            }
            Action::Receive(at) => {
                let Message { of, age, .. } = next.messages.remove(at);
                let age = if self.0 == Fault::FromReceipt { 0 } else { age };
                next.held_for[of] = next.held_for[of].max(self.holder_duration().saturating_sub(age));
            }
            Action::Restart(of) => next.held_for[of] = 0,
            Action::ProposeEnd => next.ending = true,
            Action::End => (next.living, next.ending, next.remaining) = (None, false, 0),
            Action::Lead => {
                next.leader += 1;
                // What the former leader proposed may be committed or not; here it is not.
                next.ending = false;
                next.remaining =
                    if self.0 == Fault::NoNewTerm || next.living.is_none() { 0 } else { DURATION };
            }
            Action::Join => (next.living, next.joined, next.remaining) = (Some(1), 2, DURATION),
        }
        next.messages.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody believes in what has ended", |_, state: &State| {
                (0..state.joined).all(|of| state.living == Some(of) || state.held_for[of] == 0)
            }),
            Property::always("never two that believe", |_, state: &State| state.held_for.contains(&0)),
            Property::sometimes("a second incarnation believes", |_, state: &State| state.held_for[1] > 0),
        ]
    }
}

#[test]
fn at_most_one_holder_acts_and_none_acts_on_an_expired_lease() {
    let checker = LeaseModel(Fault::Nothing).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    // Exhaustive: every reachable state was visited.
    assert!(checker.is_done() && checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn the_model_finds_each_injected_fault() {
    for fault in
        [Fault::NoMargin, Fault::FromReceipt, Fault::Unconfirmed, Fault::NoNewTerm, Fault::RenewedWhileEnding]
    {
        let checker = LeaseModel(fault).checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("nobody believes in what has ended");
        assert!(found.is_some(), "{fault:?} is not found");
    }
}
