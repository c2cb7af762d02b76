"""The reference of a gateway's settings, from the model that checks them."""

from pathlib import Path

from .page import Page
from .settings import reference

PATH = Path("docs/operators/gateway-settings.md")
MODULE = "mimosafork.settings.gateway"
ROOT_MODEL = "GatewaySettings"
INTRODUCTION = """# Settings of a gateway

`mimosafork gateway --settings FILE.ini` reads one INI file and refuses it whole if
anything in it is wrong, naming file, section, key and reason of every fault.
`mimosafork settings check --gateway FILE.ini` does the same offline. Values are
written as in [settings](settings.md). On the prepared platform the file is made from
the template `deploy/instance.ini`; `examples/gateway.ini` shows one that is filled.
What each setting changes is told in [gateway](gateway.md). `make docs` writes this
page from the models that check the file.
"""


def gateway_settings_page() -> Page:
    """Return the page of a gateway's settings."""
    return reference(PATH, INTRODUCTION, MODULE, ROOT_MODEL)
