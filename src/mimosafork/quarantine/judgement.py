"""Thresholds from which a content is held to be the cause of crashes.

A content is the whole body of a request, or a part of its prompt that other requests
share. All quarantines go by these thresholds. A run that had begun to answer was hardly
the cause of a crash: contents that crash endpoints do so when these begin to run them.
"""

from datetime import timedelta

CONCLUSIVE_CRASHES = 2
"""Crashes of endpoints that ran nothing else, before any part of the answer."""

BODY_CRASHES = 3
"""Crashes before any part of the answer, among other runs."""

BODY_CRASHES_WHILE_ANSWERING = 5
"""Crashes in any phase: most runs that are interrupted later did not cause them."""

PART_CRASHES = 3
"""Crashes at different moments."""

SAME_MOMENT = timedelta(milliseconds=20)
"""Endpoints that crash within it may have failed together."""

UNLIKELY_PART_CRASHES = 5
"""The same where another part explains the crashes as well. For a part with which
requests have been answered before, each by one that had begun and that was sent after
the crash before."""

MANY_BODIES = 3
"""Bodies that took part in all these crashes from which their common part is the cause;
fewer are judged as bodies."""

EVIDENCE_RETENTION = timedelta(minutes=10)
