use super::*;

#[test]
fn an_interval_contains_the_mean_and_narrows_with_more_values() {
    let values = |n: u64| (0..n).map(|i| (i % 5) as f64).collect::<Vec<_>>();
    let (few, many) = (interval(&values(10)).unwrap(), interval(&values(1000)).unwrap());
    assert_eq!((few.mean, many.mean), (2.0, 2.0));
    assert!(few.low < 2.0 && 2.0 < few.high && few.high - few.low > 3.0 * (many.high - many.low));
    assert_eq!(interval(&[]), None);
    assert_eq!(interval(&values(10)), interval(&values(10)), "the bootstrap uses a fixed seed");
}
