"""Names of jobs and tasks, from which their ledger can be read."""

import secrets

import xxhash

_PREFIX_LIMIT = 36
_SUFFIX_BYTES = 6


def format_ledger_name(number: int) -> str:
    """Name a ledger by its number from 0 on, as in ``03``."""
    return f"{number:02d}"


def select_ledger(team: str, count: int) -> str:
    """Return the ledger of a team, as in ``03``.

    :param count: how many ledgers there are.
    """
    return format_ledger_name(xxhash.xxh3_64_intdigest(team.encode()) % count)


def build_job_name(workload: str, team: str, ledger: str, key: str) -> str:
    """Name a job; the same key of the same workload gives the same name."""
    if key:
        seed = "\0".join((team, workload, key)).encode()
        suffix = xxhash.xxh3_128_hexdigest(seed)[: 4 * _SUFFIX_BYTES - 8]
    else:
        suffix = secrets.token_hex(_SUFFIX_BYTES)
    prefix = workload[:_PREFIX_LIMIT].rstrip("-")
    return f"{prefix}-{ledger}-{suffix}"


def build_task_name(job: str, index: int) -> str:
    """Name a task of a job."""
    return f"{job}-{index}"


def parse_ledger_name(job: str) -> str | None:
    """Return the ledger that a job's name tells, if it can be one."""
    parts = job.rsplit("-", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return parts[1]


def parse_job_name(task: str) -> str:
    """Return the job of a task."""
    return task.rpartition("-")[0]


def parse_workload_name(task: str) -> str:
    """Return the workload of a task, shortened if its name is long."""
    return parse_job_name(task).rsplit("-", 2)[0]


def compute_digest(payload: bytes) -> bytes:
    """Return a digest that tells payloads apart."""
    return xxhash.xxh3_128_digest(payload)
