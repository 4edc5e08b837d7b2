//! Disaster recovery after a permanent loss of the majority: shows the state of each core member, and forms a new core
//! from one of the remaining members.

use crate::control_plane::ControlPlane;
use crate::operator_client::{call, format_cell, format_table, get_json};
use eyre::{bail, ensure, eyre, WrapErr};
use lupinledge_consensus::{Ballot, Node};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

/// Path for the state of a member.
const CORE_PATH: &str = "/lupinledge/core";
/// Path for forming a new core.
pub const FOUND_PATH: &str = "/lupinledge/core/found";
/// Columns of the `core` command.
const COLUMNS: [&str; 9] =
    ["node", "cluster", "newest", "committed", "version", "promised", "members", "outgoing", "standing"];

/// A state as `EPOCH.INDEX`, the form that operators read and write.
pub fn format_state(ballot: Ballot) -> String {
    format!("{}.{}", ballot.epoch, ballot.index)
}

/// Parses `EPOCH.INDEX`.
pub fn parse_state(text: &str) -> Option<Ballot> {
    let (epoch, index) = text.split_once('.')?;
    Some(Ballot { epoch: epoch.parse().ok()?, index: index.parse().ok()? })
}

impl ControlPlane {
    /// The state of this core member, as JSON.
    pub fn core_status(&self) -> Value {
        let status = self.consensus.status();
        let addresses = |nodes: &[Node]| -> Vec<String> {
            nodes.iter().map(|&node| Ipv4Addr::from(node).to_string()).collect()
        };
        let state = match () {
            _ if status.learning => "learns",
            _ if self.consensus.leading_epoch().is_some() => "leads",
            _ if status.majority_reachable => "majority",
            _ => "alone",
        };
        json!({
            "node": Ipv4Addr::from(self.clock.node).to_string(), "cluster": format!("{:016x}", status.cluster),
            "newest": format_state(status.ballot), "committed": format_state(status.committed),
            "version": self.consensus.committed_document().map_or(0, |committed_document| committed_document.document.version),
            "promised": status.promised, "members": addresses(&status.members),
            "outgoing": addresses(&status.outgoing), "standing": state,
        })
    }

    /// Forms a new core from the state of this member; the error gives the reason if that is refused.
    ///
    /// The electorate for operation keys follows through the index of the committed value, which increases: this member
    /// is then the only voter, and the incarnations of the other members end, so that they learn before they vote
    /// again. Keys that only other members had granted are free again. Two old members that return together may grant
    /// claims of gateways that have only the old electorate, until they receive the new one.
    pub fn force_new_cluster(&self, newest: Ballot) -> Result<(), String> {
        let result = self.consensus.force_new_cluster(newest);
        match result {
            Ok(()) => tracing::warn!(event = "founded_anew", newest = %format_state(newest)),
            Err(error) => tracing::warn!(event = "not_founded", fault = %error),
        }
        result.map_err(|error| error.to_string())
    }
}

/// `core ADDRESS...`: prints the state of each member.
pub fn core_command(addresses: &[String]) -> eyre::Result<String> {
    ensure!(!addresses.is_empty(), "core: ADDRESS missing");
    let mut rows = vec![COLUMNS.map(String::from).to_vec()];
    for at in addresses {
        rows.push(match get_json(at, CORE_PATH) {
            Ok(answer) => COLUMNS.iter().map(|column| format_cell(&answer[*column])).collect(),
            Err(error) => vec![at.clone(), format!("{error:#}")],
        });
    }
    Ok(format_table(&rows) + "\n")
}

/// `found EPOCH.INDEX ADDRESS [ADDRESS...]`: forms a new core from that state at the first address. The state must be
/// the newest of all members that answer; the other addresses are only queried.
pub fn found_command(arguments: &[String]) -> eyre::Result<String> {
    let [newest, founder, others @ ..] = arguments else {
        bail!("found: EPOCH.INDEX and ADDRESS are needed")
    };
    let named_state =
        parse_state(newest).ok_or_else(|| eyre!("found: `{newest}` is not of the form EPOCH.INDEX"))?;
    let answer = get_json(founder, CORE_PATH)?;
    let state = |answer: &Value| answer["newest"].as_str().and_then(parse_state).unwrap_or_default();
    ensure!(
        state(&answer) == named_state,
        "{founder}: its newest state is {}",
        format_cell(&answer["newest"])
    );
    let answering: Vec<Value> = others.iter().filter_map(|at| get_json(at, CORE_PATH).ok()).collect();
    let mut voters = vec![answer["node"].clone()];
    for other in answering.iter().filter(|other| other["standing"] != "learns") {
        let newer = state(other) > named_state;
        ensure!(
            !newer,
            "{} has a newer state, {}",
            format_cell(&other["node"]),
            format_cell(&other["newest"])
        );
        voters.push(other["node"].clone());
    }
    let majority = |part: &str| {
        let members = answer[part].as_array().map_or(&[][..], Vec::as_slice);
        let left = members.iter().filter(|member| voters.contains(member)).count();
        (members.is_empty(), 2 * left > members.len())
    };
    let ((_, new), (settled, old)) = (majority("members"), majority("outgoing"));
    ensure!(!(new && (settled || old)), "a majority of the members can still answer");
    let (status, body) = call(founder, "POST", &format!("{FOUND_PATH}?newest={newest}"))?;
    ensure!(status == 200, "{founder}: {status} {body}");
    let at = founder.parse::<SocketAddr>().wrap_err("ADDRESS")?;
    Ok(format!("formed a new core from {newest} at {at}\n"))
}
