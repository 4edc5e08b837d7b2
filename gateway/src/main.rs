//! lupinledge on sockets. The layers, from the outside in: `program` starts and ends it, `transport` holds
//! sockets, `protocol` speaks to each kind of peer, `routing` brings them together around the decisions.

mod program;
mod protocol;
mod routing;
mod transport;

fn main() -> std::process::ExitCode {
    program::start::main()
}
