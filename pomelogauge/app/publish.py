"""Publishes configurations for operators."""

from returns.pipeline import is_successful

from ..decide.data_centre_chart import DataCentreChart
from ..decide.publication import (
    DataCentreChange,
    apply_change,
    apply_manifest,
    is_known,
)
from ..model.errors import UserError
from ..model.ids import NO_VERSION
from ..model.manifest import Configuration, Manifest
from ..tables.configuration_store import (
    ConfigurationStore,
    PublishConflict,
    PublishError,
)
from ..tables.protocols import PlatformError, PlatformFault

#: Attempts of one command when other operators publish at the same time.
_MAX_ATTEMPTS = 10


def publish_manifest(
    store: ConfigurationStore,
    manifest: Manifest,
    publisher: str,
) -> Configuration:
    """Publish a checked manifest as the next version.

    Raises
    ------
    UserError
        Another operator published in between, or the platform failed.

    """
    newest = _newest(store) or Configuration(NO_VERSION)
    wanted = apply_manifest(manifest, newest, publisher)
    published = store.publish(wanted, newest.version)
    if is_successful(published):
        return published.unwrap()
    raise _refused(published.failure())


def publish_change(
    store: ConfigurationStore,
    change: DataCentreChange,
    chart: DataCentreChart,
    publisher: str,
) -> Configuration:
    """Take one data centre out, or bring it back.

    When another operator published in between, the change is applied to that
    version, since the two changes are independent.

    Returns
    -------
    Configuration
        The published version; the present one if it contains the change.

    Raises
    ------
    UserError
        The data centre is unknown, other operators published in between
        at each attempt, or the platform failed.

    """
    base = _base(store, change)
    for _ in range(_MAX_ATTEMPTS):
        wanted = apply_change(change, base, chart, publisher)
        if wanted is base:
            return base
        published = store.publish(wanted, base.version)
        if is_successful(published):
            return published.unwrap()
        error = published.failure()
        if not isinstance(error, PublishConflict):
            raise _refused(error)
        base = _base(store, change)
    raise UserError(
        f'{_MAX_ATTEMPTS} attempts lost to other publications; try again'
    )


def _newest(store: ConfigurationStore) -> Configuration | None:
    newest = store.newest()
    if is_successful(newest):
        return newest.unwrap()
    raise _refused(newest.failure())


def _base(store: ConfigurationStore, change: DataCentreChange) -> Configuration:
    base = _newest(store)
    if base is None:
        raise UserError('no configuration is published yet')
    if not is_known(change, base):
        raise UserError(f'data centre {change.data_centre} is unknown')
    return base


def _refused(error: PublishError) -> UserError:
    if isinstance(error, PublishConflict):
        return UserError(f'not published: {error} was first; check it')
    return UserError(_platform_message(error))


def _platform_message(error: PlatformError) -> str:
    if error.fault is PlatformFault.INDETERMINATE:
        return (
            'may have been published, check before publishing again: '
            f'{error.message}'
        )
    return f'platform {error.fault}: {error.message}'
