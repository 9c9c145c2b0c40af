"""Decides which jobs a caller may read and cancel."""

import attrs

__all__ = ["CallerAccess"]


@attrs.frozen
class CallerAccess:
    """The jobs that a caller may access.

    :ivar organisation: owner of the caller's key, None for a call without a
        key, which only public queues accept
    :ivar queue: name of the queue that the call addresses
    """

    organisation: str | None
    queue: str

    def permits(self, owner: str, queue: str) -> bool:
        """Tell whether the caller may access a job.

        A key gives access to the jobs of its organisation on all queues. What
        has no owner, or is called without a key, is reached only through its
        own queue.

        :param owner: organisation of the job, empty if it has none
        :param queue: name of the job's queue
        """
        if self.organisation is not None and owner:
            return self.organisation == owner
        return self.queue == queue
