"""Tests the `division` commands against a real controller on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from pathlib import Path
from typing import Any

import pytest
from standins import SETTINGS, Standins

from runcourse.cli import main
from runcourse.config import Operators, load_platform
from runcourse.daemon import Daemon
from runcourse.entitlements.policy import Entitlements
from runcourse.entitlements.settings import load_entitlements

ENTITLEMENTS = '(entitlements (pool 64) (organisation (name "only") (teams "crew-0") (minimum 8)))'


def write_division_file(tmp_path: Path, **limits: Any) -> str:
    """Writes a division of one organisation with these limits and returns the file's path."""
    path = tmp_path / "division.json"
    path.write_text(json.dumps({"organisations": [{"name": "only", **limits}]}))
    return str(path)


def run_commands(
    tmp_path: Path, commands: list[list[str]], with_entitlements: bool = True
) -> list[int]:
    """Runs command lines one after the other against a controller; returns their exit codes."""

    async def run() -> list[int]:
        standins = Standins()
        settings = tmp_path / "settings.toml"
        settings.write_text(await standins.start(), encoding="utf-8")
        platform = load_platform(settings)
        policy = None
        if with_entitlements:
            file = tmp_path / "entitlements.sexp"
            file.write_text(ENTITLEMENTS, encoding="utf-8")
            policy = Entitlements(load_entitlements(file, platform))
        daemon = Daemon(platform, Operators(), random.Random(1), entitlements=policy)
        serving = asyncio.create_task(daemon.run())
        try:
            await asyncio.sleep(1.5)
            address = f"127.0.0.1:{standins.internal}"
            return [
                await asyncio.to_thread(main, [*command, "--internal", address])
                for command in commands
            ]
        finally:
            serving.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await serving
            await daemon.close()
            await standins.stop()

    return asyncio.run(run())


def test_division_is_applied_rolled_back_and_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    division_file = write_division_file(tmp_path, minimum=16, weight=2)
    author = ["--author", "ops"]
    codes = run_commands(
        tmp_path,
        [
            ["division", "apply", division_file, "--expect", "0", "--note", "release", *author],
            ["division", "apply", division_file, "--expect", "7", *author],
            ["division", "rollback", "--expect", "1", *author],
            ["division", "show", "--json"],
            ["division", "watch", "--seconds", "5"],
            ["inspect"],
        ],
    )
    assert codes == [0, 1, 0, 0, 0, 0]
    out, err = capsys.readouterr()
    assert "expected 7, but version 1 is in force (made by ops: release)" in err
    assert "division 2 (reached)" in out, "inspect shows the organisations"
    shown = json.loads(out[out.index('{\n "request"') :].split("\n}\n")[0] + "\n}")
    assert shown["division"]["version"] == 2 and shown["division"]["note"].startswith("rollback")
    assert [former["version"] for former in shown["past"]] == [1, 0]
    assert shown["status"]["organisations"][0]["shares"] == [0]


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "not JSON"),
        ('{"organisations": [{"name": "only", "weight": NaN}]}', "NaN is not a number"),
        ('{"organisations": [{"name": "only", "weight": -1}]}', "organisations[0].weight"),
        ('{"organisations": [{"name": "only", "weight": "2"}]}', "organisations[0].weight"),
        ('{"organisations": [{"name": "only", "teams": ["x"]}]}', "organisations[0]"),
        ('{"organisations": []}', "organisations"),
        ("{}", "'organisations' is a required property"),
    ],
)
def test_invalid_division_file_is_refused_before_any_controller_is_contacted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, reason: str
) -> None:
    path = tmp_path / "division.json"
    path.write_text(text)
    command = ["division", "apply", str(path), "--expect", "0", "--internal", "127.0.0.1:1"]
    assert main(command) == 2
    assert reason in capsys.readouterr().err


def test_check_config_reports_error_in_entitlements_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(api=1, internal=2, cloud=3, state=4), encoding="utf-8")
    file = tmp_path / "entitlements.sexp"
    command = ["check-config", "--config", str(settings), "--entitlements", str(file)]
    file.write_text(ENTITLEMENTS, encoding="utf-8")
    assert main(command) == 0
    file.write_text(ENTITLEMENTS.replace("(pool 64)", "(pool 4)"), encoding="utf-8")
    assert main(command) == 2
    assert "entitlements.sexp: pool: less than the minima of 8 CPUs" in capsys.readouterr().err


def test_show_fails_without_a_controller_or_without_an_entitlements_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["division", "show", "--internal", "127.0.0.1:1"]) == 3
    assert run_commands(tmp_path, [["division", "show"]], with_entitlements=False) == [1]
    assert "no entitlements file was named" in capsys.readouterr().err
