"""Base class of all actors; an error while handling a message never ends the actor."""

import logging
from typing import Any

import pykka

_log = logging.getLogger("roadpass.actor")


class Actor(pykka.ThreadingActor):
    """An actor that owns its state and sockets; subclasses implement `handle`."""

    use_daemon_thread = True

    def handle(self, message: Any) -> None:
        """Handle one message; the default is for actors that expect none."""
        _log.error("%s received an unexpected message %r", type(self).__name__, message)

    def on_receive(self, message: Any) -> Any:
        """Handle one message; an error is logged and the actor continues."""
        try:
            self.handle(message)
        except Exception:
            _log.exception(
                "%s failed to handle a %s message", type(self).__name__, type(message).__name__
            )
