//! The memory used by states that wait for a stalled disk does not grow.

use lupinledge_storage::{DataDir, Folder, LogStep, OpenedStore, Store};
use std::alloc::{GlobalAlloc, Layout, System};
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};

/// Number of states that are saved.
const CHANGES: u64 = 1_000;
/// Size of each state.
const STATE_BYTES: usize = 1 << 20;

/// An allocator that counts the allocated bytes and their maximum.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let allocated = ALLOCATED.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(allocated, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Stalls the disk. The state is whether the disk stalls, and whether a sync has reached it.
#[derive(Default)]
struct StallSwitch {
    state: Mutex<(bool, bool)>,
    changed: Condvar,
}

impl StallSwitch {
    fn wait_while_stalled(&self) {
        let mut state = self.state.lock().unwrap();
        state.1 = true;
        self.changed.notify_all();
        drop(self.changed.wait_while(state, |state| state.0).unwrap());
    }

    fn set_stalled(&self, stalled: bool) {
        self.state.lock().unwrap().0 = stalled;
        self.changed.notify_all();
    }

    fn wait_reached(&self) {
        drop(self.changed.wait_while(self.state.lock().unwrap(), |state| !state.1).unwrap());
    }
}

/// A folder whose syncs wait while the disk stalls.
#[derive(Clone)]
struct StallingFolder(DataDir, Arc<StallSwitch>);

impl Folder for StallingFolder {
    fn path(&self) -> &Path {
        self.0.path()
    }
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        self.0.create(name, parts)
    }
    fn sync(&self, file: &File, name: &str) -> io::Result<()> {
        self.1.wait_while_stalled();
        self.0.sync(file, name)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.0.sync_folder()
    }
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        self.0.log(step, run)
    }
}

#[test]
fn a_thousand_states_that_wait_for_a_stalled_disk_use_the_memory_of_a_few() {
    let folder = std::env::temp_dir().join(format!("lupinledge-storage-{}-memory", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let switch = Arc::new(StallSwitch::default());
    let OpenedStore { store, content, mut results } =
        Store::open(StallingFolder(DataDir(folder.clone()), switch.clone())).unwrap();
    content.blocking_recv().unwrap();
    switch.set_stalled(true);
    let before = ALLOCATED.load(Relaxed);
    PEAK.store(before, Relaxed);
    for change in 1..=CHANGES {
        store.save(change, vec![change as u8; STATE_BYTES]);
        if change == 1 {
            switch.wait_reached();
        }
    }
    switch.set_stalled(false);
    let mut results_by_ticket = vec![0; CHANGES as usize + 1];
    let mut last = false;
    for _ in 0..CHANGES {
        let (ticket, ok) = results.blocking_recv().unwrap();
        results_by_ticket[ticket as usize] += 1;
        if ticket == CHANGES {
            last = ok;
        }
    }
    assert!(last && results_by_ticket[1..].iter().all(|times| *times == 1), "each save has one result");
    let peak = PEAK.load(Relaxed) - before;
    // the state being written, the one that waits, and the one being passed to `save`
    assert!(peak < 4 * STATE_BYTES, "peak of {peak} bytes");
    drop(store);
    assert_eq!(results.blocking_recv(), None);
    let _ = std::fs::remove_dir_all(&folder);
}
