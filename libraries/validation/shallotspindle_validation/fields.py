"""Types of fields, with the bounds that other code relies on."""

from typing import Annotated

from pydantic import AfterValidator, Field

from shallotspindle_core import addresses, bounds


def check_address(text: str) -> str:
    """Return ``ip:port`` unchanged.

    :raises ValueError: if the text is not an IP address and a port.
    """
    if not addresses.is_address(text):
        raise ValueError("not an IP address with a port from 1 to 65535")
    return text


def check_ipv4_address(text: str) -> str:
    """Return ``ip:port`` unchanged.

    :raises ValueError: if the text is not a dotted IPv4 address and a port.
    """
    if not addresses.is_ipv4_address(text):
        raise ValueError("not a dotted IPv4 address with a port from 1 to 65535")
    return text


Address = Annotated[str, AfterValidator(check_address)]
Ipv4Address = Annotated[str, AfterValidator(check_ipv4_address)]
# Names of services, upstreams and teams become values of HTTP headers.
Name = Annotated[
    str,
    Field(
        min_length=1, max_length=bounds.MAX_NAME_LENGTH, pattern=r"^[^\x00-\x1f\x7f]*$"
    ),
]
# A hash of 64 bits in hexadecimal.
Fingerprint = Annotated[str, Field(pattern=r"^[0-9a-f]{16}$")]
Slots = Annotated[int, Field(ge=1, le=bounds.MAX_SLOTS)]
Connections = Annotated[int, Field(ge=1, le=bounds.MAX_CONNECTIONS)]
Counter = Annotated[int, Field(ge=0, le=bounds.MAX_COUNTER)]
Revision = Annotated[int, Field(ge=0, le=bounds.MAX_REVISION)]
Priority = Annotated[int, Field(ge=-bounds.MAX_PRIORITY, le=bounds.MAX_PRIORITY)]
Attempts = Annotated[int, Field(ge=0, le=bounds.MAX_ATTEMPTS)]
ByteCount = Annotated[int, Field(ge=0, le=bounds.MAX_BYTES)]
Port = Annotated[int, Field(ge=1, le=addresses.MAX_PORT)]
# Requests a second, or requests at once.
Rate = Annotated[float, Field(ge=0, le=bounds.MAX_REQUESTS_PER_SECOND)]
Weight = Annotated[float, Field(ge=0, le=bounds.MAX_WEIGHT)]
Megabits = Annotated[float, Field(ge=0, le=bounds.MAX_MEGABITS_PER_SECOND)]
Seconds = Annotated[float, Field(ge=0, le=bounds.MAX_SECONDS)]
