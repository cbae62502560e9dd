//! Patches that express a large row as changes to an earlier value.
//!
//! A configuration of thousands of teams changes by a few hundred bytes at a time. Values are split into
//! content-defined chunks, so that an insertion moves no other boundary, and chunks that the earlier value
//! contains are referenced by offset.

use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::Range;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum, average and maximum chunk size in bytes.
const CHUNK_BYTES: [u32; 3] = [64, 256, 1_024];

/// A part of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ValuePart {
    /// A range of the earlier value.
    Kept { from: u32, bytes: u32 },
    /// Bytes that are not in the earlier value.
    New(Vec<u8>),
}

/// A value expressed as changes to an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Version number of the row that held the earlier value, within its era.
    pub base: u64,
    /// Digest of the resulting value, to detect a different earlier value.
    digest: u64,
    parts: Vec<ValuePart>,
}

impl ValuePatch {
    /// Computes the patch from the earlier value, which the row held at version `base`.
    pub fn new(base: u64, earlier: &[u8], value: &[u8]) -> Self {
        let known: HashMap<&[u8], usize> =
            chunks(earlier).map(|range| (&earlier[range.clone()], range.start)).collect();
        let mut parts = Vec::new();
        for range in chunks(value) {
            let part = &value[range];
            match known.get(part) {
                Some(from) => push_kept(&mut parts, *from, part.len()),
                None => push_new(&mut parts, part),
            }
        }
        Self { base, digest: xxh3_64(value), parts }
    }

    /// Applies the patch. Returns `None` if `earlier` is not the value that the patch was made from.
    pub fn apply(&self, earlier: &[u8]) -> Option<Vec<u8>> {
        let mut value = Vec::new();
        for part in &self.parts {
            let bytes = match part {
                ValuePart::New(bytes) => bytes,
                ValuePart::Kept { from, bytes } => {
                    let from = *from as usize;
                    earlier.get(from..from.checked_add(*bytes as usize)?)?
                }
            };
            value.extend_from_slice(bytes);
        }
        (xxh3_64(&value) == self.digest).then_some(value)
    }

    /// Approximate size in bytes.
    pub fn bytes(&self) -> usize {
        let bytes = |part: &ValuePart| match part {
            ValuePart::Kept { .. } => 8,
            ValuePart::New(bytes) => bytes.len() + 4,
        };
        self.parts.iter().map(bytes).sum()
    }
}

fn chunks(value: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let [min, average, max] = CHUNK_BYTES;
    FastCDC::new(value, min, average, max).map(|chunk| chunk.offset..chunk.offset + chunk.length)
}

fn push_kept(parts: &mut Vec<ValuePart>, offset: usize, length: usize) {
    let (offset, length) = (offset as u32, length as u32);
    match parts.last_mut() {
        Some(ValuePart::Kept { from, bytes }) if *from + *bytes == offset => *bytes += length,
        _ => parts.push(ValuePart::Kept { from: offset, bytes: length }),
    }
}

fn push_new(parts: &mut Vec<ValuePart>, part: &[u8]) {
    match parts.last_mut() {
        Some(ValuePart::New(bytes)) => bytes.extend_from_slice(part),
        _ => parts.push(ValuePart::New(part.to_vec())),
    }
}
