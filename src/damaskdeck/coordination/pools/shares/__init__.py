"""Fair shares of a full pool between client accounts.

Three questions are answered for the order of waiting steps: whether a job was accepted
within the declared rate of its account, whether an account uses more than its fair
share of the pools, and which of two steps goes first.
"""

from damaskdeck.coordination.pools.shares.accounts import AccountShares
from damaskdeck.coordination.pools.shares.levels import Want, compute_levels
from damaskdeck.coordination.pools.shares.rates import DeclaredRates
from damaskdeck.coordination.pools.shares.standings import (
    AccountStanding,
    Precedence,
)

__all__ = [
    "AccountShares",
    "AccountStanding",
    "DeclaredRates",
    "Precedence",
    "Want",
    "compute_levels",
]
