use super::*;

fn convert_and_round(value: &str, from: &str, to: &str, digits: u32) -> (String, bool) {
    let (from, to) = (find(from).unwrap(), find(to).unwrap());
    let (value, lost) =
        convert(value.parse().unwrap(), from, to).unwrap().round(digits, Rounding::HalfEven).unwrap();
    (value.normalize().to_string(), lost)
}

#[test]
fn units_convert_by_their_defined_ratios() {
    assert_eq!(convert_and_round("1", "in", "mm", 1), ("25.4".into(), false));
    assert_eq!(convert_and_round("1", "mi", "m", 3), ("1609.344".into(), false));
    assert_eq!(convert_and_round("1", "mi/h", "m/s", 5), ("0.44704".into(), false));
    assert_eq!(convert_and_round("9", "kn", "m/s", 2), ("4.63".into(), false));
    assert_eq!(convert_and_round("1", "kn", "m/s", 4), ("0.5144".into(), true));
    assert_eq!(convert_and_round("32", "degF", "degC", 2), ("0".into(), false));
    assert_eq!(convert_and_round("-40", "degC", "degF", 2), ("-40".into(), false));
    assert_eq!(convert_and_round("100", "degF", "degC", 1), ("37.8".into(), true));
    assert_eq!(
        convert_and_round("1000000000000000000", "nmi", "m", 0),
        ("1852000000000000000000".into(), false)
    );
}

#[test]
fn ties_are_rounded_as_requested() {
    let half = |text: &str, rounding| {
        Ratio::from_decimal(text.parse().unwrap()).unwrap().round(0, rounding).unwrap().0
    };
    assert_eq!(half("2.5", Rounding::HalfEven), Decimal::from(2));
    assert_eq!(half("-3.5", Rounding::HalfEven), Decimal::from(-4));
    assert_eq!(half("-2.5", Rounding::HalfUp), Decimal::from(-3));
    assert_eq!(half("-2.9", Rounding::Down), Decimal::from(-2));
}

#[test]
fn exact_digits_counts_the_digits_that_suffice() {
    let digits = |from, to, digits| exact_digits(find(from).unwrap(), find(to).unwrap(), digits);
    assert_eq!(digits("in", "mm", 2), Some(3));
    assert_eq!(digits("mi/h", "m/s", 1), Some(6));
    assert_eq!(digits("kn", "m/s", 0), None);
    assert_eq!(digits("degF", "degC", 0), None);
    assert_eq!(digits("degC", "degF", 1), Some(2));
}
