//! Who counts: the holder admits and strikes, one change at a time, carried by the old and the new roll.

use crate::{Msg, Node, Out, Queen, Role, Value, FRESH, ROLL_MOST};

/// A member unheard for so long is lost.
const SILENT: f64 = 5.0;
const JOIN: f64 = 0.4;
const JOINERS_MOST: usize = 8;
/// A joiner unheard for so long is forgotten.
const JOINER: f64 = 1.5;
/// No roll of so few is made smaller.
const ROLL_LEAST: usize = 3;

impl Queen {
    /// Asks to be admitted while not in the roll, with what was learnt on disk.
    pub(crate) fn join_tick(&mut self, out: &mut Vec<Out>) {
        if self.member() || self.now < self.next_join || !self.disk.idle() {
            return;
        }
        self.next_join = self.now + JOIN;
        for node in self.known() {
            out.push(Out::Send(node, Msg::Join));
        }
    }

    /// The holder notes the joiner; others tell it what is committed, so that it learns whom to ask.
    pub(crate) fn on_join(&mut self, from: Node, out: &mut Vec<Out>) {
        if !matches!(self.role, Role::Holding(_)) {
            let holder = self.holder(self.now).map_or(0, |(node, _)| node);
            let (promised, commit) = (self.disk.mem.promised, self.commit_stamp());
            out.push(Out::Send(from, Msg::AskNo { n: 0, promised, holder, commit }));
        } else if self.joiners.contains_key(&from) || self.joiners.len() < JOINERS_MOST {
            self.joiners.insert(from, self.now);
        }
    }

    /// Begins or ends a change of the roll, if nothing is on its way.
    pub(crate) fn change_roll(&mut self, out: &mut Vec<Out>) {
        let Role::Holding(holding) = &self.role else { return };
        let (now, since) = (self.now, holding.since);
        let value = self.disk.mem.value.clone();
        self.joiners.retain(|node, at| now - *at <= JOINER && !value.roll.contains(node));
        let Role::Holding(holding) = &self.role else { return };
        if !holding.won || holding.in_flight() {
            return;
        }
        if !value.old.is_empty() {
            let done = Value { old: Vec::new(), ..Value::clone(&value) };
            return self.launch_next(None, done, out);
        }
        let quiet = |node: Node| match self.heard.get(&node) {
            _ if node == self.me => 0.0,
            Some(at) => now - at.max(since),
            None => now - since,
        };
        let silent = value
            .roll
            .iter()
            .copied()
            .filter(|&m| quiet(m) > SILENT)
            .max_by(|a, b| quiet(*a).total_cmp(&quiet(*b)));
        let joiner = self.joiners.keys().next().copied();
        let calm = value.roll.iter().all(|&m| quiet(m) <= FRESH);
        let mut roll = value.roll.clone();
        match (joiner, silent) {
            (Some(joiner), Some(silent)) => {
                roll.retain(|&m| m != silent);
                roll.push(joiner);
            }
            (Some(joiner), None) if calm && roll.len() < ROLL_MOST => roll.push(joiner),
            // An even roll bears no more losses than one with a member less.
            (None, Some(silent))
                if roll.len().is_multiple_of(2) && roll.len() > self.seeds.len().max(ROLL_LEAST) =>
            {
                roll.retain(|&m| m != silent);
            }
            _ => return,
        }
        roll.sort_unstable();
        let next = Value { roll, old: value.roll.clone(), body: value.body.clone() };
        if next.carried(|m| Some(m) == joiner || quiet(m) <= FRESH) {
            self.launch_next(None, next, out);
        }
    }
}
