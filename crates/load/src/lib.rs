//! Drives real controllers on loopback: the randomized fault test (`soak`). The load measurement is the program
//! `ravenhead-load`.

#![warn(missing_docs)]

pub mod soak;
