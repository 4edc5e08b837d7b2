pub mod exchange;
