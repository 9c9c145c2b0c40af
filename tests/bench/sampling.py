"""Sampling profiler for the threads of this process."""

from collections import Counter
import sys
import threading
import time

__all__ = ["Sampler"]

INTERVAL_S = 0.005
# Innermost functions in which a thread waits without using the processor.
WAITING = ("wait", "handler_thread", "select", "poll")
MAX_FUNCTIONS = 45


class Sampler:
    """Counts functions on sampled stacks of running threads.

    The "own" counts are of the innermost function of a stack; the "total"
    counts are of each function on it. Samples include threads that wait for
    the interpreter lock, so the figures are fractions of samples rather than
    of CPU time.
    """

    def __init__(self):
        self._own = Counter()
        self._total = Counter()
        self._samples = 0

    def start(self):
        """Start the sampling thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def report(self):
        """Return a table of the most frequent functions."""
        lines = [f"{self._samples} samples of threads that do not wait"]
        for title, counts in (("own", self._own), ("total", self._total)):
            lines.append(title)
            for name, count in counts.most_common(MAX_FUNCTIONS):
                share = 100 * count / max(1, self._samples)
                lines.append(f"{share:6.1f} % {name}")
        return "\n".join(lines) + "\n"

    def _run(self):
        own_thread = threading.get_ident()
        while True:
            time.sleep(INTERVAL_S)
            for thread, frame in sys._current_frames().items():
                if thread != own_thread:
                    self._record(frame)

    def _record(self, frame):
        names = []
        while frame is not None:
            code = frame.f_code
            path = "/".join(code.co_filename.split("/")[-2:])
            names.append(f"{path}:{code.co_name}")
            frame = frame.f_back
        if names[0].rpartition(":")[2] in WAITING:
            return
        self._samples += 1
        self._own[names[0]] += 1
        for name in set(names):
            self._total[name] += 1
