//! Conversion of queries and updates of the platform's tables to and from capnp messages.

use super::convert::{pack, unpack};
use crate::rank_capnp::{news_ask, table_news};
use capnp::Error;
use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::decompress_to_vec_zlib_with_limit;
use porthoist_policy::proxy::entry_positions::EntryId;
use porthoist_policy::proxy::limit_notes::AgedNote;
use porthoist_policy::proxy::send_turns::EntryPosition;
use porthoist_proxy::{
    ControlTable, GapAges, RowUpdate, SourceAnswer, TableEra, TableQuery, TableRevision, TableUpdate,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The fastest compression level: rows are text with repeated keys, and a host next to a rank has little CPU. Compressed,
/// all targets of a large deployment take a few pieces.
const COMPRESSION_LEVEL: u8 = 1;
/// Largest size of decompressed rows: about ten thousand targets.
const MAX_UNPACKED_BYTES: usize = 4 * 1024 * 1024;
/// Largest size of compressed rows that are passed on: a host next to a rank has a link of 6 to 10 Mbit/s for about a
/// hundred entries. A process that lacks more asks the table service, whose link has hundreds of times the bandwidth.
const MAX_COMPRESSED_BYTES: usize = 128 * 1024;
/// Size of one piece: an answer to one entry must not delay the others' for long.
const PIECE_BYTES: usize = 4 * 1024;

/// What an entry reports with a query.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryReport {
    /// The entry.
    pub entry: EntryId,
    /// What it knows of the backpressure of targets.
    pub notes: Vec<AgedNote>,
}

/// An update of a table, with further information for the entries of a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneTableUpdate {
    /// The update of the table.
    pub update: TableUpdate,
    /// Position of the querying entry among the entries that query the process; `None` while it is not known.
    pub position: Option<EntryPosition>,
    /// What entries know of the backpressure of targets.
    pub notes: Vec<AgedNote>,
}

pub(super) fn write_zone_info(
    mut builder: table_news::Builder<'_>,
    position: Option<EntryPosition>,
    notes: &[AgedNote],
) {
    if let Some(EntryPosition { index, entries }) = position {
        builder.set_entries(entries);
        builder.set_entries_before(index);
    }
    if !notes.is_empty() {
        builder.set_notes(&pack(&notes));
    }
}

pub(super) fn read_zone_update(
    reader: table_news::Reader<'_>,
    pieces: &mut RowPieces,
) -> Result<QueryProgress, Error> {
    let Some(update) = read_update(reader, pieces)? else { return Ok(QueryProgress::Incomplete) };
    let (index, entries) = (reader.get_entries_before(), reader.get_entries());
    Ok(QueryProgress::Complete(ZoneTableUpdate {
        update,
        position: (index < entries).then_some(EntryPosition { index, entries }),
        notes: read_notes(reader.get_notes()?)?,
    }))
}

fn read_notes(bytes: &[u8]) -> Result<Vec<AgedNote>, Error> {
    if bytes.is_empty() { Ok(Vec::new()) } else { unpack(bytes) }
}

/// Reads the report of the querying entry; `None` if the caller is not an entry.
pub(super) fn read_report(reader: news_ask::Reader<'_>) -> Result<Option<EntryReport>, Error> {
    let entry = EntryId(reader.get_entry());
    let notes = read_notes(reader.get_notes()?)?;
    Ok((entry != EntryId(0)).then_some(EntryReport { entry, notes }))
}

pub(super) fn write_query(mut builder: news_ask::Builder<'_>, query: &TableQuery, report: &EntryReport) {
    builder.set_entry(report.entry.0);
    if !report.notes.is_empty() {
        builder.set_notes(&pack(&report.notes));
    }
    builder.set_table(match query.table {
        ControlTable::Routes => 0,
        ControlTable::Targets => 1,
        ControlTable::Crashes => 2,
    });
    builder.set_after(query.after.number);
    builder.set_after_era(query.after.era.0);
    builder.set_stamp(query.stamp);
    builder.set_hold_millis(millis(query.hold));
    builder.set_wait_millis(millis(query.wait));
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn read_query(reader: news_ask::Reader<'_>) -> Result<TableQuery, Error> {
    let table = match reader.get_table() {
        0 => ControlTable::Routes,
        1 => ControlTable::Targets,
        2 => ControlTable::Crashes,
        other => return Err(Error::failed(format!("there is no table {other}"))),
    };
    Ok(TableQuery {
        table,
        after: TableRevision::new(TableEra(reader.get_after_era()), reader.get_after()),
        stamp: reader.get_stamp(),
        hold: Duration::from_millis(reader.get_hold_millis().into()),
        wait: Duration::from_millis(reader.get_wait_millis().into()),
    })
}

/// The pieces of rows that have been received so far.
#[derive(Debug, Default)]
pub(super) struct RowPieces {
    bytes: Vec<u8>,
    digest: u64,
}

/// A piece of compressed rows.
struct RowPiece<'a> {
    bytes: &'a [u8],
    offset: u32,
    total: u32,
    digest: u64,
}

impl RowPieces {
    /// Writes which piece the next query asks for.
    pub(super) fn write(&self, mut builder: news_ask::Builder<'_>) {
        builder.set_offset(self.bytes.len() as u32);
        builder.set_digest(self.digest);
    }

    /// Adds a piece; returns whether the rows are complete. If they have changed, it starts again.
    fn add(&mut self, piece: &RowPiece<'_>) -> bool {
        if piece.digest != self.digest || piece.offset as usize != self.bytes.len() {
            self.bytes.clear();
        }
        self.digest = piece.digest;
        if piece.offset as usize == self.bytes.len() {
            self.bytes.extend_from_slice(piece.bytes);
        }
        self.bytes.len() == piece.total as usize && xxh3_64(&self.bytes) == self.digest
    }
}

/// The state of a query whose answer may come in pieces.
pub(super) enum QueryProgress {
    /// The answer is complete.
    Complete(ZoneTableUpdate),
    /// Further pieces must be queried.
    Incomplete,
}

/// The next piece of the rows that a caller needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct PieceQuery {
    offset: u32,
    digest: u64,
}

pub(super) fn read_piece_query(reader: news_ask::Reader<'_>) -> PieceQuery {
    PieceQuery { offset: reader.get_offset(), digest: reader.get_digest() }
}

/// The rows that were compressed last: the processes of a zone mostly query the same ones.
#[derive(Debug, Default)]
pub(super) struct PackedRows {
    packed: Vec<u8>,
    compressed: Vec<u8>,
    digest: u64,
}

impl PackedRows {
    fn compress(&mut self, rows: &[RowUpdate]) {
        let packed = pack(&rows);
        if packed != self.packed || self.compressed.is_empty() {
            self.compressed = compress_to_vec_zlib(&packed, COMPRESSION_LEVEL);
            self.digest = xxh3_64(&self.compressed);
            self.packed = packed;
        }
    }

    /// Returns the queried piece, or the first one if the rows have changed since.
    fn piece(&self, query: PieceQuery) -> RowPiece<'_> {
        let (digest, total) = (self.digest, self.compressed.len());
        let unchanged = query.digest == digest && query.offset as usize <= total;
        let offset = if unchanged { query.offset as usize } else { 0 };
        let end = total.min(offset + PIECE_BYTES);
        RowPiece { bytes: &self.compressed[offset..end], offset: offset as u32, total: total as u32, digest }
    }
}

pub(super) fn write_update(
    mut builder: table_news::Builder<'_>,
    update: &TableUpdate,
    piece: PieceQuery,
    packed: &mut PackedRows,
) {
    let (rows, keys, gap) = match update {
        TableUpdate::Newer { rows, keys, gap } => (rows, keys, gap),
        TableUpdate::Unchanged { failing } => return builder.set_nothing(*failing),
        TableUpdate::TooLarge => return builder.set_too_much(()),
    };
    packed.compress(&rows.value);
    let key_bytes: usize = keys.iter().flatten().map(String::len).sum();
    if packed.compressed.len() + key_bytes > MAX_COMPRESSED_BYTES {
        return builder.set_too_much(());
    }
    let RowPiece { bytes, offset, total, digest } = packed.piece(piece);
    let mut newer = builder.init_newer();
    newer.set_rows(bytes);
    newer.set_offset(offset);
    newer.set_total(total);
    newer.set_digest(digest);
    if offset as usize + bytes.len() < total as usize {
        // Only the last piece carries the other fields.
        return;
    }
    newer.set_revision(rows.revision.number);
    newer.set_era(rows.revision.era.0);
    newer.set_stamp(rows.stamp);
    if let Some(gap) = gap {
        newer.set_has_gap(true);
        newer.set_gap_asked(gap.asked);
        newer.set_gap_returned(gap.returned);
    }
    if let Some(keys) = keys {
        newer.set_has_keys(true);
        let mut list = newer.init_keys(keys.len() as u32);
        for (index, key) in keys.iter().enumerate() {
            list.set(index as u32, key);
        }
    }
}

fn read_update(reader: table_news::Reader<'_>, pieces: &mut RowPieces) -> Result<Option<TableUpdate>, Error> {
    let newer = match reader.which()? {
        table_news::Newer(newer) => newer,
        table_news::Nothing(failing) => return Ok(Some(TableUpdate::Unchanged { failing })),
        table_news::TooMuch(()) => return Ok(Some(TableUpdate::TooLarge)),
    };
    let piece = RowPiece {
        bytes: newer.get_rows()?,
        offset: newer.get_offset(),
        total: newer.get_total(),
        digest: newer.get_digest(),
    };
    if !pieces.add(&piece) {
        return Ok(None);
    }
    let packed = decompress_to_vec_zlib_with_limit(&pieces.bytes, MAX_UNPACKED_BYTES)
        .map_err(|error| Error::failed(format!("rows that can't be decompressed: {error}")))?;
    let rows: Vec<RowUpdate> = unpack(&packed)?;
    let gap = newer
        .get_has_gap()
        .then(|| GapAges { asked: newer.get_gap_asked(), returned: newer.get_gap_returned() });
    let keys = if newer.get_has_keys() {
        let read = |key: Result<capnp::text::Reader<'_>, Error>| Ok(key?.to_str()?.to_owned());
        Some(newer.get_keys()?.iter().map(read).collect::<Result<Vec<String>, Error>>()?)
    } else {
        None
    };
    let revision = TableRevision::new(TableEra(newer.get_era()), newer.get_revision());
    Ok(Some(TableUpdate::Newer { rows: SourceAnswer::of(rows, revision, newer.get_stamp()), keys, gap }))
}
