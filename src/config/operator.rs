//! The operators' settings file (XML).

use crate::config::error::{ConfigError, InvalidSetting, Reason};
use crate::config::xml::{Element, read_elements};
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

/// The operators' settings. Every element is optional; `None` means that it is absent and its default applies.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Interval at which pending jobs are offered again, in milliseconds, before jitter is added.
    pub retry_ms: Option<u64>,
    /// Maximum random time added to the retry interval, in milliseconds.
    pub jitter_ms: Option<u64>,
    /// Time after which an empty machine is terminated, in seconds.
    pub idle_s: Option<u64>,
    /// Number of free places kept for classes that can't wait for a machine to be provisioned.
    pub reserve: Option<u32>,
    /// Maximum number of accepted jobs that have not reached a terminal state.
    pub admission_cap: Option<usize>,
    /// Maximum number of offers in one scheduling cycle. Beyond it, jobs are offered to samples of the machines.
    pub max_offers_per_cycle: Option<usize>,
    /// Maximum number of machines provisioned in one scheduling cycle.
    pub max_scale_out_per_cycle: Option<usize>,
    /// Time to live of the leader's lease, in milliseconds.
    pub leader_lease_ms: Option<u64>,
    /// Whether a new leader logs how much of the state that it found recorded it has confirmed: 0 or 1.
    pub recovery_report: Option<u64>,
    /// Whether stored state that the key-value store has lost is rebuilt: 0 or 1.
    pub rebuild: Option<u64>,
}

/// Definition of an element: its name in the file, the range of its values, and the setting that it sets.
pub(super) struct ElementKind {
    pub(super) name: &'static str,
    range: RangeInclusive<u64>,
    set: fn(&mut Settings, u64),
}

impl ElementKind {
    const fn new(
        name: &'static str,
        range: RangeInclusive<u64>,
        set: fn(&mut Settings, u64),
    ) -> ElementKind {
        ElementKind { name, range, set }
    }
}

/// All elements that the file may contain.
pub(super) static ELEMENTS: [ElementKind; 10] = [
    ElementKind::new("retry-ms", 50..=60_000, |s, n| s.retry_ms = Some(n)),
    ElementKind::new("jitter-ms", 0..=60_000, |s, n| s.jitter_ms = Some(n)),
    ElementKind::new("idle-s", 0..=86_400, |s, n| s.idle_s = Some(n)),
    ElementKind::new("reserve", 0..=10_000, |s, n| {
        s.reserve = u32::try_from(n).ok();
    }),
    ElementKind::new("admission-cap", 1..=10_000_000, |s, n| {
        s.admission_cap = Some(saturating_usize(n));
    }),
    ElementKind::new("offers-per-round", 100..=10_000_000, |s, n| {
        s.max_offers_per_cycle = Some(saturating_usize(n));
    }),
    ElementKind::new("rent-per-round", 1..=1_000, |s, n| {
        s.max_scale_out_per_cycle = Some(saturating_usize(n));
    }),
    ElementKind::new("leader-lease-ms", 1_000..=60_000, |s, n| {
        s.leader_lease_ms = Some(n);
    }),
    ElementKind::new("recovery-report", 0..=1, |s, n| s.recovery_report = Some(n)),
    ElementKind::new("rebuild", 0..=1, |s, n| s.rebuild = Some(n)),
];

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or [`Settings::parse`] rejects its text.
    pub fn load(path: &Path) -> Result<Settings, ConfigError> {
        fs::read_to_string(path)
            .map_err(|e| InvalidSetting::new("file", e))
            .and_then(|text| Settings::parse(&text))
            .map_err(|invalid| ConfigError::new(path, invalid))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error for the first element that is unknown, repeated, not a whole number or out of its range, or if
    /// the text is not well-formed XML with the root element `ravenhead`.
    pub fn parse(text: &str) -> Result<Settings, InvalidSetting> {
        let mut settings = Settings::default();
        for element in read_elements(text)? {
            settings.apply(element)?;
        }
        Ok(settings)
    }

    fn apply(&mut self, Element { name, text }: Element) -> Result<(), InvalidSetting> {
        let Some(kind) = ELEMENTS.iter().find(|kind| kind.name == name) else {
            return Err(InvalidSetting::new(name, Reason::UnknownElement));
        };
        let Ok(number) = text.trim().parse() else {
            return Err(InvalidSetting::new(name, Reason::NotInteger(text)));
        };
        if !kind.range.contains(&number) {
            let reason = Reason::OutOfRange {
                min: *kind.range.start(),
                max: *kind.range.end(),
                value: number,
            };
            return Err(InvalidSetting::new(name, reason));
        }
        (kind.set)(self, number);
        Ok(())
    }
}
