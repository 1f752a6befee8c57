"""Checkers: what must hold, judged only by what callers and back ends saw."""
