//! Tests of the gateway.
