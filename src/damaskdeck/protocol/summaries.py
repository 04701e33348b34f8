"""Bounded reports of an owner of workers about its workers."""

from typing import Annotated, TypedDict

from msgspec import Meta

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.resources import Urgency

SizeList = Annotated[list[int], Meta(min_length=3, max_length=3)]


class ClassSummary(TypedDict):
    """Workers of one class: those with accelerators, or those without.

    Sizes are lists in the order of :class:`damaskdeck.protocol.sizes.Size`.

    :param workers: number of open workers.
    :param free: total free capacity.
    :param slices: free capacity of single workers: those with the most free capacity
        in each dimension.
    :param largest: the largest worker size in each dimension.
    """

    workers: int
    free: SizeList
    slices: list[SizeList]
    largest: SizeList


@message("worker_summary")
class WorkerSummary(TypedDict):
    """A short report of an owner's workers.

    :param classes: without accelerators, then with.
    :param preemptible: what each urgency class, the most urgent first, could free
        by preemption.
    """

    zone: str
    classes: Annotated[list[ClassSummary], Meta(min_length=2)]
    preemptible: Annotated[list[SizeList], Meta(min_length=len(Urgency))]
