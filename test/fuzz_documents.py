"""Random documents, and valid ones with some of their parts changed."""

import copy
from collections.abc import Iterator
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

# Small counts keep CI short; a longer run sets another profile.
settings.register_profile(
    'ci',
    max_examples=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('ci')

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.sampled_from((10**400, -(10**400)))
    | st.text(max_size=8)
)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def places(document: Any) -> Iterator[tuple[Any, Any]]:
    """Yield every container of a document with each of its keys."""
    keys: Any = ()
    if isinstance(document, dict):
        keys = tuple(document)
    elif isinstance(document, list):
        keys = range(len(document))
    for key in keys:
        yield document, key
        yield from places(document[key])


@st.composite
def changed(draw: Any, document: Any) -> Any:
    """Draw a document with some of its parts replaced or removed."""
    document = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 3))):
        found = list(places(document))
        if not found:
            break
        container, key = draw(st.sampled_from(found))
        if draw(st.booleans()) and isinstance(container, dict):
            del container[key]
        else:
            container[key] = draw(JSON)
    return document
