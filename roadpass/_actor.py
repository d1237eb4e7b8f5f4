"""The base of all actors: what a message brings about never ends the actor."""

import logging
from typing import Any

import pykka

_log = logging.getLogger("roadpass.actor")


class Actor(pykka.ThreadingActor):
    """A task that owns its state and sockets; subclasses implement `handle`."""

    use_daemon_thread = True

    def handle(self, message: Any) -> None:
        """Handle one message; an actor that only owns a socket takes none."""
        _log.error("%s got an unknown message %r", type(self).__name__, message)

    def on_receive(self, message: Any) -> Any:
        """Handle one message; an error is logged and the actor lives on."""
        try:
            self.handle(message)
        except Exception:
            _log.exception("%s failed on %s", type(self).__name__, type(message).__name__)
