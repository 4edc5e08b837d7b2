//! What the pure parts cost alone, at one size: bytes, time and memory on the heap.

use crate::gauge::HEAP;
use crate::size::Size;
use lupinledge_messaging::list::List;
use lupinledge_messaging::{decode, encode, parts, Word};
use lupinledge_nectar::duty::{Duty, Seen};
use lupinledge_nectar::own::Own;
use lupinledge_propolis::{Config, Document, Part, Tables, Verdict};
use std::hint::black_box;
use std::time::Instant;

/// A day's changes: what is remembered of them is part of the document.
const CHANGES: u64 = 2100;
/// A name is kept so long, seconds.
const LIFE: f64 = 57_600.0;

/// Milliseconds of the fastest of some tries.
fn ms<T>(tries: usize, mut f: impl FnMut() -> T) -> f64 {
    let mut least = f64::INFINITY;
    for _ in 0..tries {
        let began = Instant::now();
        black_box(f());
        least = least.min(began.elapsed().as_secs_f64() * 1e3);
    }
    least
}

/// What is kept, the MB on the heap that it holds, and the most that were held while it was made.
fn held<T>(make: impl FnOnce() -> T) -> (T, f64, f64) {
    HEAP.reset_peak_usage();
    let before = HEAP.current_usage() as f64;
    let made = make();
    let (now, peak) = (HEAP.current_usage() as f64, HEAP.peak_usage() as f64);
    (made, (now - before) / 1e6, (peak - before) / 1e6)
}

fn encoded<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = encode(value, &mut bytes);
    bytes
}

/// Prints all.
pub fn run(size: &Size) -> eyre::Result<()> {
    println!("size {size:?}");
    document(size)?;
    list(size);
    holder(size);
    words();
    gateway(size);
    Ok(())
}

fn document(size: &Size) -> eyre::Result<()> {
    let mut document = Document::default();
    // as after many changes: what is remembered of them is part of it
    let small = Size { servers: 1, services: 1, routes: 1, tenants: 1, ..size.clone() };
    for version in 1..=CHANGES {
        let Verdict::Take(next) = document.put(&small.config(version, version - 1)) else {
            eyre::bail!("refused")
        };
        document = next;
    }
    let body = size.config(CHANGES + 1, CHANGES);
    let put = ms(3, || document.put(&body));
    let Verdict::Take(taken) = document.put(&body) else { eyre::bail!("the configuration was refused") };
    let bytes = encoded(&taken);
    println!("document: configuration {} B, document {} B", body.len(), bytes.len());
    let places = size.places();
    let new = ms(3, || Tables::new(&taken, &places));
    let (tables, own, most) = held(|| Tables::new(&taken, &places));
    let tables = tables.map_err(|f| eyre::eyre!("{f}"))?;
    let (config, kept, _) = held(|| Config::read(&body));
    println!("judging a put {put:.1} ms; decoding the document {:.2} ms; reading the configuration {:.1} ms, it holds {kept:.2} MB",
        ms(3, || decode::<Document>(&bytes).is_ok()), ms(3, || Config::read(&body).is_ok()));
    println!(
        "tables: {new:.1} ms, they hold {own:.2} MB, while they are made {most:.2} MB; prints {:.2} ms",
        ms(3, || Part::ALL.map(|p| tables.reprint(p)))
    );
    drop(config);
    Ok(())
}

fn list(size: &Size) {
    let list = List { number: (1, 1), rows: size.rows(0) };
    let bytes = list.encode();
    println!(
        "list: {} B, {:.1} a server; encoding {:.2} ms, decoding {:.2} ms; the platform's page {} B",
        bytes.len(),
        bytes.len() as f64 / list.rows.len() as f64,
        ms(5, || list.encode()),
        ms(5, || List::decode(&bytes)),
        size.page(0).to_string().len()
    );
}

/// The customer's number, above the lowest 24 bits of a name, with its 40 bits as spread as a hash's.
fn customer(nth: usize) -> u64 {
    ((nth as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24) << 24
}

/// A charge and a lease of one customer, as a forager tells them.
fn calls(t: u64, sum: f64) -> impl Iterator<Item = (u64, f64, f64)> {
    [(t, sum, LIFE), (t | 1, 1.0, LIFE)].into_iter()
}

/// The duty holder's counters, as more gateways have told sums of each customer.
fn holder(size: &Size) {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut duty, before, _) = held(|| {
        let mut duty = Duty::default();
        duty.hold(0.0, 1);
        let counters = duty.counters().into_iter();
        counters.for_each(|c| (0..size.tenants).for_each(|t| c.quota(customer(t) >> 24, 9.0)));
        duty
    });
    duty.look(1.0, &[]);
    let seen = |g| Seen { node: 1 + g as u32, alive: true, leaving: false, gone: false };
    let gateways: Vec<Seen> = (0..size.gateways).map(seen).collect();
    duty.look(2.0, &gateways);
    println!("holder: quotas of {} customers {before:.1} MB", size.tenants);
    let (mut now, mut told, base) = (2.0, 0, HEAP.current_usage() as f64);
    for calls_each in [5, 20, 80] {
        for _ in 0..size.tenants * calls_each {
            let (g, t) = (1 + rng.u32(..size.gateways as u32), customer(rng.usize(..size.tenants.max(1))));
            now += 1e-6;
            duty.count(now, (g, 1), 1, calls(t, 1.0));
        }
        let most = 100_000;
        let each = ms(3, || {
            for i in 0..most {
                let (g, t) =
                    (1 + rng.u32(..size.gateways as u32), customer(rng.usize(..size.tenants.max(1))));
                now += 1e-6;
                black_box(duty.count(now, (g, 1), i as u64, calls(t, i as f64)));
            }
        }) * 1e3
            / f64::from(most);
        let names = duty.counters().map_or(0, |c| c.len());
        told += size.tenants * calls_each + 3 * most as usize;
        let with = (HEAP.current_usage() as f64 - base) / 1e6;
        println!("holder: {names} names after {told} calls of chance: {with:.1} MB; a call of two names {each:.2} us");
    }
    // all fall silent; then one comes back, and all customers are gone through
    let quiet: Vec<Seen> = gateways.iter().map(|g| Seen { alive: false, ..*g }).collect();
    let silent = ms(1, || (0..8).for_each(|i| drop(black_box(duty.look(now + 0.2 * f64::from(i), &quiet)))));
    let back = ms(1, || duty.counters().into_iter().for_each(|c| c.heard(now + 2.0, 1)));
    println!("holder: all gateways silent {silent:.1} ms; one back {back:.2} ms");
}

fn words() {
    let told = |t| [(customer(t), parts(1000.0), LIFE as u16), (customer(t) | 1, parts(3.0), LIFE as u16)];
    let count = Word::Count { tag: 1 << 20, incarnation: 1, calls: told(9).to_vec() };
    let counted = Word::Counted { tag: 1 << 20, round: 9, totals: vec![parts(1e4), parts(9.0)] };
    for (name, word) in [("count", count), ("counted", counted)] {
        let bytes = encoded(&word);
        let reads = ms(5, || (0..1000).for_each(|_| drop(black_box(decode::<Word>(&bytes)))));
        let writes = ms(5, || (0..1000).for_each(|_| drop(black_box(encoded(&word)))));
        println!(
            "word: {name} of two names {} B, encoding {writes:.2} us, decoding {reads:.2} us",
            bytes.len()
        );
    }
}

/// What a gateway keeps of the names that it counts, where each customer comes to it.
fn gateway(size: &Size) {
    let name = |n: usize| customer(n / 2) | (n % 2) as u64;
    let names = 2 * size.tenants;
    let (mut own, mine, _) = held(|| {
        let mut own = Own::default();
        for n in 0..names {
            own.add(1.0, name(n), 1.0, LIFE);
        }
        own
    });
    let told: Vec<_> =
        own.told(2.0).iter().map(|t| (t.name, t.sum, t.within, t.total, t.life as f32)).collect();
    let kept = told.len();
    let bytes = encoded(&Word::Told { incarnation: 1, told, epoch: 9 }).len();
    let mut rng = fastrand::Rng::with_seed(7);
    let adds = 1000;
    let each = ms(3, || {
        for _ in 0..adds {
            own.add(1.5, name(rng.usize(..names.max(1))), 1.0, LIFE);
        }
    }) * 1e3
        / f64::from(adds);
    println!("gateway: {kept} of {names} names kept, {mine:.1} MB; an add {each:.2} us; told to a new holder {bytes} B");
}
