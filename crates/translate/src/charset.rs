//! Character sets of legacy messages.

use serde::Deserialize;

/// A character set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub enum Charset {
    /// UTF-8 (RFC 3629).
    #[default]
    #[serde(rename = "utf-8")]
    Utf8,
    /// windows-1252 as defined by the WHATWG Encoding standard: undefined bytes decode to C1 controls.
    #[serde(rename = "windows-1252")]
    Windows1252,
    /// ISO-8859-1 as standardized: each byte is the character with the same number. (WHATWG decodes this label as
    /// windows-1252. A server that writes bytes 80 to 9F under this label means windows-1252, and its mapping must name
    /// that set.)
    #[serde(rename = "iso-8859-1")]
    Latin1,
}

impl Charset {
    /// Returns the name used in a `charset` parameter.
    pub fn name(self) -> &'static str {
        match self {
            Charset::Utf8 => "utf-8",
            Charset::Windows1252 => "windows-1252",
            Charset::Latin1 => "iso-8859-1",
        }
    }

    /// Reports whether the set contains the character.
    pub fn contains(self, character: char) -> bool {
        match self {
            Charset::Utf8 => true,
            Charset::Latin1 => u32::from(character) < 0x100,
            Charset::Windows1252 => {
                let mut buffer = [0; 4];
                !encoding_rs::WINDOWS_1252.encode(character.encode_utf8(&mut buffer)).2
            }
        }
    }

    /// Decodes bytes. Only UTF-8 input can be invalid.
    pub fn decode(self, bytes: &[u8]) -> Result<String, String> {
        match self {
            Charset::Utf8 => std::str::from_utf8(bytes)
                .map(str::to_owned)
                .map_err(|e| format!("not UTF-8 after byte {}", e.valid_up_to())),
            Charset::Windows1252 => {
                Ok(encoding_rs::WINDOWS_1252.decode_without_bom_handling(bytes).0.into_owned())
            }
            Charset::Latin1 => Ok(bytes.iter().map(|&byte| char::from(byte)).collect()),
        }
    }

    /// Encodes a text, or returns the first character that the set does not contain.
    pub fn encode(self, text: &str) -> Result<Vec<u8>, char> {
        match self {
            Charset::Utf8 => Ok(text.as_bytes().to_vec()),
            Charset::Windows1252 => {
                let (bytes, _, unmappable) = encoding_rs::WINDOWS_1252.encode(text);
                match unmappable {
                    true => {
                        Err(text.chars().find(|&c| !self.contains(c)).unwrap_or(char::REPLACEMENT_CHARACTER))
                    }
                    false => Ok(bytes.into_owned()),
                }
            }
            Charset::Latin1 => text.chars().map(|c| u8::try_from(u32::from(c)).map_err(|_| c)).collect(),
        }
    }
}
