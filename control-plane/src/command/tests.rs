use super::*;

#[test]
fn request_lines_are_routed() {
    assert_eq!(route(&Method::PUT, "/lupinledge/config"), Route::PutConfig);
    assert_eq!(route(&Method::GET, "/lupinledge/config"), Route::NoBody(Command::GetConfig));
    assert_eq!(route(&Method::PATCH, "/lupinledge/config"), Route::MethodNotAllowed("GET, PUT"));
    let zone = "harju kadaka".to_string();
    let path = "/lupinledge/evacuation/harju%20kadaka";
    assert_eq!(route(&Method::POST, path), Route::NoBody(Command::Evacuate { zone: zone.clone() }));
    assert_eq!(route(&Method::DELETE, path), Route::NoBody(Command::Restore { zone }));
    assert_eq!(route(&Method::POST, "/lupinledge/evacuation/%f"), Route::Malformed("zone"));
    assert_eq!(route(&Method::POST, "/lupinledge/evacuation/%ff"), Route::Malformed("zone"));
    assert_eq!(route(&Method::POST, "/lupinledge/evacuation/"), Route::NotFound);
    assert_eq!(route(&Method::GET, "/lupinledge/nodes"), Route::Nodes);
    assert_eq!(route(&Method::GET, "/other"), Route::NotFound);
}

#[test]
fn query_values_are_decoded_or_rejected() {
    assert_eq!(query_value("name=a.b&region=h%61rju", "region"), Some(Some("harju".into())));
    assert_eq!(query_value("name=a.b", "region"), Some(None));
    assert_eq!(query_value("name=%zz&region=x", "name"), None);
    assert_eq!(query_value("", "name"), Some(None));
}
