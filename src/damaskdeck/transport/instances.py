"""The instance list over HTTP; the only module that knows its wire.

The list is asked for every second and hardly ever changes, so that each call
names the last ``ETag`` and an unchanged list costs its headers only.
"""

from datetime import timedelta

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.protocol.ports import Instances, Lost, Rejected
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool

CALL_TIMEOUT = timedelta(seconds=3)
CONNECTION_LIMIT = 2

_decoder = msgspec.json.Decoder(Instances)


class HttpInstanceList:
    """Implements the port ``InstanceList``.

    :param address: IP and port of the platform's service.
    :param client_name: this daemon's name, sent with each call.
    :param timeout: how long an answer is waited for.
    """

    def __init__(
        self,
        address: str,
        client_name: str = "",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._url = f"http://{address}/instances"
        self._timeout = timeout
        self._pool = HttpPool(CONNECTION_LIMIT, client_name=client_name)
        self._etag = ""
        self._known = Instances(())

    async def list_instances(self) -> Instances | Rejected | Lost:
        """Read the whole list, or learn cheaply that it is unchanged."""
        headers = {"if-none-match": self._etag} if self._etag else None
        reply = await self._pool.get(self._url, self._timeout, headers)
        if isinstance(reply, Rejected | Lost):
            return reply
        if reply.status == 200:
            try:
                self._known = _decoder.decode(reply.body)
            except DECODE_ERRORS as error:
                return Lost(BAD_ANSWER, str(error))
            self._etag = reply.headers.get("etag", "")
        elif reply.status != 304 or not self._etag:
            return Lost(BAD_ANSWER, f"unexpected status {reply.status}")
        return self._known

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()
