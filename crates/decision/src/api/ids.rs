//! Identifiers of requests, servers and everything else that events and actions name.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request, numbered by the caller; never reused within a balancer's lifetime.
    RequestId(u64),
    /// A server, numbered by the caller; stable for as long as it is the same machine.
    ServerId(u32),
    /// A request class: its index in the first [`Settings::classes`](crate::Settings::classes), or its number
    /// in [`Event::Settings`](crate::Event::Settings).
    ClassId(usize),
    /// A tenant: its index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(usize),
    /// A zone, as the endpoint list numbers them.
    ZoneId(u32),
    /// A machine type, as the endpoint list numbers them.
    MachineTypeId(u32),
    /// A cell (servers that share idempotency keys), as the endpoint list numbers them.
    CellId(u32),
    /// What a request concerns; requests for the same thing carry the same key.
    KeyId(u64),
    /// An attempt of a request, counted from 0.
    AttemptNumber(u32),
    /// A timer, numbered by the balancer.
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}
