"""The commands of `division`: show, preview, apply, rollback, watch."""

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

WATCH_EVERY_S = 1.0
EXITS = {"ok": 0, "refused": EXIT_REFUSED}  # any other result: no answer that settles it
SCHEMA = {
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
                "additionalProperties": False,  # teams don't change with a division
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
    """The limits in a file, or on standard input; raises `SettingsError`."""
    from jsonschema import Draft202012Validator

    text = sys.stdin.read() if source == "-" else Path(source).read_text(encoding="utf-8")
    try:
        division = json.loads(text, parse_constant=_not_a_number)
    except ValueError as problem:
        raise SettingsError(f"{source}: file: not JSON: {problem}") from problem
    faults = Draft202012Validator(SCHEMA).iter_errors(division)
    fault = min(faults, key=lambda fault: fault.json_path, default=None)
    if fault is not None:
        field = fault.json_path.removeprefix("$").removeprefix(".") or "file"
        raise SettingsError(f"{source}: {field}: {fault.message}")
    limits: list[dict[str, Any]] = division["organisations"]
    return limits


def _not_a_number(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def run_division(args: argparse.Namespace) -> int:
    """Run one of the commands; returns the exit code."""
    try:
        host, port = parse_address(args.internal, "--internal")
        if args.action == "watch":
            return _watch(host, port, args.seconds)
        answer = _ask_leader(host, port, _call(args))
    except (SettingsError, OSError, UnicodeDecodeError) as problem:
        if isinstance(problem, ConnectionError | TimeoutError):
            return _no_answer(problem)
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except msgspec.DecodeError as problem:
        return _no_answer(problem)
    return _tell(answer, args.json)


def _no_answer(problem: Exception) -> int:
    print(f"runcourse: no answer: {problem}", file=sys.stderr)
    return EXIT_UNREACHABLE


def _call(args: argparse.Namespace) -> dict[str, Any]:
    """The request of the command line."""
    call: dict[str, Any] = {"action": args.action}
    if args.action in ("preview", "apply"):
        call["limits"] = read_division(args.file)
    if args.action in ("apply", "rollback"):
        call |= {
            "expect": args.expect,
            "author": args.author or getpass.getuser(),
            "note": args.note,
            "at": datetime.now(UTC).isoformat(timespec="seconds"),
        }
    return call


def _ask(host: str, port: int, call: dict[str, Any]) -> dict[str, Any]:
    return ask(host, port, OperatorQuestion("division", call))


def _ask_leader(host: str, port: int, call: dict[str, Any]) -> dict[str, Any]:
    """The answer of the controller named; how the organisations fare only the leader knows."""
    answer = _ask(host, port, call)
    leader = answer.get("leader_addr")
    looking = call["action"] in ("show", "preview")
    if looking and answer.get("result") == "ok" and leader and leader != f"{host}:{port}":
        try:
            return _ask(*parse_address(leader, "leader"), call)
        except (OSError, msgspec.DecodeError, SettingsError):
            return answer  # it is out of reach from here, or has just ended
    return answer


def _tell(answer: dict[str, Any], as_json: bool) -> int:
    """Print an answer; returns the exit code."""
    result = answer.get("result", "unknown")
    if as_json:
        print(json.dumps(answer, indent=1))
    elif answer.get("targets"):
        for name, cpus in sorted(answer["targets"].items()):
            print(f"{name}: {cpus:g} CPUs")
    elif answer.get("division"):
        from .tables import as_text, divisions, organisations

        print(as_text(organisations(answer["status"])))
        print(as_text(divisions(answer["division"], answer["past"])))
    reason = answer.get("reason") or answer.get("error")
    if reason:
        print(f"runcourse: {result}: {reason}", file=sys.stderr)
    return EXITS.get(result, EXIT_UNREACHABLE)


def _watch(host: str, port: int, seconds: float) -> int:
    """Show the leader's view until the division is reached, or time is out."""
    from rich.live import Live

    from .tables import organisations

    end = time.monotonic() + seconds
    with Live(refresh_per_second=2) as live:
        while time.monotonic() < end:
            try:
                answer = _ask_leader(host, port, {"action": "show"})
            except (OSError, msgspec.DecodeError):
                time.sleep(WATCH_EVERY_S)  # a leader that ended has a follower soon
                continue
            if answer.get("result") == "refused":
                return _tell(answer, as_json=False)
            if answer.get("status"):
                live.update(organisations(answer["status"]))
                if answer["status"]["converged"]:
                    return 0
            time.sleep(WATCH_EVERY_S)
    print("runcourse: not reached in time", file=sys.stderr)
    return EXIT_REFUSED
