#!/bin/bash
# Builds the stand-ins of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --offline --target-dir ../../target/review-2
