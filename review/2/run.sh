#!/usr/bin/env bash
# Plays the case; writes record.txt beside this file. TROUBLE=0 writes at another moment.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 review/2/case.py
