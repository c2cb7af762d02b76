"""Plug-in registry.

A plug-in class is registered by its decorator when its module is imported.
`mimosafork.policies` imports the built-in plug-ins.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from .errors import DuplicatePluginError, UnknownPluginError
from .plugins import Plugin

P = TypeVar("P", bound=type[Plugin])

_PLUGINS: dict[str, type[Plugin]] = {}


def register(name: str) -> Callable[[P], P]:
    """Return a decorator that registers a plug-in class under `name`.

    Raises
    ------
    DuplicatePluginError
        If another class is registered under that name.
    """

    def enter(plugin: P) -> P:
        known = _PLUGINS.get(name)
        if known is not None and known is not plugin:
            raise DuplicatePluginError(f"two plug-ins are registered as {name!r}")
        _PLUGINS[name] = plugin
        plugin.name = name
        return plugin

    return enter


def create(names: Iterable[str]) -> list[Plugin]:
    """Create one plug-in for each name, in the given order.

    Raises
    ------
    UnknownPluginError
        If a name is not registered.
    """
    plugins = []
    for name in names:
        if name not in _PLUGINS:
            raise UnknownPluginError(
                f"no plug-in is called {name!r}; there are: {', '.join(known_names())}"
            )
        plugins.append(_PLUGINS[name]())
    return plugins


def known_names() -> list[str]:
    """Return the names of all registered plug-ins, sorted."""
    return sorted(_PLUGINS)
