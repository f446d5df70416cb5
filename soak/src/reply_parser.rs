//! Reads a reply of HTTP/1.1 piece by piece and tells how much of it has arrived.

use std::str;

/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// End of a header section.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Error of a reply that breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The header section is malformed, or the length of the body is unknown.
    BadHead,
    /// The length of a chunk is malformed.
    BadChunk,
    /// Bytes follow a complete reply.
    ExtraBytes,
}

/// Result of reading a reply.
pub type Result<T> = std::result::Result<T, ParseError>;

/// How much of a reply has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyProgress {
    /// Nothing, or a part of the header section.
    AwaitingHead,
    /// The header section and a part of the body.
    ReadingBody,
    /// All of it.
    Complete,
}

/// The header section of a reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// Status code.
    pub status: u16,
    /// Names, in lowercase, and values.
    pub fields: Vec<(String, String)>,
}

impl ReplyHead {
    fn parse(text: &str) -> Option<Self> {
        let mut lines = text.split("\r\n");
        let mut status_line = lines.next()?.split(' ');
        if status_line.next()? != "HTTP/1.1" {
            return None;
        }
        let status = status_line.next()?.parse().ok()?;
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        Some(Self { status, fields: lines.map(field).collect::<Option<_>>()? })
    }

    /// Returns the value of a field by its name in lowercase.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    fn body_part(&self) -> Result<BodyPart> {
        if self.field("transfer-encoding").is_some_and(|value| value == "chunked") {
            return Ok(BodyPart::ChunkSize);
        }
        let length = self.field("content-length").and_then(|value| value.parse().ok());
        length.map(BodyPart::Rest).ok_or(ParseError::BadHead)
    }
}

/// What comes next in the body.
#[derive(Clone, Copy, Debug)]
enum BodyPart {
    /// So many bytes, and the reply is complete.
    Rest(usize),
    /// The line with the length of a chunk.
    ChunkSize,
    /// So many bytes of a chunk, and the end of its line.
    Chunk(usize),
    /// The line after the last chunk.
    LastLine,
    /// Nothing.
    End,
}

/// Reads one reply.
#[derive(Debug, Default)]
pub struct ReplyParser {
    pending: Vec<u8>,
    head: Option<(ReplyHead, BodyPart)>,
    body: Vec<u8>,
}

impl ReplyParser {
    /// Takes the next bytes and returns how much of the reply has arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<ReplyProgress> {
        self.pending.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some(at) = find(&self.pending, HEAD_END) else { return Ok(self.progress()) };
            let text = str::from_utf8(&self.pending[..at]).ok();
            let head = text.and_then(ReplyHead::parse).ok_or(ParseError::BadHead)?;
            let part = head.body_part()?;
            self.pending.drain(..at + HEAD_END.len());
            self.head = Some((head, part));
        }
        while self.read_part()? {}
        if self.progress() == ReplyProgress::Complete && !self.pending.is_empty() {
            return Err(ParseError::ExtraBytes);
        }
        Ok(self.progress())
    }

    /// Returns how much of the reply has arrived.
    pub fn progress(&self) -> ReplyProgress {
        match self.head {
            None => ReplyProgress::AwaitingHead,
            Some((_, BodyPart::End)) => ReplyProgress::Complete,
            Some(_) => ReplyProgress::ReadingBody,
        }
    }

    /// Returns the header section if it has arrived.
    pub fn head(&self) -> Option<&ReplyHead> {
        self.head.as_ref().map(|(head, _)| head)
    }

    /// Returns what has arrived of the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Reads the next part of the body if it has arrived; returns whether there may be more.
    fn read_part(&mut self) -> Result<bool> {
        let Some((_, part)) = &mut self.head else { return Ok(false) };
        let next = match *part {
            BodyPart::Rest(length) => {
                let taken = length.min(self.pending.len());
                self.body.extend(self.pending.drain(..taken));
                if taken < length { BodyPart::Rest(length - taken) } else { BodyPart::End }
            }
            BodyPart::ChunkSize => {
                let Some(at) = find(&self.pending, LINE_END) else { return Ok(false) };
                let line = str::from_utf8(&self.pending[..at]).ok();
                let length = line.and_then(|line| usize::from_str_radix(line, 16).ok());
                self.pending.drain(..at + LINE_END.len());
                match length.ok_or(ParseError::BadChunk)? {
                    0 => BodyPart::LastLine,
                    length => BodyPart::Chunk(length),
                }
            }
            BodyPart::Chunk(length) if self.pending.len() < length + LINE_END.len() => {
                return Ok(false);
            }
            BodyPart::Chunk(length) => {
                self.body.extend(self.pending.drain(..length));
                self.pending.drain(..LINE_END.len());
                BodyPart::ChunkSize
            }
            BodyPart::LastLine if self.pending.len() < LINE_END.len() => return Ok(false),
            BodyPart::LastLine => {
                self.pending.drain(..LINE_END.len());
                BodyPart::End
            }
            BodyPart::End => return Ok(false),
        };
        let is_stuck = matches!(next, BodyPart::Rest(_) | BodyPart::End);
        *part = next;
        Ok(!is_stuck)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
