//! What the tests share.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod engines;
pub mod fleet;
pub mod group;
pub mod leader;
pub mod region;
pub mod replica;
pub mod zone;
