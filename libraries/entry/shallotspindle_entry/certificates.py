"""TLS for connections of callers, with certificates reloaded when they change."""

import asyncio
import ssl
from pathlib import Path
from typing import Any

from absl import logging
from aiomisc import Service


def build_tls_context(certificate: Path, private_key: Path) -> ssl.SSLContext:
    """Return a TLS server context for a certificate chain and its private key."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, private_key)
    return context


class CertificateReloader(Service):
    """Loads a changed certificate into the TLS context; open connections stay open.

    :param interval: time between two checks of the files, in seconds.
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
        self._loaded_times = self._read_times()

    def _read_times(self) -> tuple[int, ...]:
        return tuple(path.stat().st_mtime_ns for path in self._paths)

    async def start(self) -> None:
        self.start_event.set()
        while True:
            await asyncio.sleep(self._interval)
            self.reload()

    def reload(self) -> bool:
        """Load the certificate if its files changed.

        :returns: whether a new certificate was loaded.
        """
        try:
            times = self._read_times()
            if times == self._loaded_times:
                return False
            self._context.load_cert_chain(*self._paths)
        except (OSError, ssl.SSLError) as error:
            # A partially written file must not stop the service; the old certificate
            # stays in use.
            logging.warning("loading the changed certificate failed: %s", error)
            return False
        self._loaded_times = times
        logging.info("loaded the changed certificate")
        return True
