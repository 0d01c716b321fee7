//! A model of the lease law, explored exhaustively: two incarnations of one name, up to two changes of leader, two messages
//! under way at a time, each lost or late by any time, holders that stop and restart, and clocks that run at two thirds
//! or four thirds of true time, each anew at every step. Times are what is left, so that no bound on the length is needed.

use heronhoist_coordination::lease::LeaseTerms;
use stateright::{Checker, Model, Property};

/// Of the council's clock, in thirds of a step of true time.
const TERM: u8 = 9;
/// What a clock may advance in a step of three thirds.
const RATES: [u8; 2] = [2, 4];
const MESSAGES_MOST: usize = 2;
const LEADERS_MOST: u8 = 2;

/// What is done wrongly on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// The holder believes for as long as the council counts.
    NoMargin,
    /// The holder counts from when the grant came.
    FromReceipt,
    /// A leader grants without asking whether it still leads.
    Unconfirmed,
    /// A new leader does not wait a whole term.
    NoNewTerm,
    /// A lease that is on its way out is renewed all the same.
    RenewedWhileEnding,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// On its way to the council.
    Renewal,
    /// It came so long ago by the council's clock, to the leader of this number, which asks whether it leads.
    Came(u8, u8),
    /// On its way back.
    Grant,
}

/// A message of an incarnation, asked so long ago by its holder's clock.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
struct Message {
    stage: Stage,
    of: usize,
    age: u8,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    /// The incarnation whose lease the council counts on, and what is left of it by the leader's clock.
    living: Option<usize>,
    left: u8,
    /// The leader has proposed that it has ended.
    ending: bool,
    joined: usize,
    leader: u8,
    /// What is left of each holder's belief.
    belief: [u8; 2],
    messages: Vec<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick(u8, [u8; 2]),
    Ask(usize),
    Lose(usize),
    Reach(usize, u8),
    Confirm(usize),
    Hear(usize),
    Restart(usize),
    ProposeEnd,
    End,
    Lead,
    Join,
}

struct Law(Planted);

impl Law {
    fn holder_term(&self) -> u8 {
        match self.0 {
            Planted::NoMargin => TERM,
            _ => LeaseTerms { duration: TERM.into(), max_clock_drift: 1.0 / 3.0 }.holder_duration() as u8,
        }
    }
}

impl Model for Law {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let (belief, messages) = ([0, 0], Vec::new());
        vec![State { living: Some(0), left: TERM, ending: false, joined: 1, leader: 0, belief, messages }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for council in RATES {
            for first in RATES {
                actions.extend(RATES.map(|second| Action::Tick(council, [first, second])));
            }
        }
        for of in 0..state.joined {
            if state.messages.len() < MESSAGES_MOST {
                actions.push(Action::Ask(of));
            }
            if state.belief[of] > 0 {
                actions.push(Action::Restart(of));
            }
        }
        for (at, message) in state.messages.iter().enumerate() {
            actions.push(Action::Lose(at));
            match message.stage {
                // A leader that was deposed and does not know it hears too.
                Stage::Renewal => actions.extend((0..=state.leader).map(|leader| Action::Reach(at, leader))),
                Stage::Came(..) => actions.push(Action::Confirm(at)),
                Stage::Grant => actions.push(Action::Hear(at)),
            }
        }
        if state.living.is_some() && state.left == 0 && !state.ending {
            actions.push(Action::ProposeEnd);
        }
        if state.ending {
            actions.push(Action::End);
        }
        if state.leader < LEADERS_MOST {
            actions.push(Action::Lead);
        }
        if state.living.is_none() && state.joined < 2 {
            actions.push(Action::Join);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick(council, holders) => {
                next.left = next.left.saturating_sub(council);
                for (belief, rate) in next.belief.iter_mut().zip(holders) {
                    *belief = belief.saturating_sub(rate);
                }
                for message in &mut next.messages {
                    message.age += holders[message.of];
                    if let Stage::Came(came, _) = &mut message.stage {
                        *came = (*came + council).min(TERM);
                    }
                }
                // One that is so old does nothing any more, even to a holder that counts wrongly.
                next.messages.retain(|message| message.age < 2 * TERM);
            }
            Action::Ask(of) => next.messages.push(Message { stage: Stage::Renewal, of, age: 0 }),
            Action::Lose(at) => drop(next.messages.remove(at)),
            Action::Reach(at, leader) => next.messages[at].stage = Stage::Came(0, leader),
            Action::Confirm(at) => {
                let Message { stage: Stage::Came(came, leader), of, .. } = next.messages[at] else {
                    return None;
                };
                let leads = leader == next.leader;
                if !(leads || self.0 == Planted::Unconfirmed) {
                    return None;
                }
                let ending = leads && next.ending && self.0 != Planted::RenewedWhileEnding;
                if (leads && next.living != Some(of)) || ending {
                    next.messages.remove(at);
                } else {
                    if leads {
                        next.left = next.left.max(TERM - came);
                    }
                    next.messages[at].stage = Stage::Grant;
                }
            }
            Action::Hear(at) => {
                let Message { of, age, .. } = next.messages.remove(at);
                let age = if self.0 == Planted::FromReceipt { 0 } else { age };
                next.belief[of] = next.belief[of].max(self.holder_term().saturating_sub(age));
            }
            Action::Restart(of) => next.belief[of] = 0,
            Action::ProposeEnd => next.ending = true,
            Action::End => (next.living, next.ending, next.left) = (None, false, 0),
            Action::Lead => {
                next.leader += 1;
                // What the one before it proposed may have been agreed or not; here it was not.
                next.ending = false;
                next.left = if self.0 == Planted::NoNewTerm || next.living.is_none() { 0 } else { TERM };
            }
            Action::Join => (next.living, next.joined, next.left) = (Some(1), 2, TERM),
        }
        next.messages.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody believes in what has ended", |_, state: &State| {
                (0..state.joined).all(|of| state.living == Some(of) || state.belief[of] == 0)
            }),
            Property::always("never two that believe", |_, state: &State| state.belief.contains(&0)),
            Property::sometimes("a second incarnation believes", |_, state: &State| state.belief[1] > 0),
        ]
    }
}

#[test]
fn no_two_believe_and_nobody_believes_in_what_has_ended() {
    let checker = Law(Planted::Nothing).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    // Exhaustive: all that can be reached was reached.
    assert!(checker.is_done() && checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn each_planted_fault_is_found() {
    for planted in [
        Planted::NoMargin,
        Planted::FromReceipt,
        Planted::Unconfirmed,
        Planted::NoNewTerm,
        Planted::RenewedWhileEnding,
    ] {
        let checker = Law(planted).checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("nobody believes in what has ended");
        assert!(found.is_some(), "{planted:?} is not found");
    }
}
