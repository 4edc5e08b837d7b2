use super::*;
use lupinledge_membership::Card;

fn edge(n: u8, region: &str) -> Member {
    let client_address = Some(SocketAddr::from(([10, 0, 0, n], 80)));
    let (region, zone) = (region.to_string(), "z".to_string());
    let card = Card {
        core: false,
        region,
        zone,
        client_address,
        control_address: None,
        ready: true,
        leaving: false,
        drift: None,
        load: 0,
    };
    let (standing, digest) = (Standing::Alive, Default::default());
    Member { node: u32::from(n), incarnation: 1, card, standing, since: 0.0, last_received: 0.0, digest }
}

/// Selected gateways are alive, ready and not leaving, in the client's region if it has two; with more than fit into
/// one answer, successive answers differ.
#[test]
fn gateways_that_take_clients_are_selected() {
    let mut all: Vec<Member> = (1..=8).map(|n| edge(n, if n <= 3 { "near" } else { "far" })).collect();
    let selected = |all: &[Member], region: &str| {
        let gateway_addresses = Directory::default().gateway_addresses(all.iter(), region, None);
        let last = |f: &SocketAddr| f.ip().to_string().rsplit('.').next().map(|n| n.parse::<u8>().unwrap());
        gateway_addresses.iter().filter_map(last).collect::<Vec<_>>()
    };
    assert_eq!(selected(&all, "near"), [1, 2, 3]);
    assert_eq!(selected(&all, "elsewhere"), [1, 2, 3, 4, 5, 6, 7, 8]);
    (all[0].card.leaving, all[3].card.ready, all[4].card.core) = (true, false, true);
    (all[5].standing, all[6].standing, all[7].card.client_address) =
        (Standing::Gone, Standing::Suspect, None);
    assert_eq!(selected(&all, "near"), [2, 3]);
    all[1].standing = Standing::Suspect;
    assert_eq!(selected(&all, "near"), [3], "one gateway in the region is too few, but no other is alive");
    all[2].standing = Standing::Suspect;
    assert_eq!(selected(&all, "near"), [2, 3], "suspected gateways are used if none is alive");
    let many: Vec<Member> = (1..=100).map(|n| edge(n, "near")).collect();
    let directory = Directory::default();
    let both = [
        directory.gateway_addresses(many.iter(), "near", None),
        directory.gateway_addresses(many.iter(), "near", None),
    ];
    assert!(both.iter().all(|b| b.len() == 64) && both[0][63] != both[1][63] && both[0][0] != both[1][0]);
}

/// With a single gateway left in the region, clients of a host with home regions also get the gateways of these, and
/// others only if there is none.
#[test]
fn clients_get_gateways_in_the_home_regions_of_a_host() {
    let regions = ["near", "near", "home", "home", "away", "away"];
    let mut all: Vec<Member> = regions.iter().zip(1..).map(|(region, n)| edge(n, region)).collect();
    let homes = BTreeSet::from(["near".to_string(), "home".to_string()]);
    let selected = |all: &[Member], region: &str| {
        let gateway_addresses = Directory::default().gateway_addresses(all.iter(), region, Some(&homes));
        gateway_addresses.iter().map(|f| f.ip().to_string()).collect::<Vec<_>>()
    };
    let ips = |ns: &[u8]| ns.iter().map(|n| format!("10.0.0.{n}")).collect::<Vec<_>>();
    assert_eq!(selected(&all, "near"), ips(&[1, 2]));
    all[0].card.leaving = true;
    assert_eq!(selected(&all, "near"), ips(&[2, 3, 4]));
    assert_eq!(selected(&all, "away"), ips(&[5, 6]));
    all[4].card.ready = false;
    assert_eq!(selected(&all, "away"), ips(&[2, 3, 4, 6]));
    for at in [1, 2, 3] {
        all[at].card.ready = false;
    }
    assert_eq!(
        selected(&all, "near"),
        ips(&[6]),
        "a gateway outside the home regions is used if there is no other"
    );
}
