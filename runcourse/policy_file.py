"""The locality settings file, which is read at the start and again on each reload.

The locality package and its libraries are imported only if such a file is given.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .config import Platform
from .core.placement_policy import PlacementPolicy


class PolicyFile:
    """The path of the locality settings, their initial values and the policy that uses them."""

    def __init__(self, path: Path, platform: Platform) -> None:
        self.path = path
        self.platform = platform
        self.settings = self.load()

    def load(self) -> Any:
        """Reads and returns the current settings from the file; raises `SettingsError`."""
        from .locality.settings import load_locality

        return load_locality(self.path, self.platform)

    def create_policy(self) -> PlacementPolicy:
        """Returns a policy with the settings that were read at the start."""
        from .locality.policy import LocalityPolicy

        guarantees = {team.name: team.cpus for team in self.platform.settings.teams}
        return LocalityPolicy(self.settings, guarantees)
