#!/usr/bin/env bash
# Remakes src/fleet_capnp.rs and src/rank_capnp.rs after a change of the schemas.
# Needs the capnp compiler (Debian: capnproto); nobody else needs it, since the result is committed.
set -euo pipefail
cd "$(dirname "$0")"
tools="$(mktemp -d)"
trap 'rm -rf "$tools"' EXIT
cargo install --quiet --locked --version ~0.27 --root "$tools" capnpc
capnp compile --src-prefix=schema -o "$tools/bin/capnpc-rust:src" schema/fleet.capnp schema/rank.capnp
