"""The file of the locality policy: read at the start and again while serving.

The package and its libraries are imported only once a file is named.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .config import Platform
from .core.policy import PlacementPolicy


class PolicyFile:
    """Where the settings are, and the policy made of them."""

    def __init__(self, path: Path, platform: Platform) -> None:
        self.path = path
        self.platform = platform
        self.settings = self.load()

    def load(self) -> Any:
        """The settings as the file has them now; raises `SettingsError`."""
        from .locality.settings import load_locality

        return load_locality(self.path, self.platform)

    def create_policy(self) -> PlacementPolicy:
        """The policy, with the settings that were read first."""
        from .locality.policy import LocalityPolicy

        guarantees = {team.name: team.cpus for team in self.platform.settings.teams}
        return LocalityPolicy(self.settings, guarantees)
