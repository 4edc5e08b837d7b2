use super::*;

fn add(addr: SocketAddr, amount: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let call = format!("*4\r\n$7\r\nCNT.ADD\r\n$1\r\nq\r\n${}\r\n{amount}\r\n$4\r\n9000\r\n", amount.len());
    stream.write_all(call.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let (mut head, mut total) = (String::new(), String::new());
    reader.read_line(&mut head).unwrap();
    reader.read_line(&mut total).unwrap();
    total.trim_end().to_string()
}

#[test]
fn sides_of_a_split_are_independent_and_their_amounts_are_merged_afterwards() {
    let mut counter = Counter::start("127.0.0.1:0", Behaviour::Reply).unwrap();
    let far_addr = counter.add_far_address().unwrap();
    assert_eq!(add(counter.addr, "2"), "2");
    assert_eq!(add(far_addr, "1"), "3", "one counter before the split");
    counter.set_split(true);
    assert_eq!(add(far_addr, "5"), "8");
    assert_eq!(add(counter.addr, "1"), "4", "the near side does not see the far side's 5");
    counter.set_split(false);
    assert_eq!(add(counter.addr, "0"), "9");
    assert_eq!(add(far_addr, "0"), "9");
    counter.reset_totals();
    assert_eq!(add(far_addr, "1"), "1");
}
