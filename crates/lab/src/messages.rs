//! The requests and responses of clients and servers in the old and the new dialect. The messages of both dialects are generated
//! from the content of each call without the translator, and compared byte by byte with what arrives; only idempotency keys come
//! from the translator under test.

use heronhoist_translate::mixed_fleet::{self, Plan, Sides};
use heronhoist_translate::{mapping, Limits, Mapping, MessageKind, Side};
use std::rc::Rc;

/// The example mappings of the classes, with which agents translate.
const MAPPINGS: [(&str, &str); 3] = [
    ("lookup", include_str!("../../../deploy/translate/lookup.toml")),
    ("correction", include_str!("../../../deploy/translate/correction.toml")),
    ("certified-copy", include_str!("../../../deploy/translate/certified-copy.toml")),
];

/// The kinds of exchanges for which messages can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Lookup,
    Correction,
    Copy,
}

/// The content of a call and its response, from which the messages of both dialects are generated.
#[derive(Debug, Clone, Copy)]
struct ExpectedExchange {
    /// The number of the call; all fields are derived from it.
    number: u64,
}

impl ExpectedExchange {
    fn draw(self, salt: u64, bound: u64) -> u64 {
        // A multiplicative hash, so that consecutive calls differ in all fields.
        let mixed =
            (self.number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xd1b5_4a32_d192_ed03);
        (mixed.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }

    fn station(self) -> String {
        (0..4).map(|n| char::from(b'A' + self.draw(n, 26) as u8)).collect()
    }

    /// Returns day, hour and minute of a time in January 2026 in New York, when the UTC offset is always -05:00.
    fn day_hour_minute(self, salt: u64) -> (u64, u64, u64) {
        (self.draw(salt, 31) + 1, self.draw(salt + 1, 24), self.draw(salt + 2, 60))
    }

    fn desk(self) -> u64 {
        self.draw(10, 9999) + 1
    }

    /// Returns an amount of rain in hundredths of an inch (`true`) or a wind speed in tenths of a mile per hour (`false`).
    fn measure(self) -> (bool, u64) {
        (self.draw(11, 2) == 0, self.draw(12, 1500) + 1)
    }
}

/// Formats a number of units of 10^-digits as a decimal without trailing zeros.
fn decimal(units: u64, digits: usize) -> String {
    let text = format!("{units:0width$}", width = digits + 1);
    let (integer, fraction) = text.split_at(text.len() - digits);
    match fraction.trim_end_matches('0') {
        "" => integer.to_owned(),
        fraction => format!("{integer}.{fraction}"),
    }
}

const ENVELOPE: [&str; 2] = [
    "<?xml version=\"1.0\" encoding=\"iso-8859-1\"?><soap:Envelope xmlns:soap=\"http://schemas.xmlsoap.org/soap/envelope/\"><soap:Body>",
    "</soap:Body></soap:Envelope>",
];

impl ExpectedExchange {
    fn request(self, kind: Kind, side: Side) -> String {
        let station = self.station();
        match (kind, side) {
            (Kind::Lookup, _) => {
                let ((day, hour, minute), (end_day, end_hour, end_minute)) =
                    (self.day_hour_minute(20), self.day_hour_minute(30));
                let kind_index = self.draw(40, 3) as usize;
                match side {
                    Side::Old => format!(
                        "STN={station}&BEG=01%2F{day:02}%2F2026+{hour:02}%3A{minute:02}&END=01%2F{end_day:02}%2F2026+{end_hour:02}%3A{end_minute:02}&WHAT={}",
                        ["A", "W", "R"][kind_index]
                    ),
                    Side::New => format!(
                        "station={station}&from=2026-01-{day:02}T{hour:02}%3A{minute:02}%3A00-05%3A00&to=2026-01-{end_day:02}T{end_hour:02}%3A{end_minute:02}%3A00-05%3A00&kind={}",
                        ["all", "wind", "rain"][kind_index]
                    ),
                }
            }
            (Kind::Correction, _) => {
                let ((day, hour, minute), (rain, units), desk) =
                    (self.day_hour_minute(20), self.measure(), self.desk());
                let (number, urgent) = (self.number + 1, self.draw(41, 2) == 0);
                match (side, rain) {
                    (Side::Old, _) => format!(
                        "DESK={desk:04}&NUM={number}&STN={station}&OBSDT=202601{day:02}{hour:02}{minute:02}&WHAT={}&URGENT={}&CLERK=Ann",
                        if rain { format!("R&RAIN={}", decimal(units, 2)) } else { format!("W&WIND={}", decimal(units, 1)) },
                        if urgent { "Y" } else { "N" },
                    ),
                    (Side::New, _) => format!(
                        "{{\"reference\":\"{desk:04}-{number}\",\"station\":\"{station}\",\
                         \"observed_at\":\"2026-01-{day:02}T{hour:02}:{minute:02}:00-05:00\",{},\"urgent\":{urgent},\"clerk\":\"Ann\",\"schema\":2}}",
                        // An inch is exactly 25.4 mm, a mile per hour exactly 0.44704 m/s.
                        if rain {
                            format!("\"quantity\":\"rain\",\"rain_mm\":{}", decimal(units * 254, 3))
                        } else {
                            format!("\"quantity\":\"wind\",\"wind_m_s\":{}", decimal(units * 44_704, 6))
                        }
                    ),
                }
            }
            (Kind::Copy, _) => {
                let (case, copies, sealed) = (self.number + 1, self.draw(42, 50) + 1, self.draw(43, 2) == 0);
                let (first, last, role) =
                    (self.draw(44, 28) + 1, self.draw(45, 28) + 1, self.draw(46, 3) as usize);
                match side {
                    Side::Old => format!(
                        "{}<m:OrderCopies xmlns:m=\"urn:desk:copies:1\"><CaseNo>{case}</CaseNo><Station>{station}</Station>\
                         <FirstDay>{first:02}.01.2026</FirstDay><LastDay>{last:02}.02.2026</LastDay><Copies>{copies}</Copies>\
                         <Sealed>{}</Sealed><Court><Name>Tampa</Name></Court><Party><Name>Ann</Name><Role>{}</Role></Party>\
                         </m:OrderCopies>{}",
                        ENVELOPE[0],
                        if sealed { "yes" } else { "no" },
                        ["P", "D", "W"][role],
                        ENVELOPE[1]
                    ),
                    Side::New => format!(
                        "{{\"case\":\"{case}\",\"station\":\"{station}\",\"period\":{{\"first\":\"2026-01-{first:02}\",\
                         \"last\":\"2026-02-{last:02}\"}},\"copies\":{copies},\"sealed\":{sealed},\"court\":{{\"name\":\"Tampa\"}},\
                         \"parties\":[{{\"name\":\"Ann\",\"role\":\"{}\"}}],\"language\":\"en\"}}",
                        ["plaintiff", "defendant", "witness"][role]
                    ),
                }
            }
        }
    }

    fn response(self, kind: Kind, side: Side) -> String {
        let (day, hour, minute) = self.day_hour_minute(50);
        match (kind, side) {
            (Kind::Lookup, Side::Old) => {
                let fahrenheit = 32 + 9 * self.draw(51, 12);
                format!("H|{}|Tampa|\r\nOBS|01/{day:02}/2026 {hour:02}:{minute:02}:09|{fahrenheit}|||G|\r\nT|2\r\n", self.station())
            }
            (Kind::Lookup, Side::New) => format!(
                "{{\"station\":{{\"id\":\"{}\",\"name\":\"Tampa\"}},\"observations\":[{{\"at\":\"2026-01-{day:02}T{hour:02}:{minute:02}:09-05:00\",\
                 \"temperature_c\":{},\"quality\":\"good\"}}]}}",
                self.station(),
                5 * self.draw(51, 12)
            ),
            (Kind::Correction, Side::Old) => {
                format!("H|OK|{}|202601{day:02}{hour:02}{minute:02}09\r\nT|1\r\n", self.draw(52, 1000) + 1)
            }
            (Kind::Correction, Side::New) => format!(
                "{{\"status\":\"applied\",\"revision\":{},\"applied_at\":\"2026-01-{day:02}T{hour:02}:{minute:02}:09-05:00\"}}",
                self.draw(52, 1000) + 1
            ),
            (Kind::Copy, Side::Old) => format!(
                "{}<m:OrderCopiesResponse xmlns:m=\"urn:desk:copies:1\"><OrderNo>{}</OrderNo><Pages>{}</Pages>\
                 <Fee>{}.00</Fee><Ready>{day:02}.01.2026</Ready></m:OrderCopiesResponse>{}",
                ENVELOPE[0],
                self.number + 1,
                self.draw(53, 90) + 1,
                self.draw(54, 90) + 1,
                ENVELOPE[1]
            ),
            (Kind::Copy, Side::New) => format!(
                "{{\"order\":{},\"pages\":{},\"fee\":{{\"amount\":{}.00,\"currency\":\"USD\"}},\"ready_on\":\"2026-01-{day:02}\"}}",
                self.number + 1,
                self.draw(53, 90) + 1,
                self.draw(54, 90) + 1
            ),
        }
    }
}

/// Generates and checks the messages of a run.
pub struct MessageCorpus {
    /// The kind of exchange and the mapping, by index of the class.
    classes: Vec<(Kind, Rc<Mapping>)>,
}

/// The request of a client, and its translation by the agent.
#[derive(Debug, Clone)]
pub struct EncodedRequest {
    /// The dialect of the client.
    pub side: Side,
    /// The request in the dialect of the client.
    original: Vec<u8>,
    plan: Plan,
}

impl EncodedRequest {
    /// Returns the dialects in which the request may be sent.
    pub fn sides(&self) -> Sides {
        self.plan.sides
    }

    /// Returns the request in a dialect; `None` if it must not be sent in that dialect.
    pub fn message(&self, side: Side) -> Option<&[u8]> {
        if side == self.side {
            return Some(&self.original);
        }
        self.plan.translated.as_deref()
    }

    /// Injects a bug: new servers get a key that differs from the one derived from the old fields.
    pub fn corrupt_key(&mut self) {
        self.plan.key.iter_mut().for_each(|key| key.push('x'));
    }

    /// Injects a bug: the last digit of the translated request is changed.
    pub fn corrupt_field(&mut self) {
        let digits = self.plan.translated.iter_mut().flatten().rev();
        if let Some(digit) = digits.into_iter().find(|byte| byte.is_ascii_digit()) {
            *digit = b'0' + (*digit - b'0' + 1) % 10;
        }
    }

    /// Returns the idempotency key that is sent to new servers.
    pub fn key(&self) -> Option<&str> {
        self.plan.key.as_deref()
    }
}

impl MessageCorpus {
    /// Loads the mappings of the classes with these names. The error is the name of the first class without a mapping.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Result<MessageCorpus, String> {
        let kinds = [Kind::Lookup, Kind::Correction, Kind::Copy];
        let classes = classes.map(|name| {
            let index = MAPPINGS.iter().position(|(known, _)| *known == name).ok_or(name)?;
            let mapping = mapping::read(MAPPINGS[index].1).map_err(|_| name)?;
            Ok((kinds[index], Rc::new(mapping)))
        });
        let classes: Result<Vec<_>, &str> = classes.collect();
        classes.map(|classes| MessageCorpus { classes }).map_err(str::to_owned)
    }

    /// Generates the request of a client with dialect `side`, and translates it as the agent does for servers with the dialects
    /// `serving`; `None` if it cannot be sent. A new client uses the key derived from the old fields, or with `own_key` a
    /// different one.
    pub fn encode_request(
        &self,
        class: usize,
        call: usize,
        side: Side,
        own_key: bool,
        serving: Sides,
    ) -> Option<EncodedRequest> {
        let (kind, mapping) = &self.classes[class];
        let original = ExpectedExchange { number: call as u64 }.request(*kind, side).into_bytes();
        let plan = match side {
            Side::Old => {
                let message = mapping.old.decode(MessageKind::Request, &original, Limits::default()).ok()?;
                mixed_fleet::plan_old_request(mapping, &message, serving).ok()?
            }
            Side::New => {
                let key = match (mapping.has_keys(), own_key) {
                    (false, _) => None,
                    (true, true) => Some(format!("own-{call}")),
                    (true, false) => self.key_from_old_fields(class, call),
                };
                mixed_fleet::plan_new_request(mapping, &original, key.as_deref(), serving)
            }
        };
        Some(EncodedRequest { side, original, plan })
    }

    fn key_from_old_fields(&self, class: usize, call: usize) -> Option<String> {
        let (kind, mapping) = &self.classes[class];
        let old = ExpectedExchange { number: call as u64 }.request(*kind, Side::Old);
        mapping.idempotency_key(
            &mapping.old.decode(MessageKind::Request, old.as_bytes(), Limits::default()).ok()?,
        )
    }

    /// Returns the key by which a server with dialect `side` recognizes repeats of a request. Old servers derive it from the
    /// fields.
    pub fn key_at_server(
        &self,
        class: usize,
        side: Side,
        request: &[u8],
        key: Option<&str>,
    ) -> Option<String> {
        let mapping = &self.classes[class].1;
        match side {
            Side::New => key.map(str::to_owned),
            Side::Old => mapping
                .idempotency_key(&mapping.old.decode(MessageKind::Request, request, Limits::default()).ok()?),
        }
    }

    /// Returns whether the request that a server received is the expected one, byte by byte.
    pub fn is_expected_request(&self, class: usize, call: usize, side: Side, request: &[u8]) -> bool {
        ExpectedExchange { number: call as u64 }.request(self.classes[class].0, side).as_bytes() == request
    }

    /// Generates the response of a server.
    pub fn response(&self, class: usize, call: usize, side: Side) -> Vec<u8> {
        ExpectedExchange { number: call as u64 }.response(self.classes[class].0, side).into_bytes()
    }

    /// Translates a response for a client of the other dialect as the agent does; `None` if it cannot be expressed there.
    pub fn translate_response(&self, class: usize, from: Side, response: &[u8]) -> Option<Vec<u8>> {
        mixed_fleet::translate_response(&self.classes[class].1, from, response).ok().map(|(bytes, _)| bytes)
    }

    /// Returns whether the response that a client received is the expected one, byte by byte.
    pub fn is_expected_response(&self, class: usize, call: usize, side: Side, response: &[u8]) -> bool {
        self.response(class, call, side) == response
    }
}

#[cfg(test)]
mod tests;
