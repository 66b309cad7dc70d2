//! Tests of requests under way.
