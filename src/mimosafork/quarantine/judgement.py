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
"""Crashes in sequence, each by a request that was sent after the one before."""

PROVEN_PART_CRASHES = 5
"""The same for a part with which requests have been answered before."""

PART_BODIES = 2
"""Different bodies among them: a single one would be judged as a body."""

EVIDENCE_RETENTION = timedelta(minutes=10)
