"""Settings of the engine stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speed and prefix cache of an engine.

    Attributes:
        token_seconds: Time of one token at zero load.
        prefill_token_seconds: Time of one uncached prompt token.
        cache_blocks: Number of prefixes that the cache can hold.
        cache_event_lag_seconds: Age from which cache events are reported.
        cache_event_loss: Fraction of cache events that are lost.
    """

    token_seconds: float = 0.01
    prefill_token_seconds: float = 0.0002
    cache_blocks: int = 1024
    cache_event_lag_seconds: float = 1
    cache_event_loss: float = 0
