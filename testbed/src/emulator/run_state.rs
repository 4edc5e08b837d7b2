//! What all parts of the emulator share in one run: its clock, its schedule and its record of arrivals.

use crate::gateway_settings::GatewaySettings;
use crate::record::Arrival;
use crate::scenario::Fault;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Most arrivals kept a run; beyond it they are counted only (some 100 bytes each: 400 MB at the most).
pub const MAX_ARRIVALS: usize = 4_000_000;

pub struct RunState {
    start: Mutex<Instant>,
    pub faults: Vec<Fault>,
    pub grace_s: f64,
    pub settings: GatewaySettings,
    over: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    dropped: Mutex<usize>,
    /// Reqs of each customer open at all srvs together, as (srv, req id).
    open_requests: Mutex<BTreeMap<u32, Vec<(u16, u64)>>>,
}

impl RunState {
    pub fn new(faults: Vec<Fault>, grace_s: f64, settings: GatewaySettings) -> RunState {
        RunState {
            start: Mutex::new(Instant::now()),
            faults,
            grace_s,
            settings,
            over: AtomicBool::new(false),
            arrivals: Mutex::default(),
            dropped: Mutex::default(),
            open_requests: Mutex::default(),
        }
    }
    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.start.lock().unwrap().elapsed().as_secs_f64()
    }
    /// Begins the run's clock anew: once the gateways are up, the schedule and the load count from here.
    pub fn restart_clock(&self) -> Instant {
        let now = Instant::now();
        *self.start.lock().unwrap() = now;
        now
    }
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst)
    }
    pub fn record_arrival(&self, a: Arrival) {
        let mut all = self.arrivals.lock().unwrap();
        if all.len() < MAX_ARRIVALS {
            all.push(a);
        } else {
            *self.dropped.lock().unwrap() += 1;
        }
    }
    /// Notes a req of the customer open at a srv; gives all of the customer's open ones, this one included.
    pub fn request_opened(&self, customer: u32, server: u16, id: u64) -> Vec<(u16, u64)> {
        let mut open_requests = self.open_requests.lock().unwrap();
        let all = open_requests.entry(customer).or_default();
        all.push((server, id));
        all.clone()
    }
    /// Notes that one is no longer open.
    pub fn request_closed(&self, customer: u32, server: u16, id: u64) {
        let mut open_requests = self.open_requests.lock().unwrap();
        let all = open_requests.entry(customer).or_default();
        if let Some(i) = all.iter().position(|o| *o == (server, id)) {
            all.swap_remove(i);
        }
    }
    pub fn take_arrivals(&self) -> (Vec<Arrival>, usize) {
        (std::mem::take(&mut *self.arrivals.lock().unwrap()), *self.dropped.lock().unwrap())
    }
}
