//! Encoding and decoding of messages, also from arbitrary bytes.

use lupinledge_membership::{Body, Card, Digest, Packet, Patch, Rumour, Standing};
use lupinledge_messaging::list::{ListedServer, ServerList};
use lupinledge_messaging::{
    clock::ClockEstimate, decode, encode, to_fixed, NameReport, NameTotal, WireMessage, WirePatch,
};

fn encoded(message: &WireMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).unwrap();
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
fn packets_are_no_longer_than_estimated() {
    let without_rumours = encoded(&WireMessage::Probe(packet(0))).len();
    assert!(without_rumours <= 75, "{without_rumours}");
    let with_rumours = encoded(&WireMessage::Probe(packet(10))).len();
    // The estimates of `lupinledge-membership`: 28 bytes per rumour, 53 per card besides its names.
    assert!(with_rumours - without_rumours <= 10 * (28 + 53 + 21), "{with_rumours}");
}

fn patch(base: Option<u128>) -> Patch {
    Patch { base, result: 5 << 90 | 3, len: 7, bytes: [1, 2, 3].into() }
}

#[test]
fn patches_survive_conversion() {
    for base in [None, Some(1), Some(1 << 64), Some(u128::MAX)] {
        let sent: WirePatch = patch(base).into();
        assert_eq!(Patch::from(sent), patch(base));
    }
}

fn name_report(store: Option<(f64, f32)>) -> NameReport {
    NameReport { name: 5, sum: 2.0, within: 1.0, total: 7.0, life: 8.0, store }
}

#[test]
fn messages_survive_encoding_and_decoding() {
    let messages = [
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
            told: vec![name_report(None), name_report(Some((2.0, 0.5)))],
            epoch: 4,
            part: (0, 1),
        },
        WireMessage::Totals { tag: 1, round: 3, totals: vec![] },
        WireMessage::Totals { tag: 1, round: 3, totals: vec![NameTotal(5, None), NameTotal(5, Some(-3))] },
        WireMessage::ClockReply { sent: 1.0, hive: 2.0 },
    ];
    for message in messages {
        let original = encoded(&message);
        let decoded: WireMessage = decode(&original).unwrap();
        assert_eq!(encoded(&decoded), original);
        let truncated = &original[..original.len() - 1];
        assert!(decode::<WireMessage>(truncated).is_err());
        assert!(decode::<WireMessage>(&[&original[..], &[0]].concat()).is_err());
    }
    let row = ListedServer {
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

/// A generator of the same pseudorandom numbers in each run.
struct Rng(u64);

impl Rng {
    fn below(&mut self, n: usize) -> usize {
        self.0 =
            (self.0 ^ (self.0 >> 29)).wrapping_mul(0xd129_42e3_8a8b_91c5).wrapping_add(0x9e37_79b9_7f4a_7c15);
        (self.0 >> 33) as usize % n
    }
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    bolero::check!().exhaustive().with_generator(0u64..20_000).for_each(|seed| {
        let mut rng = Rng(*seed);
        let mut bytes: Vec<u8> = (0..rng.below(256)).map(|_| rng.below(256) as u8).collect();
        if rng.below(2) == 0 && bytes.len() > 2 {
            // Begins like an encoded message.
            bytes[..3].copy_from_slice(&[0x81, 0xa1, b"pqwnctki"[rng.below(8)]]);
        }
        let _ = decode::<WireMessage>(&bytes);
        let _ = ServerList::decode(&bytes);
    });
}

#[test]
fn decoding_corrupted_messages_does_not_panic() {
    let valid = [
        encoded(&WireMessage::Probe(packet(2))),
        encoded(&WireMessage::CounterSums { tag: 1, incarnation: 9, calls: vec![(5, 16, 8); 4] }),
    ];
    bolero::check!().exhaustive().with_generator(0u64..10_000).for_each(|seed| {
        let mut rng = Rng(*seed);
        let mut bytes = valid[rng.below(2)].clone();
        for _ in 0..2 {
            let at = rng.below(bytes.len());
            bytes[at] = rng.below(256) as u8;
        }
        if let Ok(WireMessage::Probe(packet)) = decode::<WireMessage>(&bytes) {
            let settings = lupinledge_membership::Settings::new(1, 1, card(), vec![2], 1);
            let mut membership = lupinledge_membership::Membership::new(0.0, settings);
            membership.receive(0.1, packet);
            membership.tick(0.5);
        }
    });
}

#[test]
fn the_sample_with_the_shortest_round_trip_is_used() {
    let mut clock = ClockEstimate::default();
    assert_eq!(clock.remote_time(1.0), None);
    clock.sample(10.0, 110.3, 11.0);
    clock.sample(12.0, 112.05, 12.1);
    clock.sample(13.0, 113.9, 14.0);
    clock.sample(20.0, 1.0, 19.0);
    assert!(clock.remote_time(15.0).is_some_and(|t| (t - 115.0).abs() < 1e-9));
    assert!(clock.max_error().is_some_and(|w| (w - 0.05).abs() < 1e-9));
    // The best sample is no longer among the last 8.
    (0..8).for_each(|i| clock.sample(20.0 + f64::from(i), 121.0 + f64::from(i), 20.5 + f64::from(i)));
    assert!(clock.remote_time(30.0).is_some_and(|t| (t - 130.75).abs() < 1e-9));
}

/// A reply counts only if it belongs to one of the last requests of this start of the process, however often
/// it arrives.
#[test]
fn clock_replies_match_recent_requests() {
    use lupinledge_messaging::clock::SentRequests;
    let mut requests = SentRequests::default();
    assert!(!requests.contains(0.25), "request of an earlier start");
    (0..40).for_each(|i| requests.add(f64::from(i) / 4.0));
    assert!(requests.contains(9.75) && requests.contains(9.75) && requests.contains(2.0));
    assert!(!requests.contains(1.75) && !requests.contains(9.8), "too old, and never sent");
}

/// The messages for one customer request: a charge and a lease, and their totals.
#[test]
fn counting_a_request_takes_few_bytes() {
    let name = 0x00ab_cdef_0123_4567;
    let calls = vec![(name, to_fixed(700.0), 60), (name + 1, to_fixed(12.0), 4)];
    let request_bytes =
        encoded(&WireMessage::CounterSums { tag: 50_000 << 16 | 9000, incarnation: 50_000, calls }).len();
    let reply_bytes = encoded(&WireMessage::Totals {
        tag: 50_000 << 16 | 9000,
        round: 1,
        totals: vec![NameTotal(to_fixed(4000.0), Some(to_fixed(12.0))), NameTotal(to_fixed(90.0), None)],
    })
    .len();
    assert!(request_bytes <= 45 && reply_bytes <= 24, "{request_bytes}, {reply_bytes}");
    for value in [0.0, -3.0, 1.0, 12_345.0, 0.5, 1e9] {
        assert_eq!(lupinledge_messaging::from_fixed(to_fixed(value)), value);
    }
}
