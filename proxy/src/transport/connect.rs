//! Opens connections within a time limit.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Connects and sets `TCP_NODELAY`. With `tcp_user_timeout`, the kernel closes the connection once sent bytes were not
/// acknowledged for that long, in whole milliseconds. An error of the kind `TimedOut` means that `timeout` has passed.
pub async fn connect(
    addr: SocketAddr,
    timeout: Duration,
    tcp_user_timeout: Option<Duration>,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    if tcp_user_timeout.is_some() {
        SockRef::from(&stream).set_tcp_user_timeout(tcp_user_timeout)?;
    }
    Ok(stream)
}
