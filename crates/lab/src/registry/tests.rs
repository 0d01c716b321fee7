use super::*;

#[test]
fn changes_have_versions_and_a_replacement_gets_a_new_name() {
    let mut registry = Registry::new(4, 2, None);
    assert_eq!(
        registry.entries_since(None).iter().map(|entry| entry.building).collect::<Vec<_>>(),
        [0, 0, 1, 1]
    );
    assert_eq!(registry.set(1, EndpointState::Draining, None), 2);
    assert_eq!(registry.replace(1, 77), 3);
    let changed = registry.entries_since(Some(2));
    assert_eq!(
        changed.iter().map(|entry| (entry.name.as_str(), entry.state)).collect::<Vec<_>>(),
        [("s1", EndpointState::Removed), ("s1-3", EndpointState::Serving)]
    );
    assert_eq!((registry.entries_since(None).len(), registry.entries_since(Some(3)).len()), (4, 0));
    registry.set(1, EndpointState::Draining, None);
    assert_eq!(registry.entries_since(Some(3))[0].name, "s1-3");
    let states = [1, 2, 3, 4].map(|version| registry.state(1, version));
    assert_eq!(
        states,
        [EndpointState::Serving, EndpointState::Draining, EndpointState::Serving, EndpointState::Draining]
    );
}

#[test]
fn the_write_rate_is_limited_and_a_long_backlog_rejects_requests() {
    let mut registry = Registry::new(4, 1, Some(100.0));
    assert_eq!(registry.write_list(0, 10), Some(100_000));
    assert_eq!(registry.write_list(0, 10), Some(200_000));
    assert_eq!(registry.write_list(0, 600), Some(6_200_000));
    assert_eq!((registry.write_list(0, 1), registry.entries_written), (None, 620));
    assert_eq!(registry.write_list(6_000_000, 10), Some(6_300_000));
}
