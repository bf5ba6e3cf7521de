//! Binary encoding of packets: one version byte, then `postcard`.

use crate::Packet;

/// First byte of every packet. Packets with another version are rejected.
const FORMAT_VERSION: u8 = 2;

/// Why a packet could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The packet has no bytes.
    #[error("received an empty packet: check what else sends to this port")]
    Empty,
    /// The packet has another format version.
    #[error(
        "received a packet of format version {0}, but this process uses version {FORMAT_VERSION}: run the same release on all hosts"
    )]
    Version(u8),
    /// The packet is corrupted, or was not sent by an entry or agent.
    #[error("could not decode a packet ({0}): check what else sends to this port")]
    Malformed(postcard::Error),
}

/// Encodes a packet.
pub fn encode(packet: &Packet) -> Vec<u8> {
    let bytes = vec![FORMAT_VERSION];
    postcard::to_extend(packet, bytes).expect("encoding a packet into memory cannot fail")
}

/// Decodes a packet. Trailing bytes are an error.
pub fn decode(bytes: &[u8]) -> Result<Packet, DecodeError> {
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if version != FORMAT_VERSION {
        return Err(DecodeError::Version(version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((packet, [])) => Ok(packet),
        Ok(_) => Err(DecodeError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
        Err(error) => Err(DecodeError::Malformed(error)),
    }
}
