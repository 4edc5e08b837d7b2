use super::*;

#[test]
fn request_lines_become_commands() {
    assert_eq!(asked(&Method::PUT, "/lupinledge/config"), Asked::Put);
    assert_eq!(asked(&Method::GET, "/lupinledge/config"), Asked::Ready(Command::GetConfig));
    assert_eq!(asked(&Method::PATCH, "/lupinledge/config"), Asked::NoSuchMethod("GET, PUT"));
    let zone = "harju kadaka".to_string();
    let path = "/lupinledge/evacuation/harju%20kadaka";
    assert_eq!(asked(&Method::POST, path), Asked::Ready(Command::Evacuate { zone: zone.clone() }));
    assert_eq!(asked(&Method::DELETE, path), Asked::Ready(Command::Restore { zone }));
    assert_eq!(asked(&Method::POST, "/lupinledge/evacuation/%f"), Asked::Malformed("zone"));
    assert_eq!(asked(&Method::POST, "/lupinledge/evacuation/%ff"), Asked::Malformed("zone"));
    assert_eq!(asked(&Method::POST, "/lupinledge/evacuation/"), Asked::Nothing);
    assert_eq!(asked(&Method::GET, "/lupinledge/nodes"), Asked::Nodes);
    assert_eq!(asked(&Method::GET, "/other"), Asked::Nothing);
}

#[test]
fn queries_are_read_or_refused() {
    assert_eq!(of_query("name=a.b&region=h%61rju", "region"), Some(Some("harju".into())));
    assert_eq!(of_query("name=a.b", "region"), Some(None));
    assert_eq!(of_query("name=%zz&region=x", "name"), None);
    assert_eq!(of_query("", "name"), Some(None));
}
