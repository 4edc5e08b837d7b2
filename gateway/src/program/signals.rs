//! SIGUSR1 prints the counters; SIGHUP asks for the configuration to be read anew; SIGTERM and SIGINT end the
//! program.

use lupinledge_proxy::counters::Counters;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};

pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Option<Signal>,
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
        let (term, int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        Ok(Signals { term, int, hup: Some(signal(SignalKind::hangup())?) })
    }
    /// Calls `reload` at each SIGHUP from now on.
    pub fn at_hangup(&mut self, reload: impl Fn() + 'static) {
        let Some(mut hup) = self.hup.take() else { return };
        tokio::task::spawn_local(async move {
            while hup.recv().await.is_some() {
                reload();
            }
        });
    }
    pub async fn end(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
