//! A panic on the thread that all tasks run on ends the process, so that it is started again. Left to itself it would
//! end one task, and the process would go on as ready with a part of it missing.

use std::panic::{set_hook, PanicHookInfo};
use std::process::abort;
use std::thread::current;

/// To be called on the thread that all tasks run on. `tell` writes what happened to the log, and waits until it is
/// written. Panics of other threads are told too; who waits for these threads hears of their end.
pub fn abort_on_panic(tell: impl Fn(&PanicHookInfo) + Send + Sync + 'static) {
    let tasks = current().id();
    set_hook(Box::new(move |panic| {
        tell(panic);
        if current().id() == tasks {
            abort();
        }
    }));
}
