"""Callers of the upload route: large bodies, some of which break off."""

import contextlib
import http.client

from roadpass import clock
from soak.body import BROKEN_OFF, upload_body
from soak.caller import DEADLINE_S, HOST, Caller
from soak.history import CLOSED, MALFORMED, TIMED_OUT, NodeProcess, Request

UPLOAD_ROUTES = {"u": "POST"}
"""Method of the upload route; its requests are not repeatable."""
BODY_BYTES = (20_000, 200_000)
BROKEN_OFF_SHARE = 0.2
"""Share of uploads whose connection is closed before the end of the body."""
UPLOAD_DEADLINE_S = 2.0 * DEADLINE_S


class UploadCaller(Caller):
    """Sends uploads on new connections and breaks some of them off."""

    routes, deadline_s, broken_off_share = UPLOAD_ROUTES, UPLOAD_DEADLINE_S, BROKEN_OFF_SHARE

    def _send(
        self, process: NodeProcess, connection: http.client.HTTPConnection, request_id: str
    ) -> bool:
        route, path = self._choose_path(request_id)
        customer, key = self._choose_key()
        body = upload_body(request_id, self._body_bytes(route))
        broken_off = bool(body) and self._rng.random() < self.broken_off_share
        repeatable = self.routes[route] == "GET"
        request = Request(request_id, route, repeatable, process, clock.now(), path=path)
        request.customer, request.key = customer, key
        request.deadline_s, request.body_bytes = self.deadline_s, body
        self._history.requests[request_id] = request
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": f"{self.deadline_s * 1000:.0f}",
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
        }
        with contextlib.suppress(OSError):
            self._exchange(connection, request, headers, broken_off=broken_off)
        request.error = BROKEN_OFF if broken_off else request.error
        request.ended_at = clock.now()
        connection.close()
        return False

    def _body_bytes(self, route: str) -> int:
        """Return the length of the next body."""
        return self._rng.randrange(*BODY_BYTES)

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        request: Request,
        headers: dict[str, str],
        *,
        broken_off: bool,
    ) -> None:
        body = request.body_bytes
        try:
            method = self.routes[request.route]
            connection.putrequest(method, request.path, skip_host=True, skip_accept_encoding=True)
            for name, value in headers.items():
                connection.putheader(name, value)
            connection.endheaders()
            connection.send(body[: len(body) // 2] if broken_off else body)
            if not broken_off:
                self._read_response(connection, request)
        except TimeoutError:
            request.error = TIMED_OUT
        except (OSError, http.client.IncompleteRead):
            request.error = CLOSED
        except http.client.HTTPException:
            request.error = MALFORMED
