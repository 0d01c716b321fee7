//! Identifiers used in events and actions.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// Identifies a request. The caller assigns the numbers and never reuses one for the same balancer.
    RequestId(u64),
    /// Identifies a server. The caller assigns the numbers and keeps them as long as it is the same machine.
    ServerId(u32),
    /// Identifies a request class: its index in the initial [`Settings::classes`](crate::Settings::classes),
    /// or the identifier that [`Event::Settings`](crate::Event::Settings) gives it.
    ClassId(usize),
    /// Identifies a tenant by its index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(usize),
    /// Identifies a zone, by its number in the endpoint list.
    ZoneId(u32),
    /// Identifies a machine type, by its number in the endpoint list.
    MachineTypeId(u32),
    /// Identifies a cell (servers that share idempotency keys), by its number in the endpoint list.
    CellId(u32),
    /// Identifies the object that a request concerns. Requests for the same object carry the same key.
    KeyId(u64),
    /// The number of an attempt within its request, counted from 0.
    AttemptNumber(u32),
    /// Identifies a timer. The balancer assigns the numbers.
    TimerId(u64),
    /// Identifies another balancer of the same service.
    PeerId(u32),
}
