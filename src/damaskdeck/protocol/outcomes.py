"""The four possible outcomes of a request or job."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.values import distinct


@distinct
class Completed(NamedTuple):
    """It ran and succeeded.

    Guarantee: "Every caller gets the whole answer to its own request".

    :param body: the whole answer.
    :param content_type: media type of ``body``.
    """

    body: bytes = b""
    content_type: str = "application/json"


@distinct
class Failed(NamedTuple):
    """It ran and failed.

    :param code: stable code, as in ``exit_nonzero`` or ``cancelled``.
    :param detail: text for people.
    """

    code: str
    detail: str = ""


@distinct
class Refused(NamedTuple):
    """It did not run and never will.

    Guarantee: "When the system says a request was not run, it truly did not run."

    :param code: stable code, as in ``queue_full``.
    :param detail: text for people.
    :param retry_after: when to retry; ``None`` when a retry won't help.
    """

    code: str
    detail: str = ""
    retry_after: timedelta | None = None


@distinct
class Unknown(NamedTuple):
    """It may have run; its result can't be determined.

    :param code: stable code, as in ``answer_lost``.
    :param detail: text for people.
    """

    code: str
    detail: str = ""


Outcome = Completed | Failed | Refused | Unknown
