"""How sure it is that the registry's workers are as an owner last read them."""

from datetime import timedelta

from damaskdeck.logs import get_logger

_log = get_logger("workforce")


class RegistryView:
    """When the registry was last seen, in monotonic seconds.

    A worker's room may shrink at any moment, and an owner that the store doesn't answer
    doesn't hear of it: by a view that is too old nothing is started.

    :param limit: so long after it was seen a view is too old.
    """

    def __init__(self, limit: timedelta) -> None:
        self._limit = limit.total_seconds()
        self._seen_at = float("-inf")
        self._was_sure = True

    def note_read(self, sent: float) -> None:
        """Take note of a list that was asked for at ``sent``."""
        self._seen_at = max(self._seen_at, sent)

    def note_watch(self, sent: float, wait: timedelta, now: float, is_empty: bool):
        """Take note of what a watch has told that was sent at ``sent``.

        One that found nothing held out for ``wait``, and proves that for all of it.
        """
        held = wait.total_seconds()
        is_whole = is_empty and now - sent >= held
        self.note_read(sent + held if is_whole else sent)

    def is_sure(self, now: float) -> bool:
        """Whether tasks may be started by it."""
        return now - self._seen_at < self._limit

    def tell_change(self, now: float) -> None:
        """Write a line when it has become too old, or no longer is."""
        is_sure = self.is_sure(now)
        if is_sure is self._was_sure:
            return
        self._was_sure = is_sure
        message = (
            "Rooms are known again." if is_sure else "Rooms aren't known for sure."
        )
        _log.warn(message, age=round(now - self._seen_at, 3))
