//! Opens connections, each within a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

pub async fn dial(addr: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(within, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
