//! Names of the entries that differ between two tables, for the log.

use crate::{Part, Route, Tables};
use std::collections::BTreeSet;

/// The most names that are reported.
const MAX_NAMES: usize = 8;

impl Tables {
    /// Names of the entries of a part that differ from other tables, sorted; only the first few.
    pub fn differing_names(&self, other: &Tables, part: Part) -> Vec<String> {
        let differing = |own: Vec<(String, String)>, others: Vec<(String, String)>| {
            let only_in_one =
                own.iter().filter(|e| !others.contains(e)).chain(others.iter().filter(|e| !own.contains(e)));
            let mut names: Vec<String> = only_in_one.map(|entry| entry.0.clone()).collect();
            names.sort();
            names.dedup();
            names.truncate(MAX_NAMES);
            names
        };
        let entries = |t: &Tables| -> Vec<(String, String)> {
            match part {
                Part::Routes => t.by_host().flat_map(|(h, list)| t.route_entries(h, list)).collect(),
                Part::Tenants => {
                    let keys = |i| t.keys().filter(move |k| k.1 == i).map(|k| k.0).collect::<BTreeSet<_>>();
                    let tenants = t.tenants().iter().enumerate();
                    tenants
                        .map(|(i, tenant)| (tenant.name.clone(), format!("{tenant:?} {:?}", keys(i))))
                        .collect()
                }
                Part::Clusters => t.services().iter().map(|s| (s.name.clone(), format!("{s:?}"))).collect(),
                Part::Evacuations => t.evacuations().map(|z| (z.to_string(), String::new())).collect(),
                Part::Limits => vec![("limits".into(), format!("{:?}", t.limits()))],
            }
        };
        differing(entries(self), entries(other))
    }

    /// The routes of a host, each with its name and its whole content as text.
    fn route_entries<'a>(
        &'a self,
        host: &'a str,
        list: &'a [usize],
    ) -> impl Iterator<Item = (String, String)> + 'a {
        let service_name = |i: usize| self.services().get(i).map(|s| s.name.as_str());
        list.iter().filter_map(|&i| self.routes().get(i)).map(move |r| {
            let services: Vec<_> = r.services.iter().map(|&(i, w)| (service_name(i), w)).collect();
            let without_services = Route { services: Vec::new(), ..r.clone() };
            (r.name.clone(), format!("{host} {services:?} {without_services:?}"))
        })
    }
}
