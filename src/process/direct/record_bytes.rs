//! Bytes of a record in a copy for peers, as one byte string.
//!
//! A list of numbers, which serde makes of bytes by itself, is twice as large and slow to decode.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
};

/// Bytes of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RecordBytes(pub(super) Bytes);

impl Serialize for RecordBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for RecordBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RecordBytes, D::Error> {
        deserializer.deserialize_byte_buf(RecordVisitor)
    }
}

/// Visitor of bytes, also as peers of an earlier version send them: as a list of numbers.
struct RecordVisitor;

impl<'de> Visitor<'de> for RecordVisitor {
    type Value = RecordBytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes of a record")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<RecordBytes, E> {
        Ok(RecordBytes(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<RecordBytes, E> {
        Ok(RecordBytes(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut numbers: A) -> Result<RecordBytes, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = numbers.next_element()? {
            bytes.push(byte);
        }
        Ok(RecordBytes(bytes.into()))
    }
}
