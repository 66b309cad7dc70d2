//! Paths, query strings and headers of the object API.

use crate::stand_in::server::{Rejection, empty, text};
use hyper::StatusCode;
use hyper::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};
use thornbridge_proto::platform::{ObjectKind, Precondition, ResourceVersion};

/// What an object's path names.
pub enum Target {
    /// One object.
    Object(ObjectKind, String),
    /// All objects of a kind.
    Kind(ObjectKind),
    /// The list of machines.
    Machines,
}

impl Target {
    /// Reads a path.
    pub fn parse(path: &str) -> Result<Self, Rejection> {
        let segments: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
        let kind = |segment: &str| {
            let unknown = || Rejection::from(text(StatusCode::NOT_FOUND, "no such kind of object"));
            ObjectKind::parse(segment).ok_or_else(unknown)
        };
        match segments.as_slice() {
            ["machines"] => Ok(Self::Machines),
            ["objects", of_kind] => Ok(Self::Kind(kind(of_kind)?)),
            ["objects", of_kind, name] if !name.is_empty() => {
                Ok(Self::Object(kind(of_kind)?, (*name).to_owned()))
            }
            _ => Err(empty(StatusCode::NOT_FOUND).into()),
        }
    }
}

/// A header's text.
pub fn header(headers: &HeaderMap, name: impl hyper::header::AsHeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What must hold for a write.
pub fn precondition(headers: &HeaderMap) -> Result<Precondition, Rejection> {
    if header(headers, IF_NONE_MATCH) == Some("*") {
        return Ok(Precondition::Absent);
    }
    match if_match(headers)? {
        Some(version) => Ok(Precondition::Version(version)),
        None => Err(text(
            StatusCode::PRECONDITION_REQUIRED,
            "If-None-Match: * or If-Match: \"VERSION\" is needed",
        )
        .into()),
    }
}

/// Version in `If-Match`, where it is there.
pub fn if_match(headers: &HeaderMap) -> Result<Option<ResourceVersion>, Rejection> {
    let Some(tag) = header(headers, IF_MATCH) else {
        return Ok(None);
    };
    match tag.trim_matches('"').parse() {
        Ok(version) => Ok(Some(ResourceVersion(version))),
        Err(_) => Err(text(
            StatusCode::BAD_REQUEST,
            "If-Match is not a version in quotes",
        )
        .into()),
    }
}

/// Version to watch from, where the query string asks for a watch.
pub fn watch_from(query: &str) -> Result<Option<ResourceVersion>, Rejection> {
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    };
    if value("watch") != Some("1") {
        return Ok(None);
    }
    match value("from").unwrap_or("0").parse() {
        Ok(from) => Ok(Some(ResourceVersion(from))),
        Err(_) => Err(text(StatusCode::BAD_REQUEST, "from is not a version").into()),
    }
}
