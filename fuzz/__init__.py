"""Stateful fuzzing of the decision core against simple oracles."""
