//! What clients do to records, in both modes.

use super::checker::Op;
use rand::Rng;

/// Operations on one record, so that the checker's work stays small.
const OPS_A_KEY: usize = 24;

/// The records that are worked on; each makes room for a new one in time. There are more of them where there are many clients.
#[derive(Debug, Default)]
pub struct Keys {
    hot: Vec<(String, usize)>,
    made: usize,
}

impl Keys {
    /// The record of the next operation.
    pub fn draw(&mut self, clients: usize, rng: &mut impl Rng) -> String {
        while self.hot.len() < clients.div_ceil(2).max(4) {
            self.made += 1;
            self.hot.push((format!("note/{:05}", self.made), 0));
        }
        let place = rng.random_range(0..self.hot.len());
        self.hot[place].1 += 1;
        let key = self.hot[place].0.clone();
        if self.hot[place].1 >= OPS_A_KEY {
            self.hot.swap_remove(place);
        }
        key
    }
}

impl Op {
    /// An operation of a client that last saw this value, and would write that new one.
    pub fn draw(roll: f64, seen: Option<u64>, new: u64) -> Op {
        match roll {
            r if r < 0.4 => Op::Read(None),
            r if r < 0.75 => Op::Swap(seen, new, true),
            _ => Op::Put(new),
        }
    }

    /// The same, if nobody knows what came of it.
    pub fn unknown(self) -> Op {
        match self {
            Op::Put(new) => Op::MaybePut(new),
            Op::Swap(old, new, _) => Op::MaybeSwap(old, new),
            other => other,
        }
    }
}
