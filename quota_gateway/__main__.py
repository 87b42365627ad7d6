"""``python -m quota_gateway``: one limiter process, configured by the file that LB_CONFIG names."""

from __future__ import annotations

import os
import signal
import sys

import uvloop

from quota_gateway.config import ConfigError, Environment, load_config
from quota_gateway.lifecycle.process import serve
from quota_gateway.logs import configure_logging

EXIT_SUCCESS = 0
EXIT_CONFIG_ERROR = 2


def main() -> int:
    """Run the limiter until a signal ends it; return the exit code."""
    # By default SIGHUP would terminate a process that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging()
    environment = Environment.from_variables(os.environ)
    try:
        uvloop.run(serve(load_config(environment), environment))
    except ConfigError as error:
        print(f"quota_gateway: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    return EXIT_SUCCESS


if __name__ == "__main__":
    sys.exit(main())
