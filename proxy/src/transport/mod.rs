//! Sockets: listening, connecting, limits on descriptors and memory, message framing, and why connections end.

pub mod body;
pub mod connect;
pub mod descriptors;
pub mod end_reason;
pub mod framing;
pub mod listener;
pub mod metered;
