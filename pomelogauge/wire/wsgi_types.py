"""Types of the interface between an HTTP server and an application."""

from collections.abc import Callable, Iterable, Mapping

StartResponse = Callable[[str, list[tuple[str, str]]], object]
WsgiApp = Callable[[Mapping[str, object], StartResponse], Iterable[bytes]]
