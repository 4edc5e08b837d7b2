//! Words as bytes: back and forth, and from any bytes.

use lupinledge_membership::{Body, Card, Digest, Packet, Patch, Rumour, Standing};
use lupinledge_messaging::list::{ServerEntry, ServerList};
use lupinledge_messaging::{
    clock::ClockEstimate, decode, encode, to_fixed, NameReport, NameTotal, Patched, WireMessage,
};

fn bytes(word: &WireMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(word, &mut bytes).unwrap();
    bytes
}

fn card() -> Card {
    let (region, zone) = ("shymkent".to_owned(), "shy-bostandyk".to_owned());
    let client_address = Some(([10, 3, 0, 22], 8389).into());
    Card {
        core: false,
        region,
        zone,
        client_address,
        control_address: None,
        ready: true,
        leaving: false,
        drift: None,
        load: 9,
    }
}

fn packet(rumours: usize) -> Packet {
    let digest = Digest {
        epoch: 900,
        holder: 167903232,
        state: (900, 70),
        list: (900, 4000),
        fingerprint: 0x01ab_cdef,
    };
    let rumour = |i| Rumour {
        node: 167903232 + i as u32,
        incarnation: 1_760_000_000_000_000,
        refutations: 300,
        standing: Standing::Alive,
        age: 0,
        card: Some((2, card())),
    };
    Packet {
        from: 167903233,
        incarnation: 1_760_000_000_000_000,
        refutations: 3,
        load: 700,
        digest,
        card: None,
        body: Body::Ping { sequence: 3_000_000_000 },
        rumours: (0..rumours).map(rumour).collect(),
    }
}

#[test]
fn packets_are_as_short_as_estimated() {
    let bare = bytes(&WireMessage::Probe(packet(0))).len();
    assert!(bare <= 75, "{bare}");
    let with = bytes(&WireMessage::Probe(packet(10))).len();
    // what `lupinledge-membership` reckons: 28 a rumour, 53 a card besides its names
    assert!(with - bare <= 10 * (28 + 53 + 21), "{with}");
}

fn patch(base: Option<u128>) -> Patch {
    Patch { base, result: 5 << 90 | 3, len: 7, bytes: [1, 2, 3].into() }
}

#[test]
fn patches_come_back_as_they_went() {
    for base in [None, Some(1), Some(1 << 64), Some(u128::MAX)] {
        let sent: Patched = patch(base).into();
        assert_eq!(Patch::from(sent), patch(base));
    }
}

fn name(store: Option<(f64, f32)>) -> NameReport {
    NameReport { name: 5, sum: 2.0, within: 1.0, total: 7.0, life: 8.0, store }
}

#[test]
fn back_and_forth() {
    let words = [
        WireMessage::Probe(packet(3)),
        WireMessage::Fetch(packet(0).digest),
        WireMessage::Update {
            digest: packet(0).digest,
            state: Some(((1, 2), vec![1, 2, 3].into())),
            list: Some(((1, 2), vec![0; 300].into())),
        },
        WireMessage::Patches {
            digest: packet(0).digest,
            state: Some(((1, 2), patch(Some(u128::MAX - 7)).into())),
            list: Some(((1, 2), patch(None).into())),
        },
        WireMessage::CounterSums { tag: 1, incarnation: 9, calls: vec![(5, 16, 8)] },
        WireMessage::NewHolder { epoch: 4 },
        WireMessage::CounterReport {
            incarnation: 9,
            told: vec![name(None), name(Some((2.0, 0.5)))],
            epoch: 4,
            part: (0, 1),
        },
        WireMessage::Totals { tag: 1, round: 3, totals: vec![] },
        WireMessage::Totals { tag: 1, round: 3, totals: vec![NameTotal(5, None), NameTotal(5, Some(-3))] },
        WireMessage::ClockReply { sent: 1.0, hive: 2.0 },
    ];
    for word in words {
        let first = bytes(&word);
        let again: WireMessage = decode(&first).unwrap();
        assert_eq!(bytes(&again), first);
        let cut = &first[..first.len() - 1];
        assert!(decode::<WireMessage>(cut).is_err());
        assert!(decode::<WireMessage>(&[&first[..], &[0]].concat()).is_err());
    }
    let row = ServerEntry {
        id: "srv-1".into(),
        service: "plans".into(),
        address: ([10, 1, 0, 7], 9000).into(),
        zone: "alm-medeu".into(),
        slots: 8,
        draining: false,
        warmup_left_s: 1.5,
    };
    let list = ServerList { number: (3, 9), rows: vec![row] };
    assert_eq!(ServerList::decode(&list.encode()), Some(list));
}

/// The same numbers in each run.
struct Chance(u64);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0 =
            (self.0 ^ (self.0 >> 29)).wrapping_mul(0xd129_42e3_8a8b_91c5).wrapping_add(0x9e37_79b9_7f4a_7c15);
        (self.0 >> 33) as usize % n
    }
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    bolero::check!().exhaustive().with_generator(0u64..20_000).for_each(|seed| {
        let mut chance = Chance(*seed);
        let mut bytes: Vec<u8> = (0..chance.below(256)).map(|_| chance.below(256) as u8).collect();
        if chance.below(2) == 0 && bytes.len() > 2 {
            // begins as a word does
            bytes[..3].copy_from_slice(&[0x81, 0xa1, b"pqwnctki"[chance.below(8)]]);
        }
        let _ = decode::<WireMessage>(&bytes);
        let _ = ServerList::decode(&bytes);
    });
}

#[test]
fn spoiled_words_are_read_without_a_panic() {
    let good = [
        bytes(&WireMessage::Probe(packet(2))),
        bytes(&WireMessage::CounterSums { tag: 1, incarnation: 9, calls: vec![(5, 16, 8); 4] }),
    ];
    bolero::check!().exhaustive().with_generator(0u64..10_000).for_each(|seed| {
        let mut chance = Chance(*seed);
        let mut bytes = good[chance.below(2)].clone();
        for _ in 0..2 {
            let at = chance.below(bytes.len());
            bytes[at] = chance.below(256) as u8;
        }
        if let Ok(WireMessage::Probe(packet)) = decode::<WireMessage>(&bytes) {
            let set = lupinledge_membership::Settings::new(1, 1, card(), vec![2], 1);
            let mut swarm = lupinledge_membership::Membership::new(0.0, set);
            swarm.receive(0.1, packet);
            swarm.tick(0.5);
        }
    });
}

#[test]
fn the_shortest_way_counts() {
    let mut clock = ClockEstimate::default();
    assert_eq!(clock.remote_time(1.0), None);
    clock.sample(10.0, 110.3, 11.0);
    clock.sample(12.0, 112.05, 12.1);
    clock.sample(13.0, 113.9, 14.0);
    clock.sample(20.0, 1.0, 19.0);
    assert!(clock.remote_time(15.0).is_some_and(|t| (t - 115.0).abs() < 1e-9));
    assert!(clock.max_error().is_some_and(|w| (w - 0.05).abs() < 1e-9));
    // it falls out of the last 8
    (0..8).for_each(|i| clock.sample(20.0 + f64::from(i), 121.0 + f64::from(i), 20.5 + f64::from(i)));
    assert!(clock.remote_time(30.0).is_some_and(|t| (t - 130.75).abs() < 1e-9));
}

/// An answer counts only to what this start of the process asked lately, however often it comes.
#[test]
fn a_clock_is_asked_for() {
    use lupinledge_messaging::clock::SentRequests;
    let mut asked = SentRequests::default();
    assert!(!asked.contains(0.25), "an earlier start's");
    (0..40).for_each(|i| asked.add(f64::from(i) / 4.0));
    assert!(asked.contains(9.75) && asked.contains(9.75) && asked.contains(2.0));
    assert!(!asked.contains(1.75) && !asked.contains(9.8), "too old, and nobody's");
}

/// What customers' requests cost between the processes: a charge and a lease, and their totals.
#[test]
fn a_request_is_counted_in_few_bytes() {
    let name = 0x00ab_cdef_0123_4567;
    let calls = vec![(name, to_fixed(700.0), 60), (name + 1, to_fixed(12.0), 4)];
    let asked =
        bytes(&WireMessage::CounterSums { tag: 50_000 << 16 | 9000, incarnation: 50_000, calls }).len();
    let told = bytes(&WireMessage::Totals {
        tag: 50_000 << 16 | 9000,
        round: 1,
        totals: vec![NameTotal(to_fixed(4000.0), Some(to_fixed(12.0))), NameTotal(to_fixed(90.0), None)],
    })
    .len();
    assert!(asked <= 45 && told <= 24, "{asked}, {told}");
    for units in [0.0, -3.0, 1.0, 12_345.0, 0.5, 1e9] {
        assert_eq!(lupinledge_messaging::from_fixed(to_fixed(units)), units);
    }
}
