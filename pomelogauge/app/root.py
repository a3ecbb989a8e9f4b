"""The composition root of both daemons."""

from ..model.topology import InstanceRole
from .controller_root import wire_controller
from .logs import set_up_logs
from .router_root import wire_router
from .settings import CommonSettings, ControllerSettings, RouterSettings
from .traces import set_up_traces


def run_router(cfg: RouterSettings) -> None:
    """Run a router until it is asked to end.

    Raises
    ------
    UserError
        A port, a file or a setting is invalid.

    """
    _set_up(cfg, InstanceRole.ROUTER)
    wire_router(cfg).run()


def run_controller(cfg: ControllerSettings) -> None:
    """Run a controller until it is asked to end.

    Raises
    ------
    UserError
        A port, a file or a setting is invalid.

    """
    _set_up(cfg, InstanceRole.CONTROLLER)
    wire_controller(cfg).run()


def _set_up(cfg: CommonSettings, role: InstanceRole) -> None:
    set_up_logs(cfg.node, cfg.log_level)
    set_up_traces(cfg.trace_file, cfg.node, role)
