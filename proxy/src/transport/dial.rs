//! Opens connections, each within a time.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Connects, with no delay set. With `unacked`, the machine ends the connection once bytes sent on it have stood
/// for so long with no acknowledgement, in whole milliseconds. An error of the kind `TimedOut` says that
/// `within` was over.
pub async fn dial(addr: SocketAddr, within: Duration, unacked: Option<Duration>) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(within, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    if unacked.is_some() {
        SockRef::from(&stream).set_tcp_user_timeout(unacked)?;
    }
    Ok(stream)
}
