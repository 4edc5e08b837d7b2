//! lupinledge on sockets: `program` starts and ends it, `protocol` speaks to each kind of peer. Sockets, connections
//! and the exchange around the decisions are the crate `lupinledge_proxy`'s.

mod program;
mod protocol;

fn main() -> std::process::ExitCode {
    program::start::main()
}
