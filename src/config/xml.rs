//! Reader for XML documents that consist of a root element and its direct children, each with a different name.

use crate::config::error::{InvalidSetting, Reason};
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};

const ROOT: &str = "ravenhead";

/// An element below the root.
#[derive(Debug)]
pub(super) struct Element {
    pub(super) name: String,
    /// Unescaped text of the element, including surrounding white space.
    pub(super) text: String,
}

/// Returns the elements below the root, in document order.
///
/// # Errors
///
/// Returns an error if the text is not well-formed XML, has another root element, or has elements that are nested,
/// repeated or of the form `<name/>`.
pub(super) fn read_elements(text: &str) -> Result<Vec<Element>, InvalidSetting> {
    let mut reader = Reader::from_str(text);
    let mut document = Document::default();
    loop {
        match reader.read_event().map_err(InvalidSetting::document)? {
            Event::Start(tag) => document.open(name_of(&tag))?,
            Event::Empty(tag) => document.open_and_close(name_of(&tag))?,
            Event::End(_) => document.close(),
            Event::Text(text) => {
                document.add_text(&text.unescape().map_err(InvalidSetting::document)?)?;
            }
            Event::Eof => return document.finish(),
            _ => {}
        }
    }
}

fn name_of(tag: &BytesStart<'_>) -> String {
    String::from_utf8_lossy(tag.name().as_ref()).into_owned()
}

/// The part of the document that has been read. The XML reader checks that start and end tags match.
#[derive(Default)]
struct Document {
    has_root: bool,
    /// Number of open elements, including the root.
    depth: usize,
    elements: Vec<Element>,
}

impl Document {
    fn open(&mut self, name: String) -> Result<(), InvalidSetting> {
        match self.depth {
            0 if self.is_first_root(&name) => self.has_root = true,
            0 => return Err(InvalidSetting::new(name, Reason::WrongRoot)),
            1 if self.elements.iter().any(|e| e.name == name) => {
                return Err(InvalidSetting::new(name, Reason::DuplicateElement));
            }
            1 => self.elements.push(Element {
                name,
                text: String::new(),
            }),
            _ => return Err(InvalidSetting::new(name, Reason::UnknownElement)),
        }
        self.depth += 1;
        Ok(())
    }

    fn open_and_close(&mut self, name: String) -> Result<(), InvalidSetting> {
        if self.depth != 0 || !self.is_first_root(&name) {
            return Err(InvalidSetting::new(name, Reason::EmptyElement));
        }
        self.has_root = true;
        Ok(())
    }

    fn close(&mut self) {
        self.depth = self.depth.saturating_sub(1);
    }

    fn add_text(&mut self, text: &str) -> Result<(), InvalidSetting> {
        match self.elements.last_mut() {
            Some(element) if self.depth == 2 => element.text.push_str(text),
            _ if text.trim().is_empty() => {}
            _ => return Err(InvalidSetting::document(Reason::StrayText)),
        }
        Ok(())
    }

    fn finish(self) -> Result<Vec<Element>, InvalidSetting> {
        if self.has_root && self.depth == 0 {
            return Ok(self.elements);
        }
        Err(InvalidSetting::document(Reason::IncompleteRoot))
    }

    fn is_first_root(&self, name: &str) -> bool {
        name == ROOT && !self.has_root
    }
}
