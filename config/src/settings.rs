//! The settings file of a process (`LUPINLEDGE_NODE_FILE`). Unknown fields are ignored; the defaults of optional fields
//! are those of the example in the deployment documentation.

use crate::parse::{not_negative, or_default, parse, positive, printable};
use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The default of `key_window_s`.
const DEFAULT_KEY_WINDOW_S: f64 = 60.0;
/// The longest `key_window_s`: operation keys are kept in memory for that long.
const MAX_KEY_WINDOW_S: f64 = 3000.0;

/// The settings of a process, read at its start and again after SIGHUP.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    /// Name of the machine.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub node_name: String,
    /// Name of the role in the deployment file.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub role: String,
    /// `edge` or `core`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub machine_class: String,
    /// The external interfaces of the role: `edge`, `control`, `directory`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 64))]
    pub serves: Vec<String>,
    /// Address of the machine.
    #[garde(custom(specified))]
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    #[garde(length(min = 1, max = 1024), custom(printable))]
    pub zone: String,
    /// Region of the machine.
    #[garde(length(min = 1, max = 1024), custom(printable))]
    pub region: String,
    /// Every zone with its region.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096))]
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen on.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub listen: Listen,
    /// First and last of the ports reserved for messages between processes of the system.
    #[garde(custom(ports))]
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines to contact first; some may be down.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 256))]
    pub seeds: Vec<SocketAddr>,
    /// Set only at the first start of the whole system, with empty disks.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub bootstrap: bool,
    /// Whether this machine counts towards `tolerate.machines`, the number of machines that may be lost at once.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub counted: bool,
    /// The resources that the process may use.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub limits: Limits,
    /// The data directory, if the machine has a disk.
    #[serde(default)]
    #[garde(skip)]
    pub data_dir: Option<PathBuf>,
    /// Seconds between heartbeats.
    #[serde(default = "default_beat_s")]
    #[garde(custom(positive))]
    pub beat_s: f64,
    /// The parts of the rules that are in force.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024))]
    pub contracts: Vec<String>,
    /// The losses that the system must tolerate at once.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub tolerate: Tolerate,
    /// The bounds that the rules refer to.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub bounds: Bounds,
    /// The platform's list of servers.
    #[serde(default)]
    #[garde(dive)]
    pub cloud_api: Option<CloudApi>,
}

/// The addresses to listen on; `None` for interfaces that the role does not serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// For requests of clients.
    pub front: Option<SocketAddr>,
    /// For the platform's readiness check of the gateway.
    pub ready: Option<SocketAddr>,
    /// For operators.
    pub control: Option<SocketAddr>,
    /// For clients that look up gateway addresses.
    pub directory: Option<SocketAddr>,
}

/// The resources that the process may use.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Share of a processor core.
    #[garde(custom(positive))]
    pub cpu_share: f64,
    /// Speed factor of that share.
    #[garde(custom(positive))]
    pub cores: f64,
    /// Memory in megabytes.
    #[garde(custom(positive))]
    pub memory_mb: f64,
    /// File descriptors, of which 200 are reserved.
    #[garde(skip)]
    pub max_fds: u64,
    /// Network bandwidth in megabits per second.
    #[garde(custom(positive))]
    pub link_mbps: f64,
    /// Disk space in megabytes; 0 without a disk.
    #[garde(custom(not_negative))]
    pub disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cpu_share: 0.2,
            cores: 1.0,
            memory_mb: 260.0,
            max_fds: 4100,
            link_mbps: 1000.0,
            disk_mb: 0.0,
        }
    }
}

/// The losses that the system must tolerate at once: machines, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Machines whose settings have `counted`.
    pub machines: u32,
    /// Whole zones.
    pub zones: u32,
    /// Whole regions.
    pub regions: u32,
}

impl Default for Tolerate {
    fn default() -> Self {
        Tolerate { machines: 1, zones: 1, regions: 1 }
    }
}

/// Access to the platform's list of servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct CloudApi {
    /// Address of the platform's API.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Calls per second allowed from all gateways together.
    #[serde(default = "default_rate_per_s")]
    #[garde(custom(positive))]
    pub rate_per_s: f64,
    /// Seconds by which the list may lag behind.
    #[serde(default = "default_lag_s")]
    #[garde(custom(not_negative))]
    pub lag_s: f64,
}

macro_rules! bounds {
    ($($(#[$doc:meta])* $name:ident = $value:literal,)*) => {
        /// The bounds that the rules refer to; those ending in `_s` are seconds.
        #[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
        #[serde(default)]
        pub struct Bounds {
            $($(#[$doc])* #[garde(custom(not_negative))] pub $name: f64,)*
            /// Seconds after the first request with an operation key within which the key is executed only once.
            #[garde(custom(key_window))]
            pub key_window_s: f64,
            /// Whether a node that is cut off has to refuse API keys that it can't confirm.
            #[garde(skip)]
            pub revoked_closed: bool,
        }

        impl Default for Bounds {
            fn default() -> Self {
                Bounds { $($name: $value,)* key_window_s: DEFAULT_KEY_WINDOW_S, revoked_closed: false }
            }
        }
    };
}

bounds! {
    /// How long the operator's list of gateways may lag behind.
    seed_lag_s = 3.0,
    /// How long after the end of a server its address may be reused.
    reuse_after_s = 2.0,
    /// How long a machine has to run without loss of its process or network before the other bounds apply to it.
    contact_s = 5.0,
    /// How long until an order has to be acknowledged.
    ack_s = 8.0,
    /// How long a machine that has returned still counts as lost.
    catch_up_s = 4.0,
    /// How long a server may receive requests after it was listed as draining.
    drain_s = 2.5,
    /// Time from SIGTERM to SIGKILL.
    grace_s = 6.0,
    /// Time allowed for a request that was read but not yet forwarded.
    slack_s = 0.2,
    /// How long after its acknowledgement a configuration has to be in force.
    config_apply_s = 2.5,
    /// Time allowed for a return to an older version.
    revert_slack_s = 0.25,
    /// The longest time by which an unsettled core extends other bounds.
    stretch_max_s = 10.0,
    /// How long after its revocation an API key has to be refused.
    revoke_s = 5.0,
    /// Retries allowed per request, for each service.
    retry_ratio = 0.2,
    /// Window of the retry budget.
    retry_window_s = 10.0,
    /// Retries allowed beyond the ratio.
    retry_slack = 58.0,
    /// Window of the quotas.
    quota_window_s = 5.0,
    /// Fraction by which a quota may be exceeded.
    quota_excess = 0.1,
    /// Requests by which a quota may be exceeded.
    quota_slack = 20.0,
    /// Factor on the requests per second of a server that warms up.
    warmup_excess = 1.5,
    /// Requests allowed beyond that rate.
    warmup_slack = 5.0,
    /// How long after the acknowledgement of its evacuation a zone has to be empty.
    evacuate_s = 5.0,
    /// How long after a loss the system has to serve again.
    recover_s = 15.0,
    /// The largest `ttl_s` that counts in responses of the directory.
    ttl_max_s = 5.0,
}

fn default_beat_s() -> f64 {
    1.5
}

fn default_rate_per_s() -> f64 {
    39.0
}

fn default_lag_s() -> f64 {
    0.8
}

fn key_window(seconds: &f64, _: &()) -> garde::Result {
    match *seconds > 0.0 && *seconds <= MAX_KEY_WINDOW_S {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must be above 0, up to {MAX_KEY_WINDOW_S}"))),
    }
}

fn specified(ip: &Ipv4Addr, _: &()) -> garde::Result {
    match ip.is_unspecified() {
        true => Err(garde::Error::new("must be the machine's own address")),
        false => Ok(()),
    }
}

fn ports(range: &(u16, u16), _: &()) -> garde::Result {
    match range.0 > 0 && range.0 <= range.1 {
        true => Ok(()),
        false => Err(garde::Error::new("must be two ports above 0, the lower one first")),
    }
}

impl Settings {
    /// Parses a settings file. The error names the field.
    pub fn parse(bytes: &[u8]) -> Result<Settings, String> {
        parse(bytes).map_err(|error| error.to_string())
    }

    /// Identifies this process within the system: the IP address as a number.
    pub fn node_id(&self) -> u32 {
        u32::from(self.ip)
    }

    /// The port for messages between processes of the system, the same on all machines.
    pub fn peer_port(&self) -> u16 {
        self.port_range.0
    }

    /// Whether the deployment has a zone of this name.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }
}
