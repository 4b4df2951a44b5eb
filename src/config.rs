//! The settings of a controller, checked before anything starts.
//!
//! [`Platform`] is what the platform says of the deployment (TOML), [`Settings`] what the operators choose (XML). What
//! follows from both, such as the configuration of the scheduler, is computed in `derived`. A file that is refused is
//! named in one line with the field and the reason ([`ConfigError`]).

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
