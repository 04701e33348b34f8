"""Names of jobs and tasks. The name of a job contains the name of its ledger."""

import secrets

import xxhash

_MAX_PREFIX_CHARS = 36
_SUFFIX_BYTES = 6


def format_ledger_name(number: int) -> str:
    """Return the name of a ledger with a number from 0 on, as in ``03``."""
    return f"{number:02d}"


def select_ledger(team: str, count: int) -> str:
    """Return the ledger that stores the jobs of a team, as in ``03``.

    :param count: number of ledgers in the deployment.
    """
    return format_ledger_name(xxhash.xxh3_64_intdigest(team.encode()) % count)


def build_job_name(workload: str, team: str, ledger: str, key: str) -> str:
    """Return the name of a new job.

    :param key: the caller's idempotency key. The same key of the same workload
        gives the same name; an empty string gives a random name.
    """
    if key:
        seed = "\0".join((team, workload, key)).encode()
        suffix = xxhash.xxh3_128_hexdigest(seed)[: 4 * _SUFFIX_BYTES - 8]
    else:
        suffix = secrets.token_hex(_SUFFIX_BYTES)
    prefix = workload[:_MAX_PREFIX_CHARS].rstrip("-")
    return f"{prefix}-{ledger}-{suffix}"


def build_task_name(job: str, index: int) -> str:
    """Return the name of a task of a job."""
    return f"{job}-{index}"


def parse_ledger_name(job: str) -> str | None:
    """Return the name of the ledger that a job name contains.

    :returns: ``None`` when the string has not the form of a job name.
    """
    parts = job.rsplit("-", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return parts[1]


def parse_job_name(task: str) -> str:
    """Return the name of the job that a task name contains."""
    return task.rpartition("-")[0]


def parse_workload_name(task: str) -> str:
    """Return the workload of a task, truncated if its name is long."""
    return parse_job_name(task).rsplit("-", 2)[0]


def compute_digest(payload: bytes) -> bytes:
    """Return a 128-bit digest that identifies a payload."""
    return xxhash.xxh3_128_digest(payload)
