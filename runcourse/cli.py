"""The command line: the controller itself, a check of its settings, and client commands."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from .config import Platform, load_operators, load_platform
from .errors import SettingsError
from .policy_file import PolicyFile

if TYPE_CHECKING:
    from .core.entitlement_policy import EntitlementPolicy

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130  # 128 plus the number of SIGINT
DEFAULT_WATCH_S = 120.0
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="runcourse", description="A cluster scheduler.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in [
        ("serve", "run a controller until it is killed"),
        ("check-config", "check the settings files and exit"),
    ]:
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument(
            "--config",
            type=Path,
            required=True,
            metavar="FILE",
            help="the platform's settings file (TOML)",
        )
        command.add_argument(
            "--operators",
            type=Path,
            metavar="FILE",
            help="the operators' settings file (S-expressions)",
        )
        command.add_argument(
            "--locality",
            type=Path,
            metavar="FILE",
            help="the locality settings file: data sources and rebalancing; off if not given",
        )
        command.add_argument(
            "--entitlements",
            type=Path,
            metavar="FILE",
            help="the entitlements file: organisations that share the machines; off if not given",
        )
    for name, text in [
        ("submit", "submit a job read from a JSON file"),
        ("status", "print a job's state"),
        ("cancel", "cancel a job"),
    ]:
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument(
            "--api", required=True, metavar="HOST:PORT", help="a controller's api_addr"
        )
        command.add_argument(
            "what",
            help="a JSON file, or - for standard input" if name == "submit" else "the job's id",
        )
    command = commands.add_parser("reload", help="reload a controller's locality file")
    command.add_argument(
        "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
    )
    command = commands.add_parser(
        "inspect",
        help="print a controller's shares, owners, machines and waiting work with the reasons",
    )
    command.add_argument(
        "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
    )
    command.add_argument("--json", action="store_true", help="print JSON instead of tables")
    _add_division_parser(commands)
    return parser


def _add_division_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the `division` command and its actions."""
    division = commands.add_parser("division", help="the division of machines among organisations")
    actions = division.add_subparsers(dest="action", required=True)
    for name, text in [
        ("show", "print the division in force and the state of each organisation"),
        ("preview", "print the targets that a division would result in now"),
        ("apply", "put a division in force"),
        ("rollback", "put the previous division in force again"),
        ("watch", "show the organisations until all have reached their targets"),
    ]:
        action = actions.add_parser(name, help=text, description=text)
        action.add_argument(
            "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
        )
        if name in ("preview", "apply"):
            action.add_argument("file", help="the division (JSON), or - for standard input")
        if name in ("apply", "rollback"):
            action.add_argument(
                "--expect",
                type=int,
                required=True,
                metavar="VERSION",
                help="the version now in force",
            )
            action.add_argument(
                "--author", default="", help="defaults to the name of the current user"
            )
            action.add_argument("--note", default="", help="the reason; stored with the division")
        if name == "watch":
            action.add_argument(
                "--seconds", type=float, default=DEFAULT_WATCH_S, help="stop after this time"
            )
        else:
            action.add_argument("--json", action="store_true", help="print JSON")


def _configure_logging() -> None:
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(max(level, logging.WARNING))


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns the process's exit code."""
    args = _build_parser().parse_args(argv)
    _configure_logging()
    try:
        if args.command == "serve":
            return _serve(args)
        if args.command == "check-config":
            platform = load_platform(args.config)
            load_operators(args.operators)
            if args.locality is not None:
                PolicyFile(args.locality, platform)
            _load_entitlements(args.entitlements, platform)
            print("settings are fine")
            return 0
    except SettingsError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    from .client import run_client, run_inspect, run_reload

    if args.command == "inspect":
        return run_inspect(args.internal, args.json)
    if args.command == "reload":
        return run_reload(args.internal)
    if args.command == "division":
        from .division_client import run_division

        return run_division(args)
    return run_client(args.command, args.api, args.what)


def _load_entitlements(path: Path | None, platform: Platform) -> EntitlementPolicy | None:
    """Returns the policy that the file describes, or None without a file.

    The modules of the policy are imported only if there is a file.
    """
    if path is None:
        return None
    from .entitlements.policy import Entitlements
    from .entitlements.settings import load_entitlements

    return Entitlements(load_entitlements(path, platform))


def _serve(args: argparse.Namespace) -> int:
    platform = load_platform(args.config)
    operators = load_operators(args.operators)
    policy_file = PolicyFile(args.locality, platform) if args.locality is not None else None
    entitlements = _load_entitlements(args.entitlements, platform)
    import uvloop

    from .daemon import Daemon

    async def run() -> None:
        await Daemon(platform, operators, policy_file=policy_file, entitlements=entitlements).run()

    try:
        uvloop.run(run())
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except OSError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_FAILED
    return 0
