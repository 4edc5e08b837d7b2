//! The host of a request or a listener.

/// A host as it is compared: without port, in small letters.
pub fn normalized_host(header: &str) -> String {
    without_port(header).to_ascii_lowercase()
}

pub(crate) fn without_port(header: &str) -> &str {
    let header = header.trim();
    match header.rfind(':') {
        Some(at) if header[at + 1..].bytes().all(|b| b.is_ascii_digit()) => &header[..at],
        _ => header,
    }
}
