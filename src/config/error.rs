//! Errors for invalid settings files.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error in a settings file, displayed as one line with the file, the field and the reason.
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

/// An invalid setting, with the reason why it is rejected.
#[derive(Debug, Error)]
#[error("{field}: {reason}")]
pub struct InvalidSetting {
    /// The dotted path of a TOML field, `line` and a line number, the name of an XML element, `document` for the XML
    /// document as a whole, or `file` for a file that can't be read.
    pub field: String,
    /// The reason why it is rejected.
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

    /// Creates an error that concerns the XML document as a whole.
    pub(super) fn document(reason: impl Into<Reason>) -> InvalidSetting {
        InvalidSetting::new("document", reason)
    }
}

/// The reason why a setting is rejected.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// The text is not valid TOML, or a field is missing or has the wrong type.
    #[error("{message}", message = .0.message().replace('\n', " "))]
    Toml(#[from] Box<toml::de::Error>),
    /// The text is not well-formed XML, or contains an undefined entity.
    #[error("{0}")]
    Xml(#[from] quick_xml::Error),
    /// The value is not a finite number above zero.
    #[error("must be a number above 0")]
    NotPositive,
    /// The value is below zero or not a finite number.
    #[error("must not be negative")]
    Negative,
    /// A team's guarantee or limit is below zero or not a finite number.
    #[error("amounts must not be negative")]
    NegativeAmount,
    /// A name is the empty string.
    #[error("must not be empty")]
    EmptyName,
    /// The value is below the minimum that a controller needs. Holds the minimum.
    #[error("must be at least {0}")]
    BelowMinimum(u32),
    /// The socket limit is below the minimum for this number of controllers.
    #[error("must be at least {base} and {per_member} more for each member")]
    TooFewSockets {
        /// Sockets that a controller needs regardless of the number of other controllers.
        base: usize,
        /// Additional sockets that it needs for each other controller.
        per_member: usize,
    },
    /// The element is not a known setting.
    #[error("unknown element")]
    UnknownElement,
    /// The element occurs a second time.
    #[error("stands twice")]
    DuplicateElement,
    /// The element has the form `<name/>`, without a value.
    #[error("is empty")]
    EmptyElement,
    /// The root element has another name, or there is a second root element.
    #[error("the one root element is ravenhead")]
    WrongRoot,
    /// The document has no root element, or ends before the root element is closed.
    #[error("the root element ravenhead is missing or open")]
    IncompleteRoot,
    /// There is text in a place where only elements are allowed.
    #[error("text outside an element")]
    StrayText,
    /// The value is not an unsigned decimal integer. Holds its text.
    #[error("{0:?} is not a whole number")]
    NotInteger(String),
    /// The number is outside the range of the setting.
    #[error("must be {min} to {max}, not {value}")]
    OutOfRange {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
        /// Value in the file.
        value: u64,
    },
}
