"""The four outcomes of a request or job; there is never a fifth."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.values import distinct


@distinct
class Completed(NamedTuple):
    """It ran and ended well.

    Promise: "Every caller gets the whole answer to its own request".

    :param body: the whole answer.
    :param content_type: media type of ``body``.
    """

    body: bytes = b""
    content_type: str = "application/json"


@distinct
class Failed(NamedTuple):
    """It ran and ended badly.

    :param code: stable code, as in ``exit_nonzero`` or ``cancelled``.
    :param detail: plain words for people.
    """

    code: str
    detail: str = ""


@distinct
class Refused(NamedTuple):
    """It did not run, nor will it.

    Promise: "When the system says a request was not run, it truly did not run."

    :param code: stable code, as in ``queue_full``.
    :param detail: plain words for people.
    :param retry_after: when to come back; ``None`` when coming back won't help.
    """

    code: str
    detail: str = ""
    retry_after: timedelta | None = None


@distinct
class Unknown(NamedTuple):
    """It may have run; its end can't be learned.

    :param code: stable code, as in ``answer_lost``.
    :param detail: plain words for people.
    """

    code: str
    detail: str = ""


Outcome = Completed | Failed | Refused | Unknown
