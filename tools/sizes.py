"""Builds bundles of a given size for the fleet script and the measurements."""

import itertools
import zlib
from dataclasses import dataclass

from shallotspindle_keys import digests

SALT = "00112233445566778899aabbccddeeff"
DEFAULT_RATE = 100_000.0
PARTITION_COUNT = 1024
FAILURE_DOMAINS = "abcdefgh"


@dataclass(frozen=True, slots=True)
class Team:
    """A team with a single key.

    :param rate: in requests per second.
    """

    name: str
    key: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Size:
    """Number of records of each kind in a bundle.

    :param services: names of the services with their numbers of upstreams.
    :param rate: rate and burst of each team, in requests per second.
    :param given_teams: teams that replace the generated ones.
    """

    teams: int = 8
    routes: int = 2
    services: tuple[tuple[str, int], ...] = (("catalogue", 20), ("photos", 6))
    rate: float = DEFAULT_RATE
    given_teams: tuple[Team, ...] = ()

    @property
    def upstreams(self) -> int:
        return sum(count for _, count in self.services)


def parse_services(text: str) -> tuple[tuple[str, int], ...]:
    """Parse ``catalogue=20,photos=6``.

    :raises ValueError: if a count is not a number.
    """
    pairs = (item.partition("=") for item in text.split(","))
    return tuple((name, int(count)) for name, _, count in pairs)


def list_upstreams(size: Size) -> list[str]:
    """Return the names of all upstreams, alternating between the services."""
    names_by_service = (
        [f"{name}-{n}" for n in range(1, count + 1)] for name, count in size.services
    )
    rounds = itertools.zip_longest(*names_by_service)
    return [name for names in rounds for name in names if name is not None]


def digest_key(key: str) -> bytes:
    """Return the digest of a key with the salt of the bundle."""
    return digests.digest_key(bytes.fromhex(SALT), key)


def list_teams(size: Size) -> tuple[Team, ...]:
    """Return the given teams, or ``team-1`` with ``key-team-1`` and so on."""
    names = (f"team-{n}" for n in range(1, size.teams + 1))
    return size.given_teams or tuple(
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


def build_unused_address(name: str) -> str:
    """Return an address for an upstream that does not run; nothing listens on it."""
    number = zlib.crc32(name.encode())
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{number % 256}:9"


def build_service(name: str, count: int, addresses: dict[str, str]) -> dict:
    """Return a service.

    :param addresses: addresses of the upstreams that run; the others get unique ones.
    """
    upstreams = [
        {
            "name": f"{name}-{n}",
            "address": addresses.get(f"{name}-{n}")
            or build_unused_address(f"{name}-{n}"),
            "failure_domain": FAILURE_DOMAINS[n % 3],
        }
        for n in range(1, count + 1)
    ]
    return {"name": name, "upstreams": upstreams, "floor": max(1, count // 2)}


def build_routes(size: Size) -> list[dict]:
    """Return one route per service, then routes with longer prefixes below them."""
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
    """Return the content of a bundle file.

    :param addresses: ``ip:port`` of the upstreams that run.
    :param version: each version after the first raises the rate of one team, so that no
        two versions are equal.
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
