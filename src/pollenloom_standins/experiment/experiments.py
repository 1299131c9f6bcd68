"""All experiments by name."""

from types import MappingProxyType
from typing import Final

from pollenloom_standins.experiment.affinity_experiment import (
    AffinityExperiment,
)
from pollenloom_standins.experiment.cold_start_experiment import (
    ColdStartExperiment,
)
from pollenloom_standins.experiment.data_centre_experiment import (
    DataCentreExperiment,
)
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.fairness_experiment import (
    FairnessExperiment,
)
from pollenloom_standins.experiment.owner_loss_experiment import (
    OwnerLossExperiment,
)
from pollenloom_standins.experiment.version_move_experiment import (
    VersionMoveExperiment,
)

ExperimentKind = type[Experiment]

KINDS: Final[tuple[ExperimentKind, ...]] = (
    FairnessExperiment,
    DataCentreExperiment,
    ColdStartExperiment,
    OwnerLossExperiment,
    AffinityExperiment,
    VersionMoveExperiment,
)
EXPERIMENTS: Final = MappingProxyType({kind.name: kind for kind in KINDS})


def make_experiment(name: str) -> Experiment:
    """Return an experiment."""
    return EXPERIMENTS[name]()
