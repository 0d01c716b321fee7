//! Character sets of old messages.

use serde::Deserialize;

/// How characters stand for bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub enum Charset {
    /// UTF-8 (RFC 3629).
    #[default]
    #[serde(rename = "utf-8")]
    Utf8,
    /// windows-1252 as the WHATWG Encoding standard has it: bytes without a character are C1 controls.
    #[serde(rename = "windows-1252")]
    Windows1252,
    /// ISO-8859-1 by the letter: each byte is the character of its number. (WHATWG reads it as windows-1252; servers
    /// that write bytes 80 to 9F under this label mean that set, and should be given it by name.)
    #[serde(rename = "iso-8859-1")]
    Latin1,
}

impl Charset {
    /// Its name as in a `charset` parameter.
    pub fn name(self) -> &'static str {
        match self {
            Charset::Utf8 => "utf-8",
            Charset::Windows1252 => "windows-1252",
            Charset::Latin1 => "iso-8859-1",
        }
    }

    /// Whether it has the character.
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

    /// The text that bytes stand for. Only UTF-8 can be wrong.
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

    /// The bytes of a text, or the first character that the set does not have.
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
