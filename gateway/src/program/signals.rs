//! Signal handling: SIGUSR1 prints the counters, SIGHUP reloads the configuration, SIGTERM and SIGINT end the program.

use lupinledge_proxy::counters::Counters;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the program handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Option<Signal>,
}

impl Signals {
    /// Installs the handlers; from then on none of the signals ends the process by itself.
    pub fn install(counters: Rc<Counters>) -> io::Result<Signals> {
        let mut user1 = signal(SignalKind::user_defined1())?;
        tokio::task::spawn_local(async move {
            while user1.recv().await.is_some() {
                log::info!("{counters}");
            }
        });
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        Ok(Signals { terminate, interrupt, hangup: Some(signal(SignalKind::hangup())?) })
    }
    /// Calls `reload` on each SIGHUP from now on.
    pub fn on_hangup(&mut self, reload: impl Fn() + 'static) {
        let Some(mut hangup) = self.hangup.take() else { return };
        tokio::task::spawn_local(async move {
            while hangup.recv().await.is_some() {
                reload();
            }
        });
    }
    /// Waits for SIGTERM or SIGINT.
    pub async fn wait_end(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
