//! Aborts the process on a panic of the thread that runs all tasks, so that the process is restarted. Otherwise the
//! panic would end one task only, and the process would continue as ready without it.

use std::panic::{set_hook, PanicHookInfo};
use std::process::abort;
use std::thread::current;

/// Installs the panic hook; must be called on the thread that runs all tasks. `log_panic` writes the panic to the log
/// and waits until it is written. Panics of other threads are only logged: whoever joins such a thread gets its
/// result.
pub fn abort_on_panic(log_panic: impl Fn(&PanicHookInfo) + Send + Sync + 'static) {
    let task_thread = current().id();
    set_hook(Box::new(move |panic| {
        log_panic(panic);
        if current().id() == task_thread {
            abort();
        }
    }));
}
