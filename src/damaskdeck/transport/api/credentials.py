"""Bearer tokens and the roles that they give."""

import hashlib
import hmac
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """Who may call a route."""

    OPERATOR = "operator"
    TEAM = "team"


class Caller(NamedTuple):
    """Whose token a call carries.

    :param team: the caller's team; empty for operators.
    """

    role: Role
    team: str = ""


class Credentials:
    """The tokens that are valid; all are compared, each in constant time.

    :param teams: token of each team by its name.
    """

    def __init__(self, operator_token: str, teams: Mapping[str, str]) -> None:
        self._callers = [(_digest(operator_token), Caller(Role.OPERATOR))]
        for team, token in teams.items():
            self._callers.append((_digest(token), Caller(Role.TEAM, team)))

    def find_caller(self, authorization: str) -> Caller | None:
        """Return whose token it is.

        :param authorization: the header's value.
        """
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        given = _digest(token.strip())
        found = None
        for digest, caller in self._callers:
            if hmac.compare_digest(given, digest):
                found = caller
        return found


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
