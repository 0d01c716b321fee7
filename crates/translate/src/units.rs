//! Units and exact conversion between them.
//!
//! A unit is defined by an integer ratio and an offset to the SI unit of its dimension. Only the last step of a
//! conversion rounds, and only as the mapping states. The ratios are those of the 1959 yard and pound agreement (1 in =
//! 25.4 mm, 1 mi = 1609.344 m) and of the international nautical mile (1852 m).

use rust_decimal::Decimal;

/// A unit that mapping files may name.
#[derive(Debug, PartialEq, Eq)]
pub struct Unit {
    /// The symbol used in mapping files.
    pub symbol: &'static str,
    /// The measured quantity; only units of the same dimension convert.
    pub dimension: &'static str,
    /// Numerator of the size of this unit in SI units.
    si_numerator: i128,
    /// Denominator of the size of this unit in SI units.
    si_denominator: i128,
    /// Added before the ratio is applied, in hundredths of this unit.
    offset_hundredths: i128,
}

const fn unit(
    symbol: &'static str,
    dimension: &'static str,
    si_numerator: i128,
    si_denominator: i128,
    offset_hundredths: i128,
) -> Unit {
    Unit { symbol, dimension, si_numerator, si_denominator, offset_hundredths }
}

/// All supported units.
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

/// Returns the unit with this symbol.
pub fn find(symbol: &str) -> Option<&'static Unit> {
    UNITS.iter().find(|unit| unit.symbol == symbol)
}

/// How a value with too many digits is rounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rounding {
    /// To the nearest; a tie goes to the even digit.
    HalfEven,
    /// To the nearest; a tie goes away from zero.
    HalfUp,
    /// Towards zero.
    Down,
}

impl Rounding {
    /// Returns the name used in mapping files.
    pub fn name(self) -> &'static str {
        match self {
            Rounding::HalfEven => "half-even",
            Rounding::HalfUp => "half-up",
            Rounding::Down => "down",
        }
    }
}

/// A fraction of integers; the denominator is positive.
#[derive(Debug, Clone, Copy)]
pub struct Ratio {
    numerator: i128,
    denominator: i128,
}

fn greatest_common_divisor(mut a: u128, mut b: u128) -> u128 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}

impl Ratio {
    fn new(numerator: i128, denominator: i128) -> Option<Ratio> {
        let divisor =
            i128::try_from(greatest_common_divisor(numerator.unsigned_abs(), denominator.unsigned_abs()))
                .ok()?
                .max(1);
        Some(Ratio { numerator: numerator / divisor, denominator: denominator / divisor })
    }

    /// Converts a decimal exactly.
    pub fn from_decimal(value: Decimal) -> Option<Ratio> {
        Some(Ratio { numerator: value.mantissa(), denominator: 10_i128.checked_pow(value.scale())? })
    }

    /// Multiplies without reducing unless a product overflows: finding the common divisor costs more than all the other
    /// steps.
    fn multiply(self, numerator: i128, denominator: i128) -> Option<Ratio> {
        if let (Some(numerator), Some(denominator)) =
            (self.numerator.checked_mul(numerator), self.denominator.checked_mul(denominator))
        {
            return Some(Ratio { numerator, denominator });
        }
        let (first, second) =
            (Ratio::new(self.numerator, denominator)?, Ratio::new(numerator, self.denominator)?);
        Ratio::new(
            first.numerator.checked_mul(second.numerator)?,
            first.denominator.checked_mul(second.denominator)?,
        )
    }

    fn add_hundredths(self, hundredths: i128) -> Option<Ratio> {
        if hundredths == 0 {
            return Some(self);
        }
        let Ratio { numerator, denominator } =
            match self.numerator.unsigned_abs().max(self.denominator.unsigned_abs()) > u128::MAX >> 41 {
                true => Ratio::new(self.numerator, self.denominator)?,
                false => self,
            };
        let numerator = numerator.checked_mul(100)?.checked_add(hundredths.checked_mul(denominator)?)?;
        Some(Ratio { numerator, denominator: denominator.checked_mul(100)? })
    }

    /// Rounds to at most this number of digits after the point; also returns whether the result is inexact. `None` if
    /// the number is too large.
    pub fn round(self, digits: u32, rounding: Rounding) -> Option<(Decimal, bool)> {
        let scaled = self.multiply(10_i128.checked_pow(digits)?, 1)?;
        let (quotient, remainder) =
            (scaled.numerator / scaled.denominator, scaled.numerator % scaled.denominator);
        let round_up = match rounding {
            Rounding::Down => false,
            Rounding::HalfUp => {
                remainder.unsigned_abs() >= scaled.denominator.unsigned_abs() - remainder.unsigned_abs()
            }
            Rounding::HalfEven => {
                let (remainder_size, complement) =
                    (remainder.unsigned_abs(), scaled.denominator.unsigned_abs() - remainder.unsigned_abs());
                remainder_size > complement || remainder_size == complement && quotient % 2 != 0
            }
        };
        let quotient = if round_up { quotient.checked_add(scaled.numerator.signum())? } else { quotient };
        Some((Decimal::try_from_i128_with_scale(quotient, digits).ok()?, remainder != 0))
    }
}

/// Converts a value exactly to another unit of the same dimension. `None` if an intermediate number is too large.
pub fn convert(value: Decimal, from: &Unit, to: &Unit) -> Option<Ratio> {
    let si = Ratio::from_decimal(value)?
        .add_hundredths(from.offset_hundredths)?
        .multiply(from.si_numerator, from.si_denominator)?;
    si.multiply(to.si_denominator, to.si_numerator)?.add_hundredths(-to.offset_hundredths)
}

/// Returns how many digits after the point suffice in `to` for every value of `from` with `digits` of them; `None` if
/// no number of digits suffices.
pub fn exact_digits(from: &Unit, to: &Unit, digits: u32) -> Option<u32> {
    (0..=27).find(|&more| {
        let steps = [Decimal::ZERO, Decimal::new(1, digits.min(27))];
        steps.iter().all(|&step| {
            convert(step, from, to)
                .and_then(|exact| exact.round(more, Rounding::Down))
                .is_some_and(|(_, inexact)| !inexact)
        })
    })
}

#[cfg(test)]
mod tests;
