"""Starts the stand-ins and three instances, sends requests and checks the answers."""

import json
import secrets
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_keys import digests

BIN = Path(sys.executable).parent
KEY = "museum-key"
SALT = "00112233445566778899aabbccddeeff"


def write_files(folder: Path, ports: dict[str, int]) -> None:
    """Write the bundle, the signing key and the settings of three instances."""
    private = Ed25519PrivateKey.generate()
    raw = private.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    public = private.public_key().public_bytes_raw().hex()
    (folder / "signing-key").write_text(raw.hex())
    upstreams = [
        {"name": name, "address": f"127.0.0.1:{port}", "failure_domain": "a"}
        for name, port in ports.items()
        if name.startswith("catalogue")
    ]
    bundle = {
        "version": 1,
        "salt": SALT,
        "teams": [
            {
                "name": "museum",
                "rate": 100,
                "burst": 100,
                "key_digests": [digests.digest_key(bytes.fromhex(SALT), KEY).hex()],
            }
        ],
        "services": [{"name": "catalogue", "upstreams": upstreams, "floor": 1}],
        "routes": [{"name": "records", "prefix": "/records", "service": "catalogue"}],
    }
    (folder / "bundle.json").write_text(json.dumps(bundle, indent=2))
    for n in range(3):
        settings = {
            "name": f"entry-{n}",
            "failure_domain": "abc"[n],
            "store_url": f"http://127.0.0.1:{ports['store']}",
            "instance_list_url": f"http://127.0.0.1:{ports['list']}/instances",
            "signers": {"astrid": public},
            "fleet_secret": secrets.token_hex(32),
        }
        (folder / f"entry-{n}.json").write_text(json.dumps(settings))


def start_entry(folder: Path, n: int) -> tuple[subprocess.Popen, int]:
    """Start an instance and return it with the port for callers once it is ready."""
    process = subprocess.Popen(
        [BIN / "shallotspindle-entry", "--settings", folder / f"entry-{n}.json"],
        stderr=subprocess.PIPE,
        text=True,
    )
    for line in process.stderr:
        fields = json.loads(line)["message"].split()
        if fields[0] == "listening:":
            wait_until_ready(int(fields[4]))
            return process, int(fields[2].rstrip(","))
    sys.exit(f"instance {n} did not start")


def wait_until_ready(port: int) -> None:
    """Ask an instance's administration port until it is ready."""
    while True:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/ready", timeout=5):
                return
        except urllib.error.URLError:
            time.sleep(0.05)


def send(port: int, path: str, key: str | None) -> tuple[int, str]:
    """Send a request and return the status and the body."""
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}")
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def run(folder: Path, processes: list[subprocess.Popen]) -> int:
    standins = subprocess.Popen(
        [BIN / "shallotspindle-standins", "catalogue-1", "catalogue-2"],
        stdout=subprocess.PIPE,
        text=True,
    )
    processes.append(standins)
    ports = json.loads(standins.stdout.readline())
    write_files(folder, ports)
    subprocess.run(
        [
            BIN / "shallotspindle",
            "publish",
            folder / "bundle.json",
            "--store",
            f"http://127.0.0.1:{ports['store']}",
            "--signer",
            "astrid",
            "--key",
            folder / "signing-key",
        ],
        check=True,
    )
    counts = {"own answer": 0, "refused without key": 0, "wrong": 0}
    for n in range(3):
        process, port = start_entry(folder, n)
        processes.append(process)
        status, body = send(port, "/records/7", KEY)
        good = status == 200 and "GET /records/7" in body
        counts["own answer" if good else "wrong"] += 1
        status, body = send(port, "/records/7", "other")
        good = status == 401 and json.loads(body)["outcome"] == "not-run"
        counts["refused without key" if good else "wrong"] += 1
    print(json.dumps(counts, indent=2))
    return 1 if counts["wrong"] else 0


def main() -> int:
    started = time.monotonic()
    processes: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return run(Path(folder), processes)
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(timeout=30)
            print(f"{time.monotonic() - started:.1f} s")


if __name__ == "__main__":
    sys.exit(main())
