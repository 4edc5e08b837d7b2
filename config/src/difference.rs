//! What differs between two tables, by name, for those who read the log.

use crate::{Part, Route, Tables};
use std::collections::BTreeSet;

/// So many names tell what differs.
const NAMED: usize = 8;

impl Tables {
    /// Names of what differs from other tables, the first few of a part.
    pub fn differing_names(&self, other: &Tables, part: Part) -> Vec<String> {
        let differing = |own: Vec<(String, String)>, others: Vec<(String, String)>| {
            let one =
                own.iter().filter(|o| !others.contains(o)).chain(others.iter().filter(|o| !own.contains(o)));
            let mut names: Vec<String> = one.map(|o| o.0.clone()).collect();
            names.sort();
            names.dedup();
            names.truncate(NAMED);
            names
        };
        let of = |t: &Tables| -> Vec<(String, String)> {
            match part {
                Part::Routes => t.by_host().flat_map(|(h, list)| t.routes_of(h, list)).collect(),
                Part::Tenants => {
                    let keys = |i| t.keys().filter(move |k| k.1 == i).map(|k| k.0).collect::<BTreeSet<_>>();
                    let rows = t.tenants().iter().enumerate();
                    rows.map(|(i, x)| (x.name.clone(), format!("{x:?} {:?}", keys(i)))).collect()
                }
                Part::Clusters => t.services().iter().map(|s| (s.name.clone(), format!("{s:?}"))).collect(),
                Part::Evacuations => t.evacuations().map(|z| (z.to_string(), String::new())).collect(),
                Part::Limits => vec![("limits".into(), format!("{:?}", t.limits()))],
            }
        };
        differing(of(self), of(other))
    }

    fn routes_of<'a>(
        &'a self,
        host: &'a str,
        list: &'a [usize],
    ) -> impl Iterator<Item = (String, String)> + 'a {
        let service = |i: usize| self.services().get(i).map(|s| s.name.as_str());
        list.iter().filter_map(|&i| self.routes().get(i)).map(move |r| {
            let to: Vec<_> = r.services.iter().map(|&(i, w)| (service(i), w)).collect();
            let bare = Route { services: Vec::new(), ..r.clone() };
            (r.name.clone(), format!("{host} {to:?} {bare:?}"))
        })
    }
}
