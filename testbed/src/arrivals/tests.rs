use super::*;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(&format!("name = \"t\"\n{text}")).expect("a scenario")
}

#[test]
fn arrivals_depend_only_on_the_seed_and_bursts_raise_the_rate() {
    let settings = GatewaySettings::parse(include_str!("../../../example/config.json")).unwrap();
    let calm = scenario("duration_s = 20\ngateways = 3\n[load]\nrate = 100\n");
    let a = arrivals(&calm, &settings).unwrap();
    assert_eq!(a, arrivals(&calm, &settings).unwrap());
    assert!((1800..2200).contains(&a.len()), "{}", a.len());
    assert!((0..3).all(|g| a.iter().any(|d| d.gateway == g)));
    let burst = scenario("duration_s = 20\n[load]\nrate = 100\nbursts = [{at = 5, for = 5, times = 3}]\n");
    let b = arrivals(&burst, &settings).unwrap();
    let within = b.iter().filter(|d| (5.0..10.0).contains(&d.at)).count();
    assert!((1300..1700).contains(&within), "{within}");
    let other = scenario("seed = 2\nduration_s = 20\ngateways = 3\n[load]\nrate = 100\n");
    assert_ne!(a, arrivals(&other, &settings).unwrap());
}

#[test]
fn every_customer_keeps_its_plan() {
    let settings = GatewaySettings::parse(include_str!("../../../example/config.json")).unwrap();
    let s = scenario(
        "[load]\nrate = 200\nplans = [{name = \"free\", share = 1}, {name = \"team\", share = 1}]\n",
    );
    let a = arrivals(&s, &settings).unwrap();
    let mut plans = std::collections::BTreeMap::new();
    assert!(a.iter().all(|d| *plans.entry(d.customer).or_insert(d.plan) == d.plan));
    assert!(plans.values().any(|p| *p == 0) && plans.values().any(|p| *p == 1));
}
