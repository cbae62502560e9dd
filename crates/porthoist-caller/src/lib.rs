//! The caller side: requests, answers and refusals over HTTP.
//!
//! This package handles each request from start to end. Routing, offers and claims are reached through the traits in
//! [`ports`].

pub mod attempt;
pub mod delivery;
pub mod handler;
pub mod keyed_request;
pub mod ports;
pub mod problem;
pub mod request;
pub mod server;

pub use ports::{
    CallerPorts, CallerRefusal, ClaimPort, ConfigPort, OfferFailure, OfferPort, RouteRequest, RoutingPort,
};
pub use server::{CallerServer, CallerSettings};
