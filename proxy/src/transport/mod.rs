pub mod body;
pub mod counted;
pub mod descriptors;
pub mod dial;
pub mod ending;
pub mod framing;
pub mod listener;
