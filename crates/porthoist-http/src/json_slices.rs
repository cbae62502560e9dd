//! Splits JSON objects and arrays into the texts of their parts.
//!
//! Each part can then be parsed by itself, so that one that is invalid or nested too deep fails alone. The
//! scan needs no recursion and checks only what it takes to find the parts' ends.

use serde::de::DeserializeOwned;
use std::borrow::Cow;

/// Error returned when a text can't be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// The text ends within a value.
    #[error("the JSON text ends early")]
    Truncated,
    /// There is something else than expected at an offset in bytes.
    #[error("invalid JSON text at byte {0}")]
    Unexpected(usize),
}

/// Error returned when a member of an object can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// There are several members of that name.
    #[error("{0} is there more than once")]
    Repeated(String),
    /// Its value is not of the expected form.
    #[error("{name} can't be read: {error}")]
    Invalid {
        /// Name of the member.
        name: String,
        /// What is wrong with its value.
        error: serde_json::Error,
    },
}

/// An object whose members are parsed one by one.
#[derive(Debug, Clone)]
pub struct JsonObject<'a> {
    members: Vec<JsonMember<'a>>,
}

impl<'a> JsonObject<'a> {
    /// Splits an object into its members.
    pub fn parse(text: &'a [u8]) -> Result<Self, SplitError> {
        Ok(Self { members: split_object(text)? })
    }

    /// Returns the text of a member, `None` if there is none.
    pub fn member(&self, name: &str) -> Result<Option<&'a [u8]>, FieldError> {
        let mut named = self.members.iter().filter(|member| member.name == name);
        let first = named.next().map(|member| member.value);
        if named.next().is_some() { Err(FieldError::Repeated(name.to_owned())) } else { Ok(first) }
    }

    /// Parses a member, `None` if there is none.
    pub fn field<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, FieldError> {
        let read = self.member(name)?.map(serde_json::from_slice).transpose();
        read.map_err(|error| FieldError::Invalid { name: name.to_owned(), error })
    }
}

/// A member of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonMember<'a> {
    /// Name, with replacement characters in place of what is no text.
    pub name: Cow<'a, str>,
    /// Text of the value.
    pub value: &'a [u8],
}

/// Splits an object into its members, in order. Names may repeat.
pub fn split_object(text: &[u8]) -> Result<Vec<JsonMember<'_>>, SplitError> {
    let mut members = Vec::new();
    let mut scanner = SliceScanner::new(text);
    scanner.scan_list(b'{', b'}', |scanner| {
        let name = member_name(scanner.scan_string()?);
        scanner.skip_space();
        scanner.expect(b':')?;
        let value = scanner.scan_value()?;
        members.push(JsonMember { name, value });
        Ok(())
    })?;
    Ok(members)
}

/// Splits an array into the texts of its items.
pub fn split_array(text: &[u8]) -> Result<Vec<&[u8]>, SplitError> {
    let mut items = Vec::new();
    let mut scanner = SliceScanner::new(text);
    scanner.scan_list(b'[', b']', |scanner| {
        items.push(scanner.scan_value()?);
        Ok(())
    })?;
    Ok(items)
}

/// Decodes a name from its text in quotes.
fn member_name(quoted: &[u8]) -> Cow<'_, str> {
    let inner = &quoted[1..quoted.len() - 1];
    if !inner.contains(&b'\\') {
        return String::from_utf8_lossy(inner);
    }
    let decoded = serde_json::from_slice::<String>(quoted);
    decoded.map_or_else(|_error| String::from_utf8_lossy(inner), Cow::Owned)
}

/// Position in a text that is scanned once.
#[derive(Debug)]
struct SliceScanner<'a> {
    text: &'a [u8],
    position: usize,
}

impl<'a> SliceScanner<'a> {
    fn new(text: &'a [u8]) -> Self {
        Self { text, position: 0 }
    }

    fn peek(&self) -> Result<u8, SplitError> {
        self.text.get(self.position).copied().ok_or(SplitError::Truncated)
    }

    fn skip_space(&mut self) {
        let rest = &self.text[self.position..];
        let space = rest.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r'));
        self.position += space.count();
    }

    fn expect(&mut self, expected: u8) -> Result<(), SplitError> {
        if self.peek()? != expected {
            return Err(SplitError::Unexpected(self.position));
        }
        self.position += 1;
        Ok(())
    }

    /// Scans a whole text that is a list of parts between two brackets.
    fn scan_list(
        &mut self,
        open: u8,
        close: u8,
        mut scan_part: impl FnMut(&mut Self) -> Result<(), SplitError>,
    ) -> Result<(), SplitError> {
        self.skip_space();
        self.expect(open)?;
        self.skip_space();
        if self.peek()? != close {
            loop {
                self.skip_space();
                scan_part(self)?;
                self.skip_space();
                if self.peek()? == close {
                    break;
                }
                self.expect(b',')?;
            }
        }
        self.position += 1;
        self.skip_space();
        if self.position == self.text.len() { Ok(()) } else { Err(SplitError::Unexpected(self.position)) }
    }

    /// Scans a value up to the end of its last bracket, string or literal.
    fn scan_value(&mut self) -> Result<&'a [u8], SplitError> {
        self.skip_space();
        let start = self.position;
        let mut awaited = Vec::new();
        loop {
            match self.peek()? {
                b'{' => self.open_bracket(&mut awaited, b'}'),
                b'[' => self.open_bracket(&mut awaited, b']'),
                close @ (b'}' | b']') => self.close_bracket(&mut awaited, close)?,
                b'"' => drop(self.scan_string()?),
                b',' | b':' | b' ' | b'\t' | b'\n' | b'\r' if !awaited.is_empty() => self.position += 1,
                _ => self.scan_literal()?,
            }
            if awaited.is_empty() {
                return Ok(&self.text[start..self.position]);
            }
        }
    }

    fn open_bracket(&mut self, awaited: &mut Vec<u8>, close: u8) {
        awaited.push(close);
        self.position += 1;
    }

    fn close_bracket(&mut self, awaited: &mut Vec<u8>, close: u8) -> Result<(), SplitError> {
        if awaited.pop() != Some(close) {
            return Err(SplitError::Unexpected(self.position));
        }
        self.position += 1;
        Ok(())
    }

    /// Scans a string. Returns it with its quotes.
    fn scan_string(&mut self) -> Result<&'a [u8], SplitError> {
        let start = self.position;
        self.expect(b'"')?;
        loop {
            match self.peek()? {
                b'"' => break,
                b'\\' => self.position += 2,
                _ => self.position += 1,
            }
        }
        self.position += 1;
        Ok(&self.text[start..self.position])
    }

    /// Scans a number or a word.
    fn scan_literal(&mut self) -> Result<(), SplitError> {
        let rest = &self.text[self.position..];
        let is_part = |byte: &&u8| byte.is_ascii_alphanumeric() || matches!(byte, b'+' | b'-' | b'.');
        let length = rest.iter().take_while(is_part).count();
        if length == 0 {
            return Err(SplitError::Unexpected(self.position));
        }
        self.position += length;
        Ok(())
    }
}
