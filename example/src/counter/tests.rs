use super::*;

fn add(at: SocketAddr, amount: &str) -> String {
    let mut s = TcpStream::connect(at).unwrap();
    let call = format!("*4\r\n$7\r\nCNT.ADD\r\n$1\r\nq\r\n${}\r\n{amount}\r\n$4\r\n9000\r\n", amount.len());
    s.write_all(call.as_bytes()).unwrap();
    let mut from = BufReader::new(s);
    let (mut head, mut total) = (String::new(), String::new());
    from.read_line(&mut head).unwrap();
    from.read_line(&mut total).unwrap();
    total.trim_end().to_string()
}

#[test]
fn each_side_of_a_split_goes_on_alone_and_healing_adds_the_far_sides_adds() {
    let mut c = Counter::start("127.0.0.1:0", Behaviour::Reply).unwrap();
    let far = c.add_far_address().unwrap();
    assert_eq!(add(c.addr, "2"), "2");
    assert_eq!(add(far, "1"), "3", "one counter before the split");
    c.set_split(true);
    assert_eq!(add(far, "5"), "8");
    assert_eq!(add(c.addr, "1"), "4", "the near side does not see the far side's 5");
    c.set_split(false);
    assert_eq!(add(c.addr, "0"), "9");
    assert_eq!(add(far, "0"), "9");
    c.reset_totals();
    assert_eq!(add(far, "1"), "1");
}
