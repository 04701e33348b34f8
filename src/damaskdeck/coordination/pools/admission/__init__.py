"""Admission control of callers' jobs under overload, across daemons.

The owner knows what waits and how fast it is worked off, and reports an outlook with
its capacity reports (:mod:`.outlook`). Every daemon decides by the latest outlook
before it stores a job (:mod:`.control`), and stays within its part of the bound on the
memory of all jobs (:mod:`.memory`). Callers that were refused have a time to
return, which the owner passes on to all daemons (:mod:`.returns`).
"""

from damaskdeck.coordination.pools.admission.control import (
    AdmissionControl,
    AdmissionRefusal,
)
from damaskdeck.coordination.pools.admission.desk import AdmissionDesk
from damaskdeck.coordination.pools.admission.memory import (
    DEFAULT_JOB_MEMORY,
    JOBS_SHARE,
    share_room,
)
from damaskdeck.coordination.pools.admission.outlook import OutlookReporter
from damaskdeck.coordination.pools.admission.returns import ReturningJobs

__all__ = [
    "DEFAULT_JOB_MEMORY",
    "JOBS_SHARE",
    "AdmissionControl",
    "AdmissionDesk",
    "AdmissionRefusal",
    "OutlookReporter",
    "ReturningJobs",
    "share_room",
]
