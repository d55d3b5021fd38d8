"""Bundles of a given size for the fleet script and the capacity measurements."""

import itertools
import zlib
from dataclasses import dataclass

from shallotspindle_keys import digests

SALT = "00112233445566778899aabbccddeeff"
RATE = 100_000.0
PARTITIONS = 1024
DOMAINS = "abcdefgh"


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its one key, its rate in requests a second and its burst."""

    name: str
    key: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Size:
    """Numbers of things in a bundle.

    :param services: upstreams of each named service.
    :param rate: rate and burst of each team, in requests a second.
    :param named: teams to use instead of numbered ones.
    """

    teams: int = 8
    routes: int = 2
    services: tuple[tuple[str, int], ...] = (("catalogue", 20), ("photos", 6))
    rate: float = RATE
    named: tuple[Team, ...] = ()

    @property
    def upstreams(self) -> int:
        return sum(count for _, count in self.services)


def parse_services(text: str) -> tuple[tuple[str, int], ...]:
    """Parse ``catalogue=20,photos=6``.

    :raises ValueError: when a count is not a number.
    """
    pairs = (item.partition("=") for item in text.split(","))
    return tuple((name, int(count)) for name, _, count in pairs)


def list_upstreams(size: Size) -> list[str]:
    """Return the names of all upstreams, those of each service in turn."""
    columns = (
        [f"{name}-{n}" for n in range(1, count + 1)] for name, count in size.services
    )
    rows = itertools.zip_longest(*columns)
    return [name for row in rows for name in row if name is not None]


def digest_key(key: str) -> bytes:
    """Return the digest of a key under the bundle's salt."""
    return digests.digest_key(bytes.fromhex(SALT), key)


def list_teams(size: Size) -> tuple[Team, ...]:
    """Return the named teams, or ``team-1`` with ``key-team-1`` and so on."""
    names = (f"team-{n}" for n in range(1, size.teams + 1))
    return size.named or tuple(
        Team(name, f"key-{name}", size.rate, size.rate) for name in names
    )


def build_team(team: Team) -> dict:
    digest = digest_key(team.key).hex()
    return {
        "name": team.name,
        "rate": team.rate,
        "burst": team.burst,
        "key_digests": [digest],
    }


def make_address(name: str) -> str:
    """Return an address of an upstream that does not run; nothing listens there."""
    number = zlib.crc32(name.encode())
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{number % 256}:9"


def build_service(name: str, count: int, addresses: dict[str, str]) -> dict:
    """Return a service; upstreams without a process have addresses of their own."""
    upstreams = [
        {
            "name": f"{name}-{n}",
            "address": addresses.get(f"{name}-{n}") or make_address(f"{name}-{n}"),
            "failure_domain": DOMAINS[n % 3],
        }
        for n in range(1, count + 1)
    ]
    return {"name": name, "upstreams": upstreams, "floor": max(1, count // 2)}


def build_routes(size: Size) -> list[dict]:
    """Return one route for each service and further ones below them."""
    names = [name for name, _ in size.services]
    routes = [
        {"name": name, "prefix": f"/{name}", "service": name}
        for name in names[: size.routes]
    ]
    for n in range(size.routes - len(routes)):
        service = names[n % len(names)]
        prefix = f"/{service}/r{n}"
        routes.append({"name": f"route-{n}", "prefix": prefix, "service": service})
    return routes


def build_bundle(size: Size, addresses: dict[str, str], version: int) -> dict:
    """Return the contents of a bundle file.

    :param addresses: ``ip:port`` of the upstreams that run.
    :param version: the first version has the stated rates; each later one adds to
        one team's rate, so that no two bundles are equal.
    """
    teams = [build_team(team) for team in list_teams(size)]
    teams[0]["rate"] += version - 1
    return {
        "version": version,
        "salt": SALT,
        "teams": teams,
        "services": [
            build_service(name, count, addresses) for name, count in size.services
        ],
        "routes": build_routes(size),
    }
