#!/usr/bin/env bash
# Plays the case; writes record.txt beside this file. TROUBLE=0 leaves the restarts out.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 review/5/case.py
