//! Settings of a controller, validated before it starts.
//!
//! [`Platform`] is the platform's description of the deployment (TOML), [`Settings`] are the operators' choices (XML).
//! The module `derived` computes values that depend on them, such as the configuration of the scheduler. For an invalid
//! file, [`ConfigError`] reports the file, the field and the reason in one line.

mod derived;
mod error;
mod operator;
mod platform;
mod xml;

pub use error::{ConfigError, InvalidSetting, Reason};
pub use operator::Settings;
pub use platform::{
    CloudLimits, External, Facts, MachineLimits, Member, Objective, Platform, StateLimits, Team,
    Workers,
};

#[cfg(test)]
mod tests;
