"""How far the chat requests of a record have come."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .record import ChatAnswered, ChatSent, Event, Failed, TokenHeard


@dataclass(frozen=True)
class ChatState:
    """How far a chat request has come."""

    sent: ChatSent
    tokens: int = 0
    answered: ChatAnswered | None = None
    failed: Failed | None = None

    @property
    def open(self) -> bool:
        """Whether it has not ended."""
        return self.answered is None and self.failed is None


def chat_states(events: Iterable[Event]) -> tuple[ChatState, ...]:
    """Return the state of every chat request, in the order of sending."""
    states: dict[str, ChatState] = {}
    for event in events:
        match event:
            case ChatSent():
                states[event.caller] = ChatState(event)
            case TokenHeard() | ChatAnswered() | Failed():
                _advance(states, event)
    return tuple(states.values())


def _advance(
    states: dict[str, ChatState],
    event: TokenHeard | ChatAnswered | Failed,
) -> None:
    state = states.get(event.caller)
    if state is None:
        return
    match event:
        case TokenHeard():
            states[event.caller] = replace(state, tokens=event.count)
        case ChatAnswered():
            states[event.caller] = replace(state, answered=event)
        case Failed():
            states[event.caller] = replace(state, failed=event)
