//! Normalization of hosts, so that those of requests and listeners can be compared.

/// The host without port, in lower case.
pub fn normalized_host(header: &str) -> String {
    without_port(header).to_ascii_lowercase()
}

/// The host without surrounding whitespace and port.
pub(crate) fn without_port(header: &str) -> &str {
    let header = header.trim();
    match header.rfind(':') {
        Some(colon) if header[colon + 1..].bytes().all(|b| b.is_ascii_digit()) => &header[..colon],
        _ => header,
    }
}
