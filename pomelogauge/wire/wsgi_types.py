"""Types of the WSGI interface between HTTP server and application."""

from collections.abc import Callable, Iterable, Mapping

StartResponse = Callable[[str, list[tuple[str, str]]], object]
WsgiApp = Callable[[Mapping[str, object], StartResponse], Iterable[bytes]]
