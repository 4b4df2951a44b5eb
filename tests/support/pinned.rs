//! Pinned expectations in fixtures. Each line holds a group and a name (`group/name`), then the expected value.

/// Returns the lines of a group in a fixture.
pub fn pinned<'a>(fixture: &'a str, group: &str) -> Vec<&'a str> {
    let of_group = |line: &&str| line.split_once('/').is_some_and(|(g, _)| g == group);
    fixture.lines().filter(of_group).collect()
}

/// Returns the expected value on a line of a fixture.
pub fn expected(line: &str) -> &str {
    line.split_once(' ').expect("a name and a value").1
}

/// Asserts that a group of a fixture has exactly these names and values, in this order.
pub fn assert_pinned(fixture: &str, group: &str, actual: &[(&str, String)]) {
    let actual = actual
        .iter()
        .map(|(name, value)| format!("{group}/{name} {value}"));
    let actual: Vec<String> = actual.inspect(|line| println!("{line}")).collect();
    assert_eq!(actual, pinned(fixture, group));
}

/// Formats bytes as lowercase hexadecimal digits, as in the fixtures.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Parses bytes from the hexadecimal digits of a fixture.
pub fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let pair = |pair: &[u8]| std::str::from_utf8(pair).expect("two digits").to_owned();
    let byte = |digits: String| u8::from_str_radix(&digits, 16).expect("hexadecimal digits");
    digits.map(pair).map(byte).collect()
}
