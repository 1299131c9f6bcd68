"""Requests of all shapes in the parts of the grown environment."""

from tests.admission.local_fleet import RequestShape

DRAFT = RequestShape('draft', 12_000, 5_400, 380, 0.6, 12, 40)
ANSWER = RequestShape('answer', 830, 200, 290, 0.3, 10, 12)
TAG = RequestShape('tag', 2_400, 570, 22, 0.3, 2.5, 50)
# Requests of each shape in the mix, as in the grown environment.
MIX = ((DRAFT, 0.28), (ANSWER, 0.14), (TAG, 0.58))
LARGEST_TOKENS = DRAFT.prompt + 2 * DRAFT.output
