//! The listening socket: each connection accepted takes a place among the descriptors first.

use super::descriptors::{DescriptorPermit, DescriptorPool};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A listening socket with the places of its connections.
pub struct Listener {
    listener: TcpListener,
    places: Rc<DescriptorPool>,
}

impl Listener {
    /// Binds; a port that a killed predecessor's connections still use is taken over.
    pub fn bind(addr: SocketAddr, places: Rc<DescriptorPool>) -> std::io::Result<Listener> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok(Listener { listener: socket.listen(4096)?, places })
    }
    /// Where it listens, with the port that the machine chose for port 0.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }
    /// The next connection. With no place free, `room` is asked to make some until there is one; the
    /// connection waits in the machine's queue meanwhile.
    pub async fn accept(&self, room: impl Fn()) -> (TcpStream, SocketAddr, DescriptorPermit) {
        loop {
            // looked at often: a connection that waits here has a req whose time runs
            let Some(place) = self.places.try_acquire() else {
                room();
                tokio::time::sleep(Duration::from_millis(2)).await;
                continue;
            };
            match self.listener.accept().await {
                Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => return (stream, peer, place),
                Ok(_) => {}
                Err(e) => {
                    // out of descriptors all the same, or a connection reset while it waited
                    log::warn!("accept: {e}");
                    room();
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
        }
    }
    /// A connection that stands in the machine's queue; `None` once there is none.
    pub async fn accept_queued(&self) -> Option<(TcpStream, SocketAddr, DescriptorPermit)> {
        loop {
            let Some(place) = self.places.try_acquire() else {
                tokio::time::sleep(Duration::from_millis(2)).await;
                continue;
            };
            let next = poll_fn(|cx| match self.listener.poll_accept(cx) {
                Poll::Ready(next) => Poll::Ready(Some(next)),
                Poll::Pending => Poll::Ready(None),
            });
            match next.await? {
                Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => return Some((stream, peer, place)),
                _ => tokio::time::sleep(Duration::from_millis(2)).await,
            }
        }
    }
}
