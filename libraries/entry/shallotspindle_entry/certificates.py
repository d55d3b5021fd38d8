"""TLS towards callers, with certificates that are read again when they change."""

import asyncio
import ssl
from pathlib import Path
from typing import Any

from absl import logging
from aiomisc import Service


def build_context(certificate: Path, private_key: Path) -> ssl.SSLContext:
    """Return a server context for a certificate chain and its key."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, private_key)
    return context


class CertificateReloader(Service):
    """Loads a changed certificate into the context; open connections stay.

    :param interval: time between two looks at the files, in seconds.
    """

    def __init__(
        self,
        context: ssl.SSLContext,
        certificate: Path,
        private_key: Path,
        interval: float,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._interval = interval
        self._context = context
        self._paths = (certificate, private_key)
        self._seen = self._read_times()

    def _read_times(self) -> tuple[int, ...]:
        return tuple(path.stat().st_mtime_ns for path in self._paths)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(self._interval)
            self.reload()

    def reload(self) -> bool:
        """Load the certificate if its files changed.

        :returns: whether a new certificate is in use.
        """
        try:
            times = self._read_times()
            if times == self._seen:
                return False
            self._context.load_cert_chain(*self._paths)
        except (OSError, ssl.SSLError) as error:
            # A half-written file must not end the service; the old one stays.
            logging.warning("the certificate was not loaded: %s", error)
            return False
        self._seen = times
        logging.info("a new certificate is in use")
        return True
