//! The newest of each kind of news, as this process holds it.

use lupinledge_queen::Stamp;
use lupinledge_waggle::Digest;
use lupinledge_wax::{Node, Word};
use serde_bytes::ByteBuf;
use std::rc::Rc;

/// Epoch of a list's reader, and its number in that epoch.
pub type Number = (u64, u64);

/// News by kind; a kind that is not there says nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// The duty's epoch, and who holds it.
    pub epoch: Option<(u64, Node)>,
    /// The committed document's stamp, and its bytes.
    pub state: Option<(Stamp, Rc<[u8]>)>,
    /// The list of servers: epoch and number, and its bytes.
    pub list: Option<(Number, Rc<[u8]>)>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Held {
    takes_state: bool,
    newest: News,
}

impl Held {
    /// Nothing yet.
    pub fn new(takes_state: bool) -> Held {
        Held { takes_state, newest: News::default() }
    }

    /// The duty's epoch and its holder, as far as heard.
    pub fn epoch(&self) -> (u64, Node) {
        self.newest.epoch.unwrap_or_default()
    }

    /// The newest of each kind.
    pub fn newest(&self) -> &News {
        &self.newest
    }

    /// In short.
    pub fn digest(&self) -> Digest {
        let (epoch, holder) = self.epoch();
        let state = self.newest.state.as_ref().map_or((0, 0), |s| (s.0.epoch, s.0.index));
        Digest { epoch, holder, state, list: self.newest.list.as_ref().map_or((0, 0), |l| l.0) }
    }

    /// Whether a peer with that digest has something to ask for.
    pub fn lacks(&self, digest: &Digest) -> bool {
        let own = self.digest();
        self.takes_state && digest.state > own.state || digest.list > own.list
    }

    /// Keeps what is newer and returns it; `own`: it was settled here, not heard.
    pub fn take(&mut self, own: bool, news: News) -> Option<News> {
        let mut fresh = News::default();
        if news.epoch.is_some_and(|e| e > self.epoch()) {
            (self.newest.epoch, fresh.epoch) = (news.epoch, news.epoch);
        }
        let newer = |s: &(Stamp, Rc<[u8]>)| self.newest.state.as_ref().is_none_or(|o| s.0 > o.0);
        if let Some(s) = news.state.filter(|s| (own || self.takes_state) && newer(s)) {
            (self.newest.state, fresh.state) = (Some(s.clone()), Some(s));
        }
        let newer = |l: &(Number, Rc<[u8]>)| self.newest.list.as_ref().is_none_or(|o| l.0 > o.0);
        if let Some(l) = news.list.filter(newer) {
            (self.newest.list, fresh.list) = (Some(l.clone()), Some(l));
        }
        (fresh != News::default()).then_some(fresh)
    }

    /// As a word to others.
    pub fn word(&self, news: &News) -> Word {
        let bytes = |b: &Rc<[u8]>| ByteBuf::from(b.to_vec());
        Word::News {
            digest: self.digest(),
            state: news.state.as_ref().map(|(n, b)| (*n, bytes(b))),
            list: news.list.as_ref().map(|(n, b)| (*n, bytes(b))),
            roll: Vec::new(),
        }
    }

    /// What one with that digest lacks, if anything.
    pub fn beyond(&self, digest: &Digest) -> Option<Word> {
        let news = News {
            epoch: None,
            state: self.newest.state.clone().filter(|s| (s.0.epoch, s.0.index) > digest.state),
            list: self.newest.list.clone().filter(|l| l.0 > digest.list),
        };
        (news != News::default()).then(|| self.word(&news))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(n: u64) -> News {
        News { state: Some((Stamp { epoch: 1, index: n }, Rc::from([n as u8]))), ..News::default() }
    }

    /// What is older changes nothing, in whatever order news come, and a core member takes documents from the
    /// agreement alone.
    #[test]
    fn never_back() {
        let mut held = Held::new(true);
        assert_eq!(held.take(false, state(2)), Some(state(2)));
        assert_eq!((held.take(false, state(2)), held.take(false, state(1))), (None, None));
        let mut core = Held::new(false);
        assert_eq!(core.take(false, state(2)), None);
        assert!(!core.lacks(&held.digest()));
        assert_eq!(core.take(true, state(1)), Some(state(1)));
        assert!(held.beyond(&core.digest()).is_some() && core.beyond(&held.digest()).is_none());
    }
}
