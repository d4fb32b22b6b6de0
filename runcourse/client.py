"""The client commands: submit, status, cancel. Exit code 0 only for an answered request."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from pathlib import Path
from typing import Any

import msgspec

from .config import parse_address
from .errors import SettingsError
from .net.http import Client, NotSent, Unanswered
from .wire import codec
from .wire.peer_messages import OperatorQuestion

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


def run_client(command: str, api: str, what: str) -> int:
    """Send one request of a user and print the answer; returns the exit code."""
    try:
        host, port = parse_address(api, "--api")
        method, target, body = _request(command, what)
    except (SettingsError, OSError, msgspec.DecodeError) as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    try:
        status, answer = asyncio.run(_send(host, port, method, target, body))
    except (NotSent, Unanswered) as problem:
        print(f"runcourse: no answer: {problem}", file=sys.stderr)
        return EXIT_UNREACHABLE
    try:
        print(json.dumps(codec.decode_map(answer) if answer else {}))
    except codec.Malformed as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_REFUSED
    if status not in (200, 201):
        print(f"runcourse: refused with status {status}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


def _request(command: str, what: str) -> tuple[str, str, Any]:
    if command == "submit":
        text = sys.stdin.read() if what == "-" else Path(what).read_text(encoding="utf-8")
        return "POST", "/v1/jobs", msgspec.json.decode(text)
    if command == "cancel":
        return "POST", f"/v1/jobs/{what}/withdraw", {}
    return "GET", f"/v1/jobs/{what}", None


def ask(host: str, port: int, question: OperatorQuestion) -> dict[str, Any]:
    """Ask a controller's internal address; one JSON line each way."""
    with socket.create_connection((host, port), timeout=5.0) as link:
        link.sendall(msgspec.json.encode(question) + b"\n")
        with link.makefile("rb") as answer:
            return msgspec.json.decode(answer.readline(), type=dict[str, Any])


def _ask_or_report(internal: str, question: str) -> dict[str, Any] | int:
    """The answer, or the exit code after the reason was printed."""
    try:
        return ask(*parse_address(internal, "--internal"), OperatorQuestion(question))
    except SettingsError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except (OSError, msgspec.DecodeError) as problem:
        print(f"runcourse: no answer: {problem}", file=sys.stderr)
        return EXIT_UNREACHABLE


def run_inspect(internal: str, as_json: bool) -> int:
    """Print a controller's view of the service; returns the exit code."""
    status = _ask_or_report(internal, "status")
    if isinstance(status, int):
        return status
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        from .tables import render

        print(render(status))
    return 0


def run_reload(internal: str) -> int:
    """Have a controller read its locality file again; returns the exit code."""
    answer = _ask_or_report(internal, "reload")
    if isinstance(answer, int):
        return answer
    if "error" in answer:
        print(f"runcourse: {answer['error']}", file=sys.stderr)
        return EXIT_REFUSED
    print(f"reloaded {answer['reloaded']}")
    return 0


async def _send(host: str, port: int, method: str, target: str, body: Any) -> tuple[int, bytes]:
    client = Client(host, port, limit=1, connect_s=3.0)
    try:
        return await client.request(
            method, target, codec.encode(body) if body is not None else None, 10.0
        )
    finally:
        client.close()
