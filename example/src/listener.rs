//! A listening address that can be closed, for a component that moves to another address.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// A listening socket and its open connections.
#[derive(Clone)]
pub struct Listener {
    /// The address it listens on.
    pub addr: SocketAddr,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listener {
    /// Listens on `addr` and calls `serve` for each connection on a separate thread.
    pub fn start(addr: &str, serve: impl Fn(TcpStream) + Send + Clone + 'static) -> io::Result<Listener> {
        let socket = TcpListener::bind(addr)?;
        let listener =
            Listener { addr: socket.local_addr()?, closed: Arc::default(), connections: Arc::default() };
        let accepting = listener.clone();
        spawn(move || {
            for stream in socket.incoming().flatten() {
                if accepting.closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(for_shutdown) = stream.try_clone() else { continue };
                accepting.connections.lock().unwrap().extend(stream.try_clone());
                let serve = serve.clone();
                spawn(move || {
                    serve(stream);
                    for_shutdown.shutdown(Shutdown::Both)
                });
            }
        });
        Ok(listener)
    }

    /// Stops accepting connections, and closes the open ones after the given time.
    pub fn close(&self, after: Duration) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        let connections = self.connections.clone();
        spawn(move || {
            sleep(after);
            connections.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
        });
    }
}
