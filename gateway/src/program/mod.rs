pub mod clock;
pub mod counters;
pub mod logger;
pub mod signals;
pub mod start;
pub mod told;
