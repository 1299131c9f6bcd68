"""Registry of the experiments."""

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

ExperimentType = type[Experiment]

EXPERIMENT_TYPES: Final[tuple[ExperimentType, ...]] = (
    FairnessExperiment,
    DataCentreExperiment,
    ColdStartExperiment,
    OwnerLossExperiment,
    AffinityExperiment,
    VersionMoveExperiment,
)
EXPERIMENTS: Final = MappingProxyType(
    {
        experiment_type.name: experiment_type
        for experiment_type in EXPERIMENT_TYPES
    }
)


def make_experiment(name: str) -> Experiment:
    """Return a new experiment; raises `KeyError` for an unknown name."""
    return EXPERIMENTS[name]()
