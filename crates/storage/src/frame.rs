//! On-disk format of one batch: `magic, length, sequence, checksum, payload`, with little-endian
//! integers.
//!
//! The last byte of the magic is the version of the payload's layout. The header is the same in
//! every version, so that a build recognizes batches of a newer build, whose payloads it cannot
//! read, and does not truncate them as a torn tail.

const MAGIC: [u8; 4] = *b"LLW1";
const MAGIC_END: usize = 4;

/// End of the part of the magic that is the same in every version.
const FORMAT_ID_END: usize = 3;
const LENGTH_END: usize = 8;
const SEQUENCE_END: usize = 16;

/// Length of the header.
pub(crate) const HEADER_BYTES: usize = 20;

/// Maximum payload of a frame.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 256 << 20;

/// Frame that holds one batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    pub(crate) fn encoded_len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.encoded_len());
        let length = u32::try_from(self.payload.len()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&checksum(self.sequence, self.payload).to_le_bytes());
        bytes.extend_from_slice(self.payload);
        bytes
    }
}

/// Decodes the frame at the start of `bytes`. Returns the reason if there is no intact frame.
pub(crate) fn decode(bytes: &[u8]) -> Result<Frame<'_>, &'static str> {
    if bytes.len() < HEADER_BYTES {
        return Err("the header is truncated");
    }
    if bytes[..MAGIC_END] != MAGIC {
        return Err("the magic number does not match");
    }
    decode_any_version(bytes)
}

/// Decodes the frame at the start of `bytes`, with a payload of any version.
fn decode_any_version(bytes: &[u8]) -> Result<Frame<'_>, &'static str> {
    if bytes.len() < HEADER_BYTES {
        return Err("the header is truncated");
    }
    if bytes[..FORMAT_ID_END] != MAGIC[..FORMAT_ID_END] {
        return Err("the magic number does not match");
    }
    let length = read_u32(&bytes[MAGIC_END..LENGTH_END]) as usize;
    let sequence = read_u64(&bytes[LENGTH_END..SEQUENCE_END]);
    let expected = read_u32(&bytes[SEQUENCE_END..HEADER_BYTES]);
    if length > MAX_PAYLOAD_BYTES {
        return Err("the payload length exceeds the limit");
    }
    let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Err("the payload is truncated");
    };
    if checksum(sequence, payload) != expected {
        return Err("the checksum does not match");
    }
    Ok(Frame { sequence, payload })
}

/// Returns true if `bytes` start with an intact frame whose payload has another version.
pub(crate) fn has_other_version(bytes: &[u8]) -> bool {
    decode_any_version(bytes).is_ok() && bytes[..MAGIC_END] != MAGIC
}

/// Returns true if `bytes` contain an intact frame, of any version and at any offset, with a
/// sequence number greater than `sequence`.
pub(crate) fn contains_later_frame(bytes: &[u8], sequence: u64) -> bool {
    let starts = bytes.windows(FORMAT_ID_END).enumerate();
    let candidates = starts.filter(|(_, window)| *window == &MAGIC[..FORMAT_ID_END]);
    candidates
        .map(|(offset, _)| decode_any_version(&bytes[offset..]))
        .any(|frame| frame.is_ok_and(|frame| frame.sequence > sequence))
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(bytes);
    u32::from_le_bytes(array)
}

fn read_u64(bytes: &[u8]) -> u64 {
    let mut array = [0; 8];
    array.copy_from_slice(bytes);
    u64::from_le_bytes(array)
}
