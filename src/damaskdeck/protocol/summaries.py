"""What an owner of workers reports of them, in bounded size."""

from typing import Annotated, TypedDict

from msgspec import Meta

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.resources import Urgency

SizeList = Annotated[list[int], Meta(min_length=3, max_length=3)]


class ClassSummary(TypedDict):
    """Workers of one class: those with accelerators, or those without.

    Sizes are lists as in :class:`damaskdeck.protocol.sizes.Size`.

    :param workers: how many are open.
    :param free: free on all of them together.
    :param slices: what is free on those with most free, in each dimension.
    :param largest: the largest size of a worker, in each dimension.
    """

    workers: int
    free: SizeList
    slices: list[SizeList]
    largest: SizeList


@message("worker_summary")
class WorkerSummary(TypedDict):
    """A short report of an owner's workers.

    :param classes: without accelerators, then with.
    :param preemptible: what each class of urgency, the most urgent first, could
        clear by preemption.
    """

    zone: str
    classes: Annotated[list[ClassSummary], Meta(min_length=2)]
    preemptible: Annotated[list[SizeList], Meta(min_length=len(Urgency))]
