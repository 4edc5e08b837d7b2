//! SIGUSR1 prints the counters; SIGTERM and SIGINT end the program.

use super::counters::Counters;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};

pub struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Takes the signals over; from here on none of them ends the process by itself.
    pub fn hold(counters: Rc<Counters>) -> io::Result<Signals> {
        let mut usr1 = signal(SignalKind::user_defined1())?;
        tokio::task::spawn_local(async move {
            while usr1.recv().await.is_some() {
                log::info!("{counters}");
            }
        });
        Ok(Signals { term: signal(SignalKind::terminate())?, int: signal(SignalKind::interrupt())? })
    }
    pub async fn end(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
