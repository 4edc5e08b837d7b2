//! The listening socket. A descriptor permit is acquired before each connection is accepted.

use super::descriptors::{DescriptorPermit, DescriptorPool};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A listening socket, and the descriptors for its connections.
pub struct Listener {
    listener: TcpListener,
    descriptors: Rc<DescriptorPool>,
}

impl Listener {
    /// Binds to an address, also if connections of a killed predecessor still use the port.
    pub fn bind(addr: SocketAddr, descriptors: Rc<DescriptorPool>) -> std::io::Result<Listener> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok(Listener { listener: socket.listen(4096)?, descriptors })
    }
    /// The address it listens on, with the port that the kernel chose for port 0.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }
    /// Accepts the next connection. While no descriptor is free, `free_descriptors` is called until there is one,
    /// and the connection waits in the kernel's accept queue.
    pub async fn accept(&self, free_descriptors: impl Fn()) -> (TcpStream, SocketAddr, DescriptorPermit) {
        loop {
            // checked often: the connection that waits may have a request with a deadline
            let Some(permit) = self.descriptors.try_acquire() else {
                free_descriptors();
                tokio::time::sleep(Duration::from_millis(2)).await;
                continue;
            };
            match self.listener.accept().await {
                Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => return (stream, peer, permit),
                Ok(_) => {}
                Err(e) => {
                    // out of descriptors in spite of the permits, or the connection was reset while it waited
                    log::warn!("accept: {e}");
                    free_descriptors();
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
        }
    }
    /// Accepts a connection from the kernel's accept queue; `None` once the queue is empty.
    pub async fn accept_queued(&self) -> Option<(TcpStream, SocketAddr, DescriptorPermit)> {
        loop {
            let Some(permit) = self.descriptors.try_acquire() else {
                tokio::time::sleep(Duration::from_millis(2)).await;
                continue;
            };
            let accepted = poll_fn(|cx| match self.listener.poll_accept(cx) {
                Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
                Poll::Pending => Poll::Ready(None),
            });
            match accepted.await? {
                Ok((stream, peer)) if stream.set_nodelay(true).is_ok() => {
                    return Some((stream, peer, permit))
                }
                _ => tokio::time::sleep(Duration::from_millis(2)).await,
            }
        }
    }
}
