//! The operations of clients on records, in simulated and in real mode.

use super::checker::Op;
use rand::Rng;

/// The maximum number of operations on one record. It bounds the work of the linearizability check.
const MAX_OPERATIONS_PER_KEY: usize = 24;

/// The keys of the records in use. Each is replaced by a new one after its maximum number of operations. The number of keys grows
/// with the number of clients.
#[derive(Debug, Default)]
pub struct Keys {
    active: Vec<(String, usize)>,
    created: usize,
}

impl Keys {
    /// Returns the key of the record for the next operation.
    pub fn draw(&mut self, clients: usize, rng: &mut impl Rng) -> String {
        while self.active.len() < clients.div_ceil(2).max(4) {
            self.created += 1;
            self.active.push((format!("note/{:05}", self.created), 0));
        }
        let index = rng.random_range(0..self.active.len());
        self.active[index].1 += 1;
        let key = self.active[index].0.clone();
        if self.active[index].1 >= MAX_OPERATIONS_PER_KEY {
            self.active.swap_remove(index);
        }
        key
    }
}

impl Op {
    /// Returns an operation for a client that last read `last_seen` from the record and may write `new_value`.
    pub fn draw(random: f64, last_seen: Option<u64>, new_value: u64) -> Op {
        match random {
            r if r < 0.4 => Op::Read(None),
            r if r < 0.75 => Op::Swap(last_seen, new_value, true),
            _ => Op::Put(new_value),
        }
    }

    /// Returns the same operation with an unknown outcome.
    pub fn unknown(self) -> Op {
        match self {
            Op::Put(new_value) => Op::MaybePut(new_value),
            Op::Swap(old, new_value, _) => Op::MaybeSwap(old, new_value),
            other => other,
        }
    }
}
