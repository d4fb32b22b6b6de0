"""The actions of the `division` command: show, preview, apply, rollback, watch."""

from __future__ import annotations

import argparse
import getpass
import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from .client import EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, ask
from .config import parse_address
from .errors import SettingsError
from .wire.peer_messages import OperatorQuestion

WATCH_INTERVAL_S = 1.0
WATCH_REFRESHES_PER_S = 2
EXIT_CODES = {"ok": 0, "refused": EXIT_REFUSED}  # any other result leaves the outcome open
DIVISION_SCHEMA = {
    "type": "object",
    "required": ["organisations"],
    "additionalProperties": False,
    "properties": {
        "organisations": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "required": ["name"],
                "additionalProperties": False,  # a change of limits cannot change the teams
                "properties": {
                    "name": {"type": "string", "minLength": 1},
                    "minimum": {"type": "number", "minimum": 0},
                    "weight": {"type": "number", "exclusiveMinimum": 0},
                    "maximum": {"type": ["number", "null"], "exclusiveMinimum": 0},
                },
            },
        }
    },
}


def read_division(source: str) -> list[dict[str, Any]]:
    """Returns the limits from a file, or from standard input for `-`.

    Raises `SettingsError`, `OSError` or `UnicodeDecodeError`.
    """
    from jsonschema import Draft202012Validator

    text = sys.stdin.read() if source == "-" else Path(source).read_text(encoding="utf-8")
    try:
        division = json.loads(text, parse_constant=_reject_constant)
    except ValueError as problem:
        raise SettingsError(f"{source}: file: not JSON: {problem}") from problem
    faults = Draft202012Validator(DIVISION_SCHEMA).iter_errors(division)
    fault = min(faults, key=lambda fault: fault.json_path, default=None)
    if fault is not None:
        field = fault.json_path.removeprefix("$").removeprefix(".") or "file"
        raise SettingsError(f"{source}: {field}: {fault.message}")
    limits: list[dict[str, Any]] = division["organisations"]
    return limits


def _reject_constant(name: str) -> float:
    """Rejects NaN and the infinities, which JSON does not allow."""
    raise ValueError(f"{name} is not a number")


def run_division(args: argparse.Namespace) -> int:
    """Runs one of the actions and returns the exit code."""
    try:
        host, port = parse_address(args.internal, "--internal")
        if args.action == "watch":
            return _watch(host, port, args.seconds)
        answer = _ask_leader(host, port, _build_request(args))
    except (SettingsError, OSError, UnicodeDecodeError) as problem:
        if isinstance(problem, ConnectionError | TimeoutError):
            return _print_no_answer(problem)
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except msgspec.DecodeError as problem:
        return _print_no_answer(problem)
    return _print_answer(answer, args.json)


def _print_no_answer(problem: Exception) -> int:
    print(f"runcourse: no answer: {problem}", file=sys.stderr)
    return EXIT_UNREACHABLE


def _build_request(args: argparse.Namespace) -> dict[str, Any]:
    """Builds the request that the command line describes."""
    request: dict[str, Any] = {"action": args.action}
    if args.action in ("preview", "apply"):
        request["limits"] = read_division(args.file)
    if args.action in ("apply", "rollback"):
        request |= {
            "expect": args.expect,
            "author": args.author or getpass.getuser(),
            "note": args.note,
            "at": datetime.now(UTC).isoformat(timespec="seconds"),
        }
    return request


def _ask_controller(host: str, port: int, request: dict[str, Any]) -> dict[str, Any]:
    return ask(host, port, OperatorQuestion("division", request))


def _ask_leader(host: str, port: int, request: dict[str, Any]) -> dict[str, Any]:
    """Asks a controller, and the leader too if the answer depends on the organisations' state.

    Only the leader knows that state; if it cannot be reached, the first answer is returned.
    """
    answer = _ask_controller(host, port, request)
    leader = answer.get("leader_addr")
    read_only = request["action"] in ("show", "preview")
    if read_only and answer.get("result") == "ok" and leader and leader != f"{host}:{port}":
        try:
            return _ask_controller(*parse_address(leader, "leader"), request)
        except (OSError, msgspec.DecodeError, SettingsError):
            return answer  # the leader is unreachable from here, or has just stopped
    return answer


def _print_answer(answer: dict[str, Any], as_json: bool) -> int:
    """Prints an answer and returns the exit code."""
    result = answer.get("result", "unknown")
    if as_json:
        print(json.dumps(answer, indent=1))
    elif answer.get("targets"):
        for name, cpus in sorted(answer["targets"].items()):
            print(f"{name}: {cpus:g} CPUs")
    elif answer.get("division"):
        from .tables import as_text, division_tables, organisations_table

        print(as_text(organisations_table(answer["status"])))
        print(as_text(division_tables(answer["division"], answer["past"])))
    reason = answer.get("reason") or answer.get("error")
    if reason:
        print(f"runcourse: {result}: {reason}", file=sys.stderr)
    return EXIT_CODES.get(result, EXIT_UNREACHABLE)


def _watch(host: str, port: int, seconds: float) -> int:
    """Shows the state of the organisations until all targets are reached or the time is over.

    Returns the exit code.
    """
    from rich.live import Live

    from .tables import organisations_table

    deadline = time.monotonic() + seconds
    with Live(refresh_per_second=WATCH_REFRESHES_PER_S) as live:
        while time.monotonic() < deadline:
            try:
                answer = _ask_leader(host, port, {"action": "show"})
            except (OSError, msgspec.DecodeError):
                # Another controller soon takes over from a leader that stopped.
                time.sleep(WATCH_INTERVAL_S)
                continue
            if answer.get("result") == "refused":
                return _print_answer(answer, as_json=False)
            if answer.get("status"):
                live.update(organisations_table(answer["status"]))
                if answer["status"]["converged"]:
                    return 0
            time.sleep(WATCH_INTERVAL_S)
    print(f"runcourse: the targets were not reached within {seconds:g} s", file=sys.stderr)
    return EXIT_REFUSED
