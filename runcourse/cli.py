"""The command line: serve, check-config, and a small client."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from pathlib import Path

from .config import load_operators, load_platform
from .errors import SettingsError
from .policy_file import PolicyFile

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
    return parser


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
    return run_client(args.command, args.api, args.what)


def _serve(args: argparse.Namespace) -> int:
    platform = load_platform(args.config)
    operators = load_operators(args.operators)
    policy_file = PolicyFile(args.locality, platform) if args.locality is not None else None
    import uvloop

    from .daemon import Daemon

    async def run() -> None:
        await Daemon(platform, operators, policy_file=policy_file).run()

    try:
        uvloop.run(run())
    except KeyboardInterrupt:
        return 130
    except OSError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return 1
    return 0
