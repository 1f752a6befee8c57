"""Steps for operators who write concurrently, on a platform in memory."""

from pathlib import Path

import msgspec
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from sloepond.cli.configuration_update import load_declared, set_backend_state
from sloepond.cli.exit_codes import REFUSED
from sloepond.cli.failures import CommandFailure
from sloepond.cli.platform_access import Written
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import Backend, BackendState

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "accra"


class RacingPlatform:
    """Answers reads and writes; another operator writes after a given number of reads."""

    def __init__(self, resources, reads_before_race):
        self.snapshot = make_snapshot(1, list(resources))
        self.reads_before_race = reads_before_race
        self.other = None

    def read(self):
        snapshot = self.snapshot
        self.reads_before_race -= 1
        if self.reads_before_race == 0:
            self.other_operator_writes()
        return snapshot

    def other_operator_writes(self):
        changed = [with_weight(resource, "playback-1", 7) for resource in self.snapshot.resources]
        self.snapshot = make_snapshot(self.snapshot.generation + 1, changed)
        self.other = self.snapshot

    def write(self, resources, base_generation):
        if base_generation != self.snapshot.generation:
            return CommandFailure(REFUSED, "the configuration has changed meanwhile")
        self.snapshot = make_snapshot(self.snapshot.generation + 1, list(resources))
        return Written(self.snapshot.generation, self.snapshot.digest)


def with_weight(resource, name, weight):
    if not isinstance(resource, Backend) or resource.metadata.name != name:
        return resource
    return msgspec.structs.replace(resource, spec=msgspec.structs.replace(resource.spec, weight=weight))


def weight_of(snapshot, name):
    return next(r.spec.weight for r in snapshot.resources if r.metadata.name == name)


@then("for any cli drain a concurrent write after its read is not overwritten")
def write_is_not_overwritten(_):
    resources = load_declared([EXAMPLE])

    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @given(st.integers(1, 3), st.sampled_from(["playback-2", "archive-1"]))
    def check(reads_before_race, drained):
        platform = RacingPlatform(resources, reads_before_race)
        result = set_backend_state(platform, drained, BackendState.DRAINING)
        if platform.other is not None:
            assert weight_of(platform.snapshot, "playback-1") == 7
            assert isinstance(result, CommandFailure)
            assert result.exit_code == REFUSED

    check()
