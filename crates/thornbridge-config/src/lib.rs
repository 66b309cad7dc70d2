//! Bundle and settings formats: parsing, validation, canonical digest, signed approval.

pub mod approval;
pub mod bundle;
pub mod canonical;
pub mod diff;
mod document;
pub mod keys;
pub mod objects;
pub mod parse;
pub mod policy;
pub mod problem;
pub mod routes;
pub mod settings;
pub mod validation;
