"""What an owner of workers reports of them, in bounded size."""

from typing import TypedDict

from damaskdeck.protocol.messages import message


class ClassSummary(TypedDict):
    """Workers of one class: those with accelerators, or those without.

    Sizes are lists as in :class:`damaskdeck.protocol.sizes.Size`.

    :param workers: how many are open.
    :param free: free on all of them together.
    :param slices: what is free on those with most free, in each dimension.
    :param largest: the largest size of a worker, in each dimension.
    """

    workers: int
    free: list[int]
    slices: list[list[int]]
    largest: list[int]


@message("worker_summary")
class WorkerSummary(TypedDict):
    """A short report of an owner's workers.

    :param classes: without accelerators, then with.
    :param preemptible: what each class of urgency, the most urgent first, could
        clear by preemption.
    """

    zone: str
    classes: list[ClassSummary]
    preemptible: list[list[int]]
