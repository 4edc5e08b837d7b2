pub mod client;
pub mod counter;
pub mod discovery;
pub mod resp;
pub mod srv;
