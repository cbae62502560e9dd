//! The memory of a process, and the bounds that follow from it.

use super::reader::{SettingError, SettingReader};
use nix::sys::sysinfo::sysinfo;
use porthoist_policy::proxy::memory_bounds::{MemoryBounds, MemorySize};

/// Minimum memory of a process: what the program and small tables take, and as much again.
const MIN_MEMORY: MemorySize = MemorySize(32_000_000);
/// Minimum bound of held bytes: the largest event, of 256 KiB, fits the quarter that is left to responses.
const MIN_HELD_BYTES: u64 = 1_048_576;
const MEMORY_FLAG: &str = "memory-mb";
const MEMORY_EXPECTED: &str = "a whole number of megabytes from 32";
const HELD_FLAG: &str = "held-bytes";
const HELD_EXPECTED: &str =
    "0, or a whole number of bytes from 1048576 to three quarters of the memory of the process";

/// Reads the memory of the process and the bound of held bytes.
pub(super) fn memory_bounds<E>(
    reader: &SettingReader<E>,
    memory_mb: Option<String>,
    held_bytes: Option<String>,
) -> Result<MemoryBounds, SettingError>
where
    E: Fn(&str) -> Option<String>,
{
    let memory = memory(reader, memory_mb)?;
    let held_bytes = reader.optional::<u64>(HELD_FLAG, held_bytes, HELD_EXPECTED)?;
    if let Some(bytes) = held_bytes.filter(|bytes| (1..MIN_HELD_BYTES).contains(bytes)) {
        return Err(SettingReader::<E>::error(HELD_FLAG, format!("\"{bytes}\" given"), HELD_EXPECTED));
    }
    MemoryBounds::new(memory, held_bytes)
        .map_err(|error| SettingReader::<E>::error(HELD_FLAG, error.to_string(), HELD_EXPECTED))
}

/// Reads the memory that the process may use: that of the host unless it is given.
fn memory<E>(reader: &SettingReader<E>, given: Option<String>) -> Result<MemorySize, SettingError>
where
    E: Fn(&str) -> Option<String>,
{
    let given = reader.optional::<MemorySize>(MEMORY_FLAG, given, MEMORY_EXPECTED)?;
    let memory = match given {
        Some(memory) => memory,
        None => sysinfo().map(|host| MemorySize(host.ram_total())).map_err(|error| {
            let problem = format!("not given, and the memory of the host is unknown: {error}");
            SettingReader::<E>::error(MEMORY_FLAG, problem, MEMORY_EXPECTED)
        })?,
    };
    if memory < MIN_MEMORY {
        return Err(SettingReader::<E>::error(MEMORY_FLAG, format!("{memory} given"), MEMORY_EXPECTED));
    }
    Ok(memory)
}
