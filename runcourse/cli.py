"""The command line: serve, check-config, and a small client."""

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
    from .core.entitlement import EntitlementPolicy

EXIT_USAGE = 2
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
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
            "--operators", type=Path, metavar="FILE", help="operators' own settings (S-expressions)"
        )
        command.add_argument(
            "--locality",
            type=Path,
            metavar="FILE",
            help="data sources and rebalancing; off if absent",
        )
        command.add_argument(
            "--entitlements",
            type=Path,
            metavar="FILE",
            help="organisations that share the machines; off if absent",
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
    command = commands.add_parser("reload", help="have a controller read its locality file again")
    command.add_argument(
        "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
    )
    command = commands.add_parser(
        "inspect",
        help="print a controller's view: shares, owners, machines, waiting work and why it waits",
    )
    command.add_argument(
        "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
    )
    command.add_argument("--json", action="store_true", help="for programs, instead of tables")
    _add_division(commands)
    return parser


def _add_division(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """`division`: show, preview, apply, rollback, watch."""
    division = commands.add_parser("division", help="the division of machines among organisations")
    actions = division.add_subparsers(dest="action", required=True)
    for name, text in [
        ("show", "print the division in force and how each organisation fares"),
        ("preview", "print the targets that a division would give now"),
        ("apply", "put a division in force"),
        ("rollback", "put the former division in force again"),
        ("watch", "show how the organisations come to their targets"),
    ]:
        action = actions.add_parser(name, help=text, description=text)
        action.add_argument(
            "--internal", required=True, metavar="HOST:PORT", help="a controller's internal_addr"
        )
        if name in ("preview", "apply"):
            action.add_argument("file", help="the division (JSON), or - for standard input")
        if name in ("apply", "rollback"):
            action.add_argument(
                "--expect", type=int, required=True, metavar="VERSION", help="now in force"
            )
            action.add_argument("--author", default="", help="by default the user's name")
            action.add_argument("--note", default="", help="why; kept with the division")
        if name == "watch":
            action.add_argument("--seconds", type=float, default=120.0, help="at the most")
        else:
            action.add_argument("--json", action="store_true", help="for programs")


def _logging() -> None:
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(max(level, logging.WARNING))


def main(argv: list[str] | None = None) -> int:
    """Run one command; returns the process's exit code."""
    args = _parser().parse_args(argv)
    _logging()
    try:
        if args.command == "serve":
            return _serve(args)
        if args.command == "check-config":
            platform = load_platform(args.config)
            load_operators(args.operators)
            if args.locality is not None:
                PolicyFile(args.locality, platform)
            _entitlements(args.entitlements, platform)
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


def _entitlements(path: Path | None, platform: Platform) -> EntitlementPolicy | None:
    """The policy of the file, imported only if one is named."""
    if path is None:
        return None
    from .entitlements.policy import Entitlements
    from .entitlements.settings import load_entitlements

    return Entitlements(load_entitlements(path, platform))


def _serve(args: argparse.Namespace) -> int:
    platform = load_platform(args.config)
    operators = load_operators(args.operators)
    policy_file = PolicyFile(args.locality, platform) if args.locality is not None else None
    entitlements = _entitlements(args.entitlements, platform)
    import uvloop

    from .daemon import Daemon

    async def run() -> None:
        await Daemon(platform, operators, policy_file=policy_file, entitlements=entitlements).run()

    try:
        uvloop.run(run())
    except KeyboardInterrupt:
        return 130
    except OSError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return 1
    return 0
