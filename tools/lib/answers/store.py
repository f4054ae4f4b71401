"""A store of the platform whose answers can be broken."""

import json

from soak.store import Store

from .cases import Answer, encode

# Named only in broken answers.
LATER_ERA = 9


class BrokenStore(Store):
    def __init__(self, world):
        super().__init__(world)
        # How answers are broken (arguments of cases.encode), or None. A broken answer tells of a
        # later era and an empty store.
        self.broken = None

    def encode(self, status, document):
        if self.broken is None:
            return super().encode(status, document)
        empty = {"items": [], "events": [], "has-more": False, "as-of": self.revision + 1000}
        fields = [("Content-Type", "application/json"), ("Store-Era", LATER_ERA)]
        return encode(Answer(fields, json.dumps(empty).encode()), **self.broken)
