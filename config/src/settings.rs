//! The settings file of a process (`LUPINLEDGE_NODE_FILE`). Fields that are not known are ignored; those that
//! may be missing get the figures of the example in the deploy pages.

use crate::read::{not_negative, or_default, positive, printable, read};
use garde::Validate;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Where no key window is told, seconds.
const KEY_WINDOW: f64 = 60.0;
/// The longest key window, seconds: keys are kept in memory for that long.
const KEY_WINDOW_MOST: f64 = 3000.0;

/// What a process is told at its start, and again after SIGHUP.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Settings {
    /// Name of the machine.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub node_name: String,
    /// Name of the role in the deploy file.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub role: String,
    /// `edge` or `core`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024), custom(printable))]
    pub machine_class: String,
    /// What the role serves to the outside: `edge`, `control`, `directory`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 64))]
    pub serves: Vec<String>,
    /// Address of the machine.
    #[garde(custom(told))]
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
    /// Where to listen for what the role serves.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub listen: Listen,
    /// First and last of the ports kept free for messages between own processes.
    #[garde(custom(ports))]
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines; some may be down.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 256))]
    pub seeds: Vec<SocketAddr>,
    /// Only at the first start of the whole system, with empty disks.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub bootstrap: bool,
    /// Whether this machine is among those of which only `tolerate.machines` may be lost at once.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub counted: bool,
    /// What the process may use.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub limits: Limits,
    /// The folder on disk, where there is one.
    #[serde(default)]
    #[garde(skip)]
    pub data_dir: Option<PathBuf>,
    /// Seconds.
    #[serde(default = "beat")]
    #[garde(custom(positive))]
    pub beat_s: f64,
    /// The parts of the rules in force.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 1024))]
    pub contracts: Vec<String>,
    /// What may be lost at once.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub tolerate: Tolerate,
    /// The figures of the rules.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub bounds: Bounds,
    /// Where the platform keeps the list of servers.
    #[serde(default)]
    #[garde(dive)]
    pub cloud_api: Option<CloudApi>,
}

/// Addresses to listen at; those that the role does not serve are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Clients.
    pub front: Option<SocketAddr>,
    /// The platform's question whether the gateway is ready.
    pub ready: Option<SocketAddr>,
    /// The operator.
    pub control: Option<SocketAddr>,
    /// Clients that ask where to go.
    pub directory: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    #[garde(custom(positive))]
    pub cpu_share: f64,
    /// How many times as fast that share runs.
    #[garde(custom(positive))]
    pub cores: f64,
    /// Megabytes.
    #[garde(custom(positive))]
    pub memory_mb: f64,
    /// Descriptors, of which 200 are held back.
    #[garde(skip)]
    pub max_fds: u64,
    /// Megabits a second.
    #[garde(custom(positive))]
    pub link_mbps: f64,
    /// Megabytes; 0 where there is no disk.
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

/// What may be lost at once: machines that count, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Machines with `counted`.
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

/// The platform's list of servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct CloudApi {
    /// Where it is asked.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Calls a second from all gateways together.
    #[serde(default = "calls")]
    #[garde(custom(positive))]
    pub rate_per_s: f64,
    /// Seconds that the list lags.
    #[serde(default = "lag")]
    #[garde(custom(not_negative))]
    pub lag_s: f64,
}

macro_rules! bounds {
    ($($(#[$doc:meta])* $name:ident = $value:literal,)*) => {
        /// The figures of the rules; those ending in `_s` are seconds.
        #[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
        #[serde(default)]
        pub struct Bounds {
            $($(#[$doc])* #[garde(custom(not_negative))] pub $name: f64,)*
            /// For how long after its first request an operation key runs once.
            #[garde(custom(key_window))]
            pub key_window_s: f64,
            /// Whether a node that is cut off has to stop serving keys it can't confirm.
            #[garde(skip)]
            pub revoked_closed: bool,
        }

        impl Default for Bounds {
            fn default() -> Self {
                Bounds { $($name: $value,)* key_window_s: KEY_WINDOW, revoked_closed: false }
            }
        }
    };
}

bounds! {
    /// How much the operator's list of gateways lags.
    seed_lag_s = 3.0,
    /// When the address of a server that ended may be given to another.
    reuse_after_s = 2.0,
    /// How long a machine runs undisturbed before it counts as in touch.
    contact_s = 5.0,
    /// When an order has to be acknowledged.
    ack_s = 8.0,
    /// How long a machine that returned still counts as lost.
    catch_up_s = 4.0,
    /// How long a server may get requests after it was told to be draining.
    drain_s = 2.5,
    /// From SIGTERM to SIGKILL.
    grace_s = 6.0,
    /// Slack for a request that was read but not passed on.
    slack_s = 0.2,
    /// When a configuration has to be in force after its acknowledgement.
    config_apply_s = 2.5,
    /// Slack for going back to an older version.
    revert_slack_s = 0.25,
    /// Most by which an unsettled core extends bounds.
    stretch_max_s = 10.0,
    /// When a revoked key has to be refused.
    revoke_s = 5.0,
    /// Repeats a request for a service.
    retry_ratio = 0.2,
    /// Window of the budget for repeats.
    retry_window_s = 10.0,
    /// Repeats allowed beyond the ratio.
    retry_slack = 58.0,
    /// Window of the quotas.
    quota_window_s = 5.0,
    /// Part by which a quota may be passed.
    quota_excess = 0.1,
    /// Requests by which a quota may be passed.
    quota_slack = 20.0,
    /// Factor on the requests a second of a cold server.
    warmup_excess = 1.5,
    /// Requests beyond it.
    warmup_slack = 5.0,
    /// When a zone has to be empty after its evacuation was acknowledged.
    evacuate_s = 5.0,
    /// When the system has to serve after a loss.
    recover_s = 15.0,
    /// Most of `ttl_s` that counts in answers of the directory.
    ttl_max_s = 5.0,
}

fn beat() -> f64 {
    1.5
}

fn calls() -> f64 {
    39.0
}

fn lag() -> f64 {
    0.8
}

fn key_window(seconds: &f64, _: &()) -> garde::Result {
    match *seconds > 0.0 && *seconds <= KEY_WINDOW_MOST {
        true => Ok(()),
        false => Err(garde::Error::new(format!("has to be above 0, and {KEY_WINDOW_MOST} at most"))),
    }
}

fn told(ip: &Ipv4Addr, _: &()) -> garde::Result {
    match ip.is_unspecified() {
        true => Err(garde::Error::new("has to be the machine's own address")),
        false => Ok(()),
    }
}

fn ports(range: &(u16, u16), _: &()) -> garde::Result {
    match range.0 > 0 && range.0 <= range.1 {
        true => Ok(()),
        false => Err(garde::Error::new("has to be two ports, the lower first")),
    }
}

impl Settings {
    /// The bytes of a settings file. The error names the field.
    pub fn parse(bytes: &[u8]) -> Result<Settings, String> {
        read(bytes).map_err(|fault| fault.to_string())
    }

    /// This process among the system's own: the address as a number.
    pub fn node_id(&self) -> u32 {
        u32::from(self.ip)
    }

    /// The port for messages between own processes, the same on all machines.
    pub fn peer_port(&self) -> u16 {
        self.port_range.0
    }

    /// Whether the zone is one of this deployment.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }
}
