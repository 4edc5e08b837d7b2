//! A listening address that can be left, as a party does that moves to another one.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

#[derive(Clone)]
pub struct Listener {
    pub addr: SocketAddr,
    left: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listener {
    /// Serves each connection in a thread of its own.
    pub fn start(addr: &str, serve: impl Fn(TcpStream) + Send + Clone + 'static) -> io::Result<Listener> {
        let socket = TcpListener::bind(addr)?;
        let listener = Listener { addr: socket.local_addr()?, left: Arc::default(), open: Arc::default() };
        let me = listener.clone();
        spawn(move || {
            for stream in socket.incoming().flatten() {
                if me.left.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(held) = stream.try_clone() else { continue };
                me.open.lock().unwrap().extend(stream.try_clone());
                let serve = serve.clone();
                spawn(move || {
                    serve(stream);
                    held.shutdown(Shutdown::Both)
                });
            }
        });
        Ok(listener)
    }

    /// Takes no new connection; the open ones are ended after a time.
    pub fn close(&self, after: Duration) {
        self.left.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        let open = self.open.clone();
        spawn(move || {
            sleep(after);
            open.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
        });
    }
}
