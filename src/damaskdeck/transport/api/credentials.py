"""Bearer tokens and the roles that they grant."""

import hashlib
import hmac
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """A role that a route requires of its callers."""

    OPERATOR = "operator"
    TEAM = "team"


class Caller(NamedTuple):
    """The operator or team that a call's token identifies.

    :param team: name of the caller's team; empty for operators.
    """

    role: Role
    team: str = ""


class Credentials:
    """The valid tokens.

    A token is compared with all of them, each in constant time, so that the time of the
    check does not depend on which token matches.

    :param teams: tokens of the teams, by name of the team.
    """

    def __init__(self, operator_token: str, teams: Mapping[str, str]) -> None:
        self._callers = [(_digest(operator_token), Caller(Role.OPERATOR))]
        for team, token in teams.items():
            self._callers.append((_digest(token), Caller(Role.TEAM, team)))

    def find_caller(self, authorization: str) -> Caller | None:
        """Return the caller with a token, ``None`` when the token is not valid.

        :param authorization: value of the header ``Authorization``.
        """
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        token_digest = _digest(token.strip())
        found = None
        for digest, caller in self._callers:
            if hmac.compare_digest(token_digest, digest):
                found = caller
        return found


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
