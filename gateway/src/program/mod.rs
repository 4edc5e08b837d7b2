pub mod signals;
pub mod start;
pub mod told;
mod watched;
