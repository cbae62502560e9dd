#!/usr/bin/env bash
# Remakes src/fleet_capnp.rs after a change of schema/fleet.capnp.
# Needs the capnp compiler (Debian: capnproto); nobody else needs it, since the result is committed.
set -euo pipefail
cd "$(dirname "$0")"
tools="$(mktemp -d)"
trap 'rm -rf "$tools"' EXIT
cargo install --quiet --locked --version ~0.27 --root "$tools" capnpc
capnp compile --src-prefix=schema -o "$tools/bin/capnpc-rust:src" schema/fleet.capnp
