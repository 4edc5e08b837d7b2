//! Stand-ins and cases of the second review. `lupinledge-review-2 case NUMBER FOLDER` plays one case against the
//! real programs; `lupinledge-review-2 server ...` is one server, in a process of its own. The standard library alone.

mod cases;
mod http;
mod server;
mod system;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("server") => server::run(&args[1..]),
        Some("case") if args.len() == 3 => ExitCode::from(cases::play(&args[1], args[2].as_ref())),
        _ => {
            eprintln!("usage: lupinledge-review-2 case NUMBER FOLDER");
            ExitCode::from(2)
        }
    }
}
