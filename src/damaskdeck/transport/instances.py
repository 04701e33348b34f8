"""HTTP client of the platform's instance list; only this module knows its protocol.

The list is read every second and rarely changes. Each call therefore sends the last
``ETag``, and the answer for an unchanged list has no body.
"""

from datetime import timedelta

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.protocol.ports import Instances, Lost, Rejected
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool

CALL_TIMEOUT = timedelta(seconds=3)
MAX_CONNECTIONS = 2

_decoder = msgspec.json.Decoder(Instances)


class HttpInstanceList:
    """Implements the port ``InstanceList``.

    :param address: IP and port of the platform's service.
    :param client_name: this daemon's name, sent with each call.
    :param timeout: time limit of a call.
    """

    def __init__(
        self,
        address: str,
        client_name: str = "",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._url = f"http://{address}/instances"
        self._timeout = timeout
        self._pool = HttpPool(MAX_CONNECTIONS, client_name=client_name)
        self._etag = ""
        self._last_instances = Instances(())

    async def list_instances(self) -> Instances | Rejected | Lost:
        """Return the whole list; an unchanged list is the same object as before.

        :return: ``Rejected`` or ``Lost`` when the list could not be read.
        """
        headers = {"if-none-match": self._etag} if self._etag else None
        reply = await self._pool.get(self._url, self._timeout, headers)
        if isinstance(reply, Rejected | Lost):
            return reply
        if reply.status == 200:
            try:
                self._last_instances = _decoder.decode(reply.body)
            except DECODE_ERRORS as error:
                return Lost(BAD_ANSWER, str(error))
            self._etag = reply.headers.get("etag", "")
        elif reply.status != 304 or not self._etag:
            return Lost(BAD_ANSWER, f"unexpected status {reply.status}")
        return self._last_instances

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()
