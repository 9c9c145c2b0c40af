"""Samples the stacks of all threads of this process."""

from collections import Counter
import sys
import threading
import time

__all__ = ["Sampler"]

INTERVAL_S = 0.005
# Innermost functions in which a thread waits and uses no processor.
WAITING = ("wait", "handler_thread", "select", "poll")
SHOWN = 45


class Sampler:
    """Counts functions on the stacks, by themselves and with callees.

    A sample sees each thread wherever it holds or awaits the interpreter
    lock, so that the numbers are shares of presence rather than of time.
    """

    def __init__(self):
        self._own = Counter()
        self._total = Counter()
        self._samples = 0

    def start(self):
        """Sample from now on."""
        threading.Thread(target=self._run, daemon=True).start()

    def report(self):
        """Return a table of functions."""
        lines = [f"{self._samples} samples of threads that do not wait"]
        for title, counts in (("own", self._own), ("total", self._total)):
            lines.append(title)
            for name, count in counts.most_common(SHOWN):
                share = 100 * count / max(1, self._samples)
                lines.append(f"{share:6.1f} % {name}")
        return "\n".join(lines) + "\n"

    def _run(self):
        me = threading.get_ident()
        while True:
            time.sleep(INTERVAL_S)
            for thread, frame in sys._current_frames().items():
                if thread != me:
                    self._note(frame)

    def _note(self, frame):
        names = []
        while frame is not None:
            code = frame.f_code
            place = "/".join(code.co_filename.split("/")[-2:])
            names.append(f"{place}:{code.co_name}")
            frame = frame.f_back
        if names[0].rpartition(":")[2] in WAITING:
            return
        self._samples += 1
        self._own[names[0]] += 1
        for name in set(names):
            self._total[name] += 1
