"""Sizes of prompts that are served apart."""

from enum import Enum, unique


@unique
class PromptSize(Enum):
    """Whether reading a prompt holds others up."""

    SHORT = 'short'
    LONG = 'long'
