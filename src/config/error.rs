//! Why a settings file is refused.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A settings file that was refused, printed as one line: the file, the field and the reason.
#[derive(Debug, Error)]
#[error("{file}: {setting}", file = .file.display())]
pub struct ConfigError {
    file: PathBuf,
    #[source]
    setting: InvalidSetting,
}

impl ConfigError {
    pub(super) fn new(file: &Path, setting: InvalidSetting) -> ConfigError {
        ConfigError {
            file: file.to_owned(),
            setting,
        }
    }
}

/// A setting that was refused, and why.
#[derive(Debug, Error)]
#[error("{field}: {reason}")]
pub struct InvalidSetting {
    /// The dotted path of a TOML field, `line` and its number, the name of an XML element, `document`, or `file`.
    pub field: String,
    /// What is wrong with it.
    #[source]
    pub reason: Reason,
}

impl InvalidSetting {
    pub(super) fn new(field: impl Into<String>, reason: impl Into<Reason>) -> InvalidSetting {
        InvalidSetting {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// Returns an error that concerns the XML document as a whole.
    pub(super) fn document(reason: impl Into<Reason>) -> InvalidSetting {
        InvalidSetting::new("document", reason)
    }
}

/// What is wrong with a setting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// The text is not TOML, a field is missing or has the wrong type.
    #[error("{message}", message = .0.message().replace('\n', " "))]
    Toml(#[from] Box<toml::de::Error>),
    /// The text is not XML, or has an entity that is not defined.
    #[error("{0}")]
    Xml(#[from] quick_xml::Error),
    /// Not a finite number above zero.
    #[error("must be a number above 0")]
    NotPositive,
    /// Not a finite number, or below zero.
    #[error("must not be negative")]
    Negative,
    /// An amount of a team that is not a finite number or is below zero.
    #[error("amounts must not be negative")]
    NegativeAmount,
    /// A name without characters.
    #[error("must not be empty")]
    EmptyName,
    /// Below the least value with which a controller can work.
    #[error("must be at least {0}")]
    BelowMinimum(u32),
    /// Fewer sockets than the controllers need among themselves.
    #[error("must be at least {base} and {per_member} more for each member")]
    TooFewSockets {
        /// Sockets that a controller needs by itself.
        base: usize,
        /// Sockets that it needs for each other controller.
        per_member: usize,
    },
    /// An element that does not exist.
    #[error("unknown element")]
    UnknownElement,
    /// An element that was given before.
    #[error("stands twice")]
    DuplicateElement,
    /// An element of the form `<name/>`.
    #[error("is empty")]
    EmptyElement,
    /// A root element with another name, or a second one.
    #[error("the one root element is ravenhead")]
    WrongRoot,
    /// The document ends before the root element does.
    #[error("the root element ravenhead is missing or open")]
    IncompleteRoot,
    /// Text where only elements may stand.
    #[error("text outside an element")]
    StrayText,
    /// A value that is not an unsigned decimal number.
    #[error("{0:?} is not a whole number")]
    NotInteger(String),
    /// A number outside its range.
    #[error("must be {min} to {max}, not {value}")]
    OutOfRange {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
        /// What the file has.
        value: u64,
    },
}
