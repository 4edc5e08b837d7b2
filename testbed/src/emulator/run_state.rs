//! State shared by all parts of the emulator during a run: the clock, the fault schedule and the arrivals.

use crate::gateway_settings::GatewaySettings;
use crate::record::Arrival;
use crate::scenario::Fault;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Maximum number of arrivals recorded per run (about 100 bytes each, so 400 MB); more are only counted.
pub const MAX_ARRIVALS: usize = 4_000_000;

/// State of one run, shared by the threads of the emulator.
pub struct RunState {
    start: Mutex<Instant>,
    /// The fault schedule.
    pub faults: Vec<Fault>,
    /// How long a draining server accepts new requests, s.
    pub grace_s: f64,
    /// Classes and plans of the gateways.
    pub settings: GatewaySettings,
    over: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    dropped: Mutex<usize>,
    /// Open requests of each customer over all servers, as (server, request id).
    open_requests: Mutex<BTreeMap<u32, Vec<(u16, u64)>>>,
}

impl RunState {
    /// Creates the state; the clock starts now.
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
    /// Restarts the clock of the run once the gateways are ready: the schedule and the load use this start time.
    pub fn restart_clock(&self) -> Instant {
        let now = Instant::now();
        *self.start.lock().unwrap() = now;
        now
    }
    /// Whether the run has ended.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
    /// Ends the run.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst)
    }
    /// Records the arrival, or counts it as dropped above `MAX_ARRIVALS`.
    pub fn record_arrival(&self, arrival: Arrival) {
        let mut all = self.arrivals.lock().unwrap();
        if all.len() < MAX_ARRIVALS {
            all.push(arrival);
        } else {
            *self.dropped.lock().unwrap() += 1;
        }
    }
    /// Adds an open request of the customer at a server; returns all open requests of the customer, including it.
    pub fn request_opened(&self, customer: u32, server: u16, id: u64) -> Vec<(u16, u64)> {
        let mut open_requests = self.open_requests.lock().unwrap();
        let all = open_requests.entry(customer).or_default();
        all.push((server, id));
        all.clone()
    }
    /// Removes a request from the open requests of the customer.
    pub fn request_closed(&self, customer: u32, server: u16, id: u64) {
        let mut open_requests = self.open_requests.lock().unwrap();
        let all = open_requests.entry(customer).or_default();
        if let Some(i) = all.iter().position(|o| *o == (server, id)) {
            all.swap_remove(i);
        }
    }
    /// Takes the recorded arrivals and the number of dropped ones.
    pub fn take_arrivals(&self) -> (Vec<Arrival>, usize) {
        (std::mem::take(&mut *self.arrivals.lock().unwrap()), *self.dropped.lock().unwrap())
    }
}
