use crate::Packet;

/// Leads every packet; a peer with another format is refused by it.
const FORMAT_VERSION: u8 = 2;

/// A packet that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Nothing there.
    #[error("an empty packet arrived: check what else sends to this port")]
    Empty,
    /// Not this version.
    #[error(
        "a packet of format {0} arrived, this process speaks {FORMAT_VERSION}: run one release everywhere"
    )]
    Version(u8),
    /// Damaged or foreign.
    #[error("a packet could not be read ({0}): check what else sends to this port")]
    Malformed(postcard::Error),
}

/// Encodes a packet.
pub fn encode(packet: &Packet) -> Vec<u8> {
    let bytes = vec![FORMAT_VERSION];
    postcard::to_extend(packet, bytes).expect("a packet in memory always encodes")
}

/// Decodes a packet; trailing bytes are an error.
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
