#!/usr/bin/env bash
# Plays the case; writes record.txt beside this file. TROUBLE=0 leaves the cut out.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 review/3/case.py
