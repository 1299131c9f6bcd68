"""Micro-kernel: services found by name, life cycle and supervised tasks."""
