"""The standing of a client account, and the precedence of a step by it."""

from typing import NamedTuple

from damaskdeck.coordination.pools.urgency import DeadlineStatus
from damaskdeck.protocol.sizes import Size


class Precedence(NamedTuple):
    """What precedes the slack in the order of steps; lower comes first.

    :param is_beyond_rate: Whether the job was accepted beyond the declared rate.
    :param rank: Of the queue.
    :param is_above_share: Whether the account is above its fair share while capacity is
        short.
    """

    deadline_status: DeadlineStatus
    is_beyond_rate: bool
    rank: int
    is_above_share: bool


class AccountStanding(NamedTuple):
    """What an account has of the pools.

    :param share: The dominant share that it uses of the capacity, from 0 to 1.
    :param fair_share: The most that it should use at present, infinite while there is
        capacity for all wants.
    :param borrowed: The part of ``share`` above its weight's fraction among the
        accounts with work, which the others leave unused.
    :param demand: What its waiting tasks need.
    """

    use: Size
    demand: Size
    share: float
    fair_share: float
    borrowed: float
