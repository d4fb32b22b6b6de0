"""Tests the locality file: valid and invalid settings, the reported errors, and reloading."""

import asyncio
import os
import random
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import msgspec
import pytest
from standins import Standins
from test_config import VALID_SETTINGS
from world import platform

from runcourse.cli import main
from runcourse.client import run_inspect, run_reload
from runcourse.config import Operators, load_platform
from runcourse.daemon import Daemon
from runcourse.errors import SettingsError
from runcourse.locality.settings import load_locality
from runcourse.policy_file import PolicyFile

ROOT = Path(__file__).resolve().parent.parent
SOURCE = '(source (name "p") (zones "a" "b") (teams "team-0") (read-gb 4) (local-rate 1.0)'
VALID_FILE = f"(locality (weight 2.5) (dry-run true) {SOURCE} (remote-rate 0.1)))"


def write_file(folder: Path, text: str) -> Path:
    path = folder / "locality.sexp"
    path.write_text(text, encoding="utf-8")
    return path


def test_valid_file_is_read_with_defaults(tmp_path: Path) -> None:
    settings = load_locality(write_file(tmp_path, VALID_FILE), platform("n0"))
    assert settings.weight == 2.5 and settings.dry_run and settings.rebalance
    (source,) = settings.sources
    assert source.zones == ("a", "b") and source.read_gb == 4 and source.classes == ()


def test_shipped_file_is_valid() -> None:
    shipped = Path(__file__).resolve().parent.parent / "deploy" / "locality.sexp"
    assert not load_locality(shipped, platform("n0")).sources


@pytest.mark.parametrize(
    ("text", "field", "reason"),
    [
        ("(locality", "file", "not an S-expression"),
        ("(other (weight 1))", "file", "expected (locality"),
        ("(locality (wait 1))", "wait", "unknown setting"),
        ("(locality (weight 1) (weight 2))", "weight", "given twice"),
        ("(locality (weight -1))", "weight", "Expected `float` >= 0"),
        ("(locality (dry-run maybe))", "dry_run", "Expected `bool`"),
        ("(locality (hot 0.5) (cool 0.6))", "cool", "less than hot"),
        ("(locality (cooldown 900) (cooldown-most 300))", "cooldown", "must not exceed"),
        ("(locality (source))", "locality", "expected (name value)"),
        (f"(locality {SOURCE}))", "source[0]", "remote-rate"),
        (f"(locality {SOURCE} (remote-rate 0)))", "source[0].remote-rate", "> 0"),
        (f"(locality {SOURCE} (remote-rate 1) (read-gb 2)))", "source[0].read-gb", "given twice"),
        (VALID_FILE.replace("(read-gb 4)", "(read-gb -4)"), "source[0].read-gb", ">= 0"),
        (VALID_FILE.replace('"b"', '"z"'), "source[0].zones", "unknown zone 'z'"),
        (VALID_FILE.replace('"b"', '"a"'), "source[0].zones", "'a' is listed twice"),
        (VALID_FILE.replace('"team-0"', '"team-9"'), "source[0].teams", "unknown team 'team-9'"),
        (VALID_FILE.replace('"team-0"', '"team-0" "team-0"'), "source[0].teams", "listed twice"),
        (VALID_FILE.replace('(teams "team-0")', ""), "source[0].teams", "nobody reads it"),
        (
            f"(locality {SOURCE} (remote-rate 1)) {SOURCE} (remote-rate 1)))",
            "source",
            "given twice",
        ),
    ],
)
def test_error_in_a_file_names_file_field_and_reason(
    tmp_path: Path, text: str, field: str, reason: str
) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_locality(path, platform("n0"))
    message = str(caught.value)
    assert message.startswith(f"{path}: ") and reason in message
    assert field.replace("-", "_") in message.replace("-", "_")


def test_check_config_reports_an_invalid_locality_file(tmp_path: Path, capsys: Any) -> None:
    config = tmp_path / "s.toml"
    config.write_text(VALID_SETTINGS, encoding="utf-8")
    command = ["check-config", "--config", str(config), "--locality"]
    assert main([*command, str(write_file(tmp_path, "(locality (weight 1))"))]) == 0
    assert main([*command, str(write_file(tmp_path, "(locality (weight x))"))]) == 2
    assert "locality.sexp: weight:" in capsys.readouterr().err


def test_invalid_new_file_leaves_the_old_settings_in_force(tmp_path: Path) -> None:
    path = write_file(tmp_path, VALID_FILE)
    file = PolicyFile(path, platform("n0"))
    policy = file.create_policy()
    write_file(tmp_path, VALID_FILE.replace("2.5", "nothing"))
    with pytest.raises(SettingsError):
        file.load()
    assert policy.active and msgspec.structs.asdict(file.settings)["weight"] == 2.5


def test_running_controller_reloads_the_file(tmp_path: Path) -> None:
    path = write_file(tmp_path, VALID_FILE.replace("team-0", "crew-0"))

    async def main() -> None:
        standins = Standins()
        config = tmp_path / "settings.toml"
        config.write_text(await standins.start(), encoding="utf-8")
        settings = load_platform(config)
        file = PolicyFile(path, settings)
        daemon = Daemon(settings, Operators(), random.Random(1), file)
        running = asyncio.create_task(daemon.run())
        policy: Any = daemon.node.policy
        try:
            async with asyncio.timeout(10):
                while not daemon.node.fleet.types:  # then it serves and handles signals
                    await asyncio.sleep(0.02)
                path.write_text("(locality (weight 0.5))", encoding="utf-8")
                if threading.current_thread() is threading.main_thread():
                    os.kill(os.getpid(), signal.SIGHUP)
                else:  # only the main thread handles signals
                    daemon.reload()
                while policy.settings.weight != 0.5:
                    await asyncio.sleep(0.02)
            internal = f"127.0.0.1:{standins.internal}"
            path.write_text("(locality (weight x))", encoding="utf-8")
            assert await asyncio.to_thread(run_reload, internal) == 1
            assert policy.settings.weight == 0.5, "the old settings stay"
            path.write_text("(locality (weight 3))", encoding="utf-8")
            assert await asyncio.to_thread(run_reload, internal) == 0
            assert policy.settings.weight == 3.0
            assert await asyncio.to_thread(run_inspect, internal, False) == 0
        finally:
            running.cancel()
            await daemon.close()
            await standins.stop()

    asyncio.run(main())


def test_reload_without_a_file_returns_an_error(tmp_path: Path) -> None:
    async def main() -> None:
        standins = Standins()
        config = tmp_path / "settings.toml"
        config.write_text(await standins.start(), encoding="utf-8")
        daemon = Daemon(load_platform(config), Operators(), random.Random(1))
        assert "no policy file" in daemon.reload()["error"]
        await standins.stop()

    asyncio.run(main())


def test_locality_modules_are_not_imported_without_a_file() -> None:
    code = (
        "import runcourse.daemon, sys;"
        "print([m for m in sys.modules if 'ddsketch' in m or 'locality' in m])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    assert completed.stdout.strip() == "[]"
