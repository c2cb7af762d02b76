"""The newest accepted configuration that this instance knows; moves forward only."""

from logging import getLogger

from ..ids import Digest, Revision
from ..manifest.blocks import Policies, changed_text, policies_of
from ..manifest.canonical import digest_of
from ..manifest.convert import configuration_from
from ..manifest.errors import ChangeError, ManifestError
from ..telemetry.catalogue.configuration import (
    CONFIGURATION_FORKED,
    CONFIGURATION_IGNORED,
    CONFIGURATION_TAKEN,
    CONFIGURATION_UNREADABLE,
)
from ..telemetry.logs import log_event
from .errors import ConfigurationUnreadableError
from .messages import AcceptedConfiguration
from .rows import HistoryRow
from .store import NO_REVISION

logger = getLogger(__name__)


class Revisions:
    """Holds one configuration and takes newer ones only.

    Attributes
    ----------
    held : AcceptedConfiguration or None
        Replaced whole; other threads may read it.
    policies : dict
        What each section in force means, so that a change costs no more than the
        sections that it touches.
    """

    def __init__(self) -> None:
        self.held: AcceptedConfiguration | None = None
        self.policies: Policies = {}
        self.unreadable = NO_REVISION

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 before the first."""
        return NO_REVISION if self.held is None else self.held.revision

    def is_news(self, revision: Revision, digest: Digest, source: str) -> bool:
        """Return whether a revision is newer than the one in force.

        A stale read of the store, a peer that is behind, or an instance that was
        frozen for a while may bring an older revision. Taking it would revert an
        accepted change, so that only a higher number counts.
        """
        held = self.held
        if held is None or revision > held.revision:
            return True
        if revision < held.revision:
            log_event(
                logger,
                CONFIGURATION_IGNORED,
                revision=revision,
                source=source,
                current=held.revision,
            )
        elif digest != held.digest:
            # Two texts under one number: the store was put back to an older state
            # and went on from there. What is in force stays in force.
            log_event(
                logger,
                CONFIGURATION_FORKED,
                revision=revision,
                source=source,
                digest=digest,
            )
        return False

    def take(self, revision: Revision, digest: Digest, text: str, source: str) -> bool:
        """Put a text in force, if it is newer and can be read.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        if not self.is_news(revision, digest, source):
            return False
        try:
            self._put(revision, digest, text)
        except ConfigurationUnreadableError as error:
            self._log_unreadable(revision, source, error)
            return False
        log_event(
            logger, CONFIGURATION_TAKEN, revision=revision, digest=digest, source=source
        )
        return True

    def text_after(self, steps: list[HistoryRow], digest: Digest) -> str | None:
        """Return the text that steps lead to from the one in force.

        Returns
        -------
        str or None
            None if the steps do not fit or lead to another digest; the whole text
            has to be read then.
        """
        if self.held is None:
            return None
        changes = [change for step in steps for change in step.changes]
        try:
            text = changed_text(self.policies, changes)
        except ChangeError:
            return None
        return text if digest_of(text) == digest else None

    def _put(self, revision: Revision, digest: Digest, text: str) -> None:
        """Check a text and hold it.

        Raises
        ------
        ConfigurationUnreadableError
            If the text is another than the digest says, or no manifest.
        """
        if digest_of(text) != digest:
            raise ConfigurationUnreadableError("the text does not have the digest")
        try:
            policies = policies_of(text, self.policies)
            made = configuration_from(policies.values(), revision, digest)
        except (ManifestError, ValueError) as error:
            raise ConfigurationUnreadableError(str(error)) from error
        self.policies = policies
        self.held = AcceptedConfiguration(revision, digest, text, made)

    def _log_unreadable(
        self, revision: Revision, source: str, error: ConfigurationUnreadableError
    ) -> None:
        """Log once a revision, not at every read of it."""
        if revision != self.unreadable:
            log_event(
                logger,
                CONFIGURATION_UNREADABLE,
                revision=revision,
                source=source,
                why=str(error),
            )
        self.unreadable = revision
