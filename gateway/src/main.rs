//! The gateway: the data plane that runs the decision module on sockets. `program` starts and stops it, and `protocol`
//! implements the protocol towards each kind of peer. Sockets, connections and the exchange are in the crate
//! `lupinledge_proxy`.

mod program;
mod protocol;

fn main() -> std::process::ExitCode {
    program::start::main()
}
