//! The way out where more was lost than is borne: what each member of the core holds, and founding the core anew from one
//! of those that are left.

use crate::hive::Hive;
use crate::operator::{ask, call, cell, table};
use eyre::{bail, ensure, eyre, WrapErr};
use lupinledge_consensus::{Ballot, Node};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

const CORE: &str = "/lupinledge/core";
/// Where the core is founded anew.
pub const FOUND: &str = "/lupinledge/core/found";
const COLUMNS: [&str; 9] =
    ["node", "cluster", "newest", "committed", "version", "promised", "members", "outgoing", "standing"];

/// `EPOCH.INDEX`, as operators read and write it.
pub fn state_name(ballot: Ballot) -> String {
    format!("{}.{}", ballot.epoch, ballot.index)
}

/// The state that was named so.
pub fn named_state(text: &str) -> Option<Ballot> {
    let (epoch, index) = text.split_once('.')?;
    Some(Ballot { epoch: epoch.parse().ok()?, index: index.parse().ok()? })
}

impl Hive {
    /// What this member of the core holds.
    pub fn core(&self) -> Value {
        let standing = self.agree.standing();
        let named = |nodes: &[Node]| -> Vec<String> {
            nodes.iter().map(|&node| Ipv4Addr::from(node).to_string()).collect()
        };
        let state = match () {
            _ if standing.learning => "learns",
            _ if self.agree.leads().is_some() => "leads",
            _ if standing.majority_reachable => "majority",
            _ => "alone",
        };
        json!({
            "node": Ipv4Addr::from(self.clock.me).to_string(), "cluster": format!("{:016x}", standing.cluster),
            "newest": state_name(standing.ballot), "committed": state_name(standing.committed),
            "version": self.agree.agreed().map_or(0, |agreed| agreed.document.version),
            "promised": standing.promised, "members": named(&standing.members),
            "outgoing": named(&standing.outgoing), "standing": state,
        })
    }

    /// Founds the core anew from what this member holds; the error says why not.
    ///
    /// The electorate of operations follows by the index of the value, which rises: from then on this member alone counts,
    /// and the incarnations of the others end, so that they learn before they count again. Keys that only others had
    /// granted are free again. Two old members that come back together may carry claims of gateways that know only the
    /// old electorate, until they hear of the new one.
    pub fn found_anew(&self, newest: Ballot) -> Result<(), String> {
        let founded = self.agree.found_anew(newest);
        match founded {
            Ok(()) => tracing::warn!(event = "founded_anew", newest = %state_name(newest)),
            Err(why) => tracing::warn!(event = "not_founded", fault = %why),
        }
        founded.map_err(|why| why.to_string())
    }
}

/// `core ADDRESS...`: what each member holds.
pub fn show(addresses: &[String]) -> eyre::Result<String> {
    ensure!(!addresses.is_empty(), "core: ADDRESS missing");
    let mut rows = vec![COLUMNS.map(String::from).to_vec()];
    for at in addresses {
        rows.push(match ask(at, CORE) {
            Ok(told) => COLUMNS.iter().map(|column| cell(&told[*column])).collect(),
            Err(fault) => vec![at.clone(), format!("{fault:#}")],
        });
    }
    Ok(table(&rows) + "\n")
}

/// `found EPOCH.INDEX ADDRESS [ADDRESS...]`: the first of these founds the core anew from that state, which must be the
/// newest of all that answer; the others are looked at alone.
pub fn found(arguments: &[String]) -> eyre::Result<String> {
    let [newest, founder, others @ ..] = arguments else {
        bail!("found: EPOCH.INDEX and ADDRESS are needed")
    };
    let named = named_state(newest).ok_or_else(|| eyre!("found: `{newest}` is no EPOCH.INDEX"))?;
    let told = ask(founder, CORE)?;
    let state = |told: &Value| told["newest"].as_str().and_then(named_state).unwrap_or_default();
    ensure!(state(&told) == named, "{founder}: its newest state is {}", cell(&told["newest"]));
    let answering: Vec<Value> = others.iter().filter_map(|at| ask(at, CORE).ok()).collect();
    let mut voters = vec![told["node"].clone()];
    for other in answering.iter().filter(|other| other["standing"] != "learns") {
        let newer = state(other) > named;
        ensure!(!newer, "{} holds a newer state, {}", cell(&other["node"]), cell(&other["newest"]));
        voters.push(other["node"].clone());
    }
    let majority = |part: &str| {
        let members = told[part].as_array().map_or(&[][..], Vec::as_slice);
        let left = members.iter().filter(|member| voters.contains(member)).count();
        (members.is_empty(), 2 * left > members.len())
    };
    let ((_, new), (settled, old)) = (majority("members"), majority("outgoing"));
    ensure!(!(new && (settled || old)), "a majority of the members can still answer");
    let (status, body) = call(founder, "POST", &format!("{FOUND}?newest={newest}"))?;
    ensure!(status == 200, "{founder}: {status} {body}");
    let at = founder.parse::<SocketAddr>().wrap_err("ADDRESS")?;
    Ok(format!("founded anew from {newest} at {at}\n"))
}
