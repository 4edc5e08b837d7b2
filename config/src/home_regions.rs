//! Which regions are homes to all that a host serves, for those who send clients somewhere before a route is known.

use crate::host::normalized_host;
use crate::{Config, Document};
use std::collections::{BTreeSet, HashMap};

/// By host; see the module. HomeRegions of tenants are not in it: who sends clients doesn't know them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeRegions {
    by_host: HashMap<String, BTreeSet<String>>,
}

impl HomeRegions {
    /// Of the document's configuration; none where it has none.
    pub fn new(document: &Document) -> HomeRegions {
        let config = document.config.as_deref().and_then(|body| Config::parse(body).ok());
        let mut by_host: HashMap<String, BTreeSet<String>> = HashMap::new();
        for listener in config.into_iter().flat_map(|config| config.listeners) {
            let host = normalized_host(&listener.host);
            let homes = listener.rules.into_iter().map(|rule| rule.action.home_regions);
            for homes in homes.filter(|homes| !homes.is_empty()) {
                let homes: BTreeSet<String> = homes.into_iter().collect();
                by_host
                    .entry(host.clone())
                    .and_modify(|all| all.retain(|r| homes.contains(r)))
                    .or_insert(homes);
            }
        }
        HomeRegions { by_host }
    }

    /// The regions that are homes of all routes of the host that have homes; `None` if no route of it has. The host is
    /// taken as in a request's header: a port and the size of letters say nothing.
    pub fn for_host(&self, host: &str) -> Option<&BTreeSet<String>> {
        self.by_host.get(&normalized_host(host))
    }
}
