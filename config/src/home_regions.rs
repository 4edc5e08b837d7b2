//! The regions that may serve every route of a host. The directory uses them to choose a region for a client before the
//! route of its requests is known.

use crate::host::normalized_host;
use crate::{Config, Document};
use std::collections::{BTreeSet, HashMap};

/// Home regions by host, see the module. Those of tenants are not included, since the directory doesn't know which
/// tenant a client belongs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeRegions {
    by_host: HashMap<String, BTreeSet<String>>,
}

impl HomeRegions {
    /// Collects the home regions from the document's configuration; empty if it has none.
    pub fn new(document: &Document) -> HomeRegions {
        let config = document.config.as_deref().and_then(|body| Config::parse(body).ok());
        let mut by_host: HashMap<String, BTreeSet<String>> = HashMap::new();
        for listener in config.into_iter().flat_map(|config| config.listeners) {
            let host = normalized_host(&listener.host);
            let regions_by_rule = listener.rules.into_iter().map(|rule| rule.action.home_regions);
            for regions in regions_by_rule.filter(|regions| !regions.is_empty()) {
                let regions: BTreeSet<String> = regions.into_iter().collect();
                by_host
                    .entry(host.clone())
                    .and_modify(|common| common.retain(|r| regions.contains(r)))
                    .or_insert(regions);
            }
        }
        HomeRegions { by_host }
    }

    /// The regions that may serve every route of the host; `None` if no route restricts its regions. The host is the
    /// header of a request; port and letter case are ignored.
    pub fn for_host(&self, host: &str) -> Option<&BTreeSet<String>> {
        self.by_host.get(&normalized_host(host))
    }
}
