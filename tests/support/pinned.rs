//! What is pinned stands in a fixture, one line each: a group and a name, and what is expected.

/// The lines of a group in a fixture.
pub fn pinned<'a>(fixture: &'a str, group: &str) -> Vec<&'a str> {
    let of_group = |line: &&str| line.split_once('/').is_some_and(|(g, _)| g == group);
    fixture.lines().filter(of_group).collect()
}

/// What a line of a fixture expects.
pub fn expected(line: &str) -> &str {
    line.split_once(' ').expect("a name before it").1
}

/// A group in a fixture has these names with these expectations, in this order, and no others.
pub fn assert_pinned(fixture: &str, group: &str, made: &[(&str, String)]) {
    let made = made.iter().map(|(name, is)| format!("{group}/{name} {is}"));
    let made: Vec<String> = made.inspect(|line| println!("{line}")).collect();
    assert_eq!(made, pinned(fixture, group));
}

/// Bytes as the fixtures have them.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The bytes that stand in a fixture.
pub fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let pair = |pair: &[u8]| std::str::from_utf8(pair).expect("two digits").to_owned();
    let byte = |two: String| u8::from_str_radix(&two, 16).expect("hexadecimal digits");
    digits.map(pair).map(byte).collect()
}
