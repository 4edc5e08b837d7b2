//! The power goes at every single operation on the folder, with mixes of what was not synced kept, lost and torn;
//! what is there after it is the state that was saved last, or a later one.

mod journal;
mod shadow;

use fastrand::Rng;
use lupinledge_storage::{DataDir, Disk, Stored};
use shadow::{image, lay, Flaw, Image, Shadow};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

/// A log that is full soon.
const LOG: u64 = 4_000;
/// Mixes of what was not synced, at each operation.
const MIXES: usize = 2;
/// Starts in a row, each from what a loss of power in the one before left.
const LIVES: usize = 3;
const SEEDS: u64 = 16;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("lupinledge-storage-{}-{name}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The state of a number; by its length it goes to the log, or past it.
fn state(number: u32, rng: &mut Rng) -> Vec<u8> {
    let length = [0, 30, 700, 700, 2_500, 3_000, 66_000][rng.usize(..7)];
    let mut state = number.to_le_bytes().to_vec();
    state.extend(std::iter::repeat_n(number as u8, length));
    state
}

fn number(found: &Stored) -> Option<u32> {
    let Stored::State(state) = found else { return None };
    let (head, rest) = state.split_first_chunk::<4>()?;
    let number = u32::from_le_bytes(*head);
    rest.iter().all(|byte| *byte == number as u8).then_some(number)
}

/// What has been seen of one life.
struct Seen {
    /// The last state that was said to be saved, and the last one that was begun.
    saved: u32,
    begun: u32,
    /// It began from a spoilt disk, and nothing was saved since; what was begun may have got there.
    spoilt: bool,
    wrong: Option<String>,
    /// One of the disks that the power may have left, for the life after, and the state on it.
    left: Option<(Image, u32)>,
    looks: u64,
}

impl Seen {
    /// Whether this may be found.
    fn allows(&self, found: &Stored) -> bool {
        match found {
            Stored::Empty => self.saved == 0 && !self.spoilt,
            Stored::Corrupt => self.spoilt,
            Stored::State(_) => number(found).is_some_and(|n| (self.saved.max(1)..=self.begun).contains(&n)),
        }
    }
}

/// Plays lives in a row; returns what was wrong, and how many disks were looked at.
fn lives(seed: u64, flaw: Flaw, from: Option<Image>) -> (Option<String>, u64) {
    let mut rng = Rng::with_seed(seed);
    let at = Folder::new(&format!("{flaw:?}-{seed}-{}", from.is_some()));
    let (dir, probe) = (at.0.join("disk"), at.0.join("probe"));
    let spoilt = from.is_some();
    let mut disk = from.unwrap_or_default();
    let (mut saved, mut begun, mut looks) = (0, 0, 0);
    for life in 0..LIVES {
        lay(&dir, &disk);
        let spoilt = spoilt && saved == 0;
        let seen = Rc::new(RefCell::new(Seen { saved, begun, spoilt, wrong: None, left: None, looks: 0 }));
        let (watch, probe) = (seen.clone(), probe.clone());
        let mut dice = Rng::with_seed(rng.u64(..));
        let look = Rc::new(RefCell::new(move |left: &mut dyn FnMut(&mut Rng) -> Image| {
            let mut seen = watch.borrow_mut();
            for _ in 0..MIXES {
                if seen.wrong.is_some() {
                    return;
                }
                seen.looks += 1;
                let left = left(&mut dice);
                lay(&probe, &left);
                let found = Disk::open(DataDir(probe.clone()), LOG).map(|opened| opened.1);
                let holds = found.as_ref().ok().and_then(number).unwrap_or(0);
                match found {
                    Ok(found) if seen.allows(&found) => {}
                    Ok(found) => {
                        let found = number(&found).map_or(format!("{found:.40?}"), |n| format!("state {n}"));
                        seen.wrong =
                            Some(format!("{found} where {} was saved, {} begun", seen.saved, seen.begun));
                    }
                    Err(e) => seen.wrong = Some(format!("it can't be read: {e:#}")),
                }
                if dice.u8(..20) == 0 || seen.left.is_none() {
                    seen.left = Some((left, holds));
                }
            }
        }));
        let mut folder = Shadow::new(dir.clone(), &disk, flaw, look);
        // one disk of two refuses now and then
        folder.refuses = if flaw == Flaw::None && seed % 2 == 1 { 4 } else { 0 };
        let (mut open, found) = Disk::open(folder, LOG).expect("a folder");
        // it goes on from what it found
        saved = number(&found).unwrap_or(0);
        seen.borrow_mut().saved = saved;
        for _ in 0..rng.usize(6..24) {
            begun += 1;
            seen.borrow_mut().begun = begun;
            // a copy of the power's choice from before this save may not count for more than it
            seen.borrow_mut().left = None;
            if open.write(&state(begun, &mut rng)).is_ok() {
                saved = begun;
                let mut seen = seen.borrow_mut();
                (seen.saved, seen.spoilt) = (saved, false);
            }
        }
        drop(open);
        let seen = seen.borrow();
        looks += seen.looks;
        if let Some(wrong) = &seen.wrong {
            return (Some(format!("seed {seed}, life {life}: {wrong}")), looks);
        }
        (disk, saved) = seen.left.clone().unwrap_or_else(|| (image(&dir), saved));
    }
    (None, looks)
}

#[test]
fn what_was_saved_outlives_a_loss_of_power_at_any_moment() {
    let mut looks = 0;
    for seed in 0..SEEDS {
        let (wrong, looked) = lives(seed, Flaw::None, None);
        assert_eq!(wrong, None);
        looks += looked;
    }
    assert!(looks > 1_000 * MIXES as u64, "{looks} disks");
    eprintln!("{looks} disks");
}

/// On a spoilt disk nothing that its log tells is taken for its state, also if the power goes while it is mended.
#[test]
fn a_spoilt_disk_stays_spoilt_until_a_state_is_saved() {
    let mut rng = Rng::with_seed(0);
    for seed in 0..SEEDS / 2 {
        let at = Folder::new(&format!("spoilt-{seed}"));
        lay(&at.0, &Image::new());
        let (mut disk, _) = Disk::open(DataDir(at.0.clone()), LOG).unwrap();
        (900..905)
            .for_each(|n: u32| disk.write(&[n.to_le_bytes().to_vec(), vec![n as u8; 70]].concat()).unwrap());
        drop(disk);
        let mut spoilt = image(&at.0);
        let snapshot = spoilt.get_mut("snapshot").expect("the first save is one");
        match seed % 3 {
            0 => snapshot.truncate(rng.usize(..snapshot.len())),
            1 => snapshot[rng.usize(..102)] ^= 1 << rng.u8(..8),
            _ => drop(spoilt.remove("snapshot")),
        }
        assert_eq!(lives(seed, Flaw::None, Some(spoilt)).0, None);
    }
}

#[test]
fn each_planted_fault_is_caught() {
    for flaw in [Flaw::SnapshotUnsynced, Flaw::FolderUnsynced, Flaw::InPlace, Flaw::EntryUnsynced] {
        let caught = (0..SEEDS).find_map(|seed| Some((seed + 1, lives(seed, flaw, None).0?)));
        eprintln!("{flaw:?}: {caught:?}");
        assert!(caught.is_some(), "{flaw:?} is not caught");
    }
}
