//! A disk that stalls while changes go on: what waits for it does not grow.

use lupinledge_storage::{DataDir, Folder, LogStep, OpenedStore, Store};
use std::alloc::{GlobalAlloc, Layout, System};
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};

const CHANGES: u64 = 1_000;
const DOCUMENT: usize = 1 << 20;

/// Counts what is held, and the most of it.
struct Counted;

static HELD: AtomicUsize = AtomicUsize::new(0);
static MOST: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), Relaxed) + layout.size();
        MOST.fetch_max(held, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTED: Counted = Counted;

/// Whether the disk stalls, and whether anybody has come to feel it.
#[derive(Default)]
struct Gate {
    now: Mutex<(bool, bool)>,
    turned: Condvar,
}

impl Gate {
    fn pass(&self) {
        let mut now = self.now.lock().unwrap();
        now.1 = true;
        self.turned.notify_all();
        drop(self.turned.wait_while(now, |now| now.0).unwrap());
    }

    fn stall(&self, stalls: bool) {
        self.now.lock().unwrap().0 = stalls;
        self.turned.notify_all();
    }

    fn felt(&self) {
        drop(self.turned.wait_while(self.now.lock().unwrap(), |now| !now.1).unwrap());
    }
}

#[derive(Clone)]
struct Stalls(DataDir, Arc<Gate>);

impl Folder for Stalls {
    fn path(&self) -> &Path {
        self.0.path()
    }
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        self.0.create(name, parts)
    }
    fn sync(&self, file: &File, name: &str) -> io::Result<()> {
        self.1.pass();
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
fn a_thousand_changes_wait_for_a_stalled_disk_in_the_room_of_a_few() {
    let place = std::env::temp_dir().join(format!("lupinledge-storage-{}-memory", std::process::id()));
    let _ = std::fs::remove_dir_all(&place);
    std::fs::create_dir_all(&place).unwrap();
    let gate = Arc::new(Gate::default());
    let OpenedStore { store, content, mut results } =
        Store::open(Stalls(DataDir(place.clone()), gate.clone())).unwrap();
    content.blocking_recv().unwrap();
    gate.stall(true);
    let before = HELD.load(Relaxed);
    MOST.store(before, Relaxed);
    for change in 1..=CHANGES {
        store.save(change, vec![change as u8; DOCUMENT]);
        if change == 1 {
            gate.felt();
        }
    }
    gate.stall(false);
    let mut told = vec![0; CHANGES as usize + 1];
    let mut last = false;
    for _ in 0..CHANGES {
        let (ticket, ok) = results.blocking_recv().unwrap();
        told[ticket as usize] += 1;
        if ticket == CHANGES {
            last = ok;
        }
    }
    assert!(last && told[1..].iter().all(|times| *times == 1), "each save has one end");
    let most = MOST.load(Relaxed) - before;
    // the one that is written, the one that waits, and the one that is handed over
    assert!(most < 4 * DOCUMENT, "{most} bytes at the most");
    drop(store);
    assert_eq!(results.blocking_recv(), None);
    let _ = std::fs::remove_dir_all(&place);
}
