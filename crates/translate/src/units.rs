//! Units and exact conversion between them.
//!
//! A unit is a ratio of whole numbers and an offset to the SI unit of its dimension, so that nothing is rounded but the
//! last step, and that only as the mapping says. Ratios are those of the 1959 yard and pound agreement (1 in = 25.4 mm,
//! 1 mi = 1609.344 m) and of the international nautical mile (1852 m).

use rust_decimal::Decimal;

/// A unit that mapping files may name.
#[derive(Debug, PartialEq, Eq)]
pub struct Unit {
    /// Its symbol, as files have it.
    pub symbol: &'static str,
    /// What it measures; only units of one dimension convert.
    pub dimension: &'static str,
    /// SI units in `per` of these: how many,
    times: i128,
    /// and the number that it is divided by.
    per: i128,
    /// Added before the ratio, in hundredths of this unit.
    offset: i128,
}

const fn unit(symbol: &'static str, dimension: &'static str, times: i128, per: i128, offset: i128) -> Unit {
    Unit { symbol, dimension, times, per, offset }
}

/// All units.
pub const UNITS: &[Unit] = &[
    unit("m", "length", 1, 1, 0),
    unit("mm", "length", 1, 1000, 0),
    unit("cm", "length", 1, 100, 0),
    unit("km", "length", 1000, 1, 0),
    unit("in", "length", 127, 5000, 0),
    unit("ft", "length", 381, 1250, 0),
    unit("mi", "length", 201_168, 125, 0),
    unit("nmi", "length", 1852, 1, 0),
    unit("m/s", "speed", 1, 1, 0),
    unit("km/h", "speed", 5, 18, 0),
    unit("mi/h", "speed", 1397, 3125, 0),
    unit("kn", "speed", 463, 900, 0),
    unit("K", "temperature", 1, 1, 0),
    unit("degC", "temperature", 1, 1, 27_315),
    unit("degF", "temperature", 5, 9, 45_967),
    unit("Pa", "pressure", 1, 1, 0),
    unit("hPa", "pressure", 100, 1, 0),
];

/// The unit of a symbol.
pub fn find(symbol: &str) -> Option<&'static Unit> {
    UNITS.iter().find(|unit| unit.symbol == symbol)
}

/// How the last digit is found where a value has more than may be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rounding {
    /// To the nearest; halves to the even digit.
    HalfEven,
    /// To the nearest; halves away from zero.
    HalfUp,
    /// Towards zero.
    Down,
}

impl Rounding {
    /// Its name, as files have it.
    pub fn name(self) -> &'static str {
        match self {
            Rounding::HalfEven => "half-even",
            Rounding::HalfUp => "half-up",
            Rounding::Down => "down",
        }
    }
}

/// A ratio of whole numbers; the lower one is above zero.
#[derive(Debug, Clone, Copy)]
pub struct Ratio {
    above: i128,
    below: i128,
}

fn divisor(mut a: u128, mut b: u128) -> u128 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}

impl Ratio {
    fn new(above: i128, below: i128) -> Option<Ratio> {
        let by = i128::try_from(divisor(above.unsigned_abs(), below.unsigned_abs())).ok()?.max(1);
        Some(Ratio { above: above / by, below: below / by })
    }

    /// The ratio that a decimal is.
    pub fn of(value: Decimal) -> Option<Ratio> {
        Some(Ratio { above: value.mantissa(), below: 10_i128.checked_pow(value.scale())? })
    }

    /// Common divisors are sought only where a product would be too large: that costs more than all the rest.
    fn times(self, above: i128, below: i128) -> Option<Ratio> {
        if let (Some(above), Some(below)) = (self.above.checked_mul(above), self.below.checked_mul(below)) {
            return Some(Ratio { above, below });
        }
        let (first, second) = (Ratio::new(self.above, below)?, Ratio::new(above, self.below)?);
        Ratio::new(first.above.checked_mul(second.above)?, first.below.checked_mul(second.below)?)
    }

    fn plus(self, hundredths: i128) -> Option<Ratio> {
        if hundredths == 0 {
            return Some(self);
        }
        let Ratio { above, below } =
            match self.above.unsigned_abs().max(self.below.unsigned_abs()) > u128::MAX >> 41 {
                true => Ratio::new(self.above, self.below)?,
                false => self,
            };
        let above = above.checked_mul(100)?.checked_add(hundredths.checked_mul(below)?)?;
        Some(Ratio { above, below: below.checked_mul(100)? })
    }

    /// The decimal with so many digits after the point at most, and whether it is less exact than the ratio. None if
    /// it is too large.
    pub fn round(self, digits: u32, rounding: Rounding) -> Option<(Decimal, bool)> {
        let scaled = self.times(10_i128.checked_pow(digits)?, 1)?;
        let (whole, rest) = (scaled.above / scaled.below, scaled.above % scaled.below);
        let up = match rounding {
            Rounding::Down => false,
            Rounding::HalfUp => rest.unsigned_abs() >= scaled.below.unsigned_abs() - rest.unsigned_abs(),
            Rounding::HalfEven => {
                let (low, high) = (rest.unsigned_abs(), scaled.below.unsigned_abs() - rest.unsigned_abs());
                low > high || low == high && whole % 2 != 0
            }
        };
        let whole = if up { whole.checked_add(scaled.above.signum())? } else { whole };
        Some((Decimal::try_from_i128_with_scale(whole, digits).ok()?, rest != 0))
    }
}

/// The value in another unit of the same dimension, exactly. None if a number on the way is too large.
pub fn convert(value: Decimal, from: &Unit, to: &Unit) -> Option<Ratio> {
    let si = Ratio::of(value)?.plus(from.offset)?.times(from.times, from.per)?;
    si.times(to.per, to.times)?.plus(-to.offset)
}

/// Digits after the point that every value of `from` with `digits` of them may need in `to`; None if no number of
/// digits is enough.
pub fn exact_digits(from: &Unit, to: &Unit, digits: u32) -> Option<u32> {
    (0..=27).find(|&more| {
        let steps = [Decimal::ZERO, Decimal::new(1, digits.min(27))];
        steps.iter().all(|&step| {
            convert(step, from, to)
                .and_then(|exact| exact.round(more, Rounding::Down))
                .is_some_and(|(_, lost)| !lost)
        })
    })
}

#[cfg(test)]
mod tests;
