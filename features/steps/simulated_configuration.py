"""Configuration of one member, with the messages and store records that it receives."""

import random

from simulated_group import digest_of, text_of

from banyanshelf_core.configuration import ConfigurationTracker
from banyanshelf_core.messages import ConfigFetch, ConfigNotice, ConfigText
from banyanshelf_core.model import Send


class SimulatedConfiguration:
    """A ``ConfigurationTracker``; its peers are named by letters."""

    def __init__(self, *peers):
        self.now = 100.0
        self.tracker = ConfigurationTracker(random.Random(1))
        self.effects = self.tracker.set_peers(peers, self.now)

    def wait(self, seconds):
        self.now += seconds
        self.effects = self.tracker.tick(self.now)

    def _receive(self, sender, message):
        self.effects = self.tracker.receive(sender, message, self.now)

    def notice(self, sender, version):
        self._receive(sender, ConfigNotice(version, digest_of(version)))

    def text(self, sender, version):
        text = ConfigText(version, digest_of(version), text_of(version))
        self._receive(sender, text)

    def wrong_text(self, sender, version):
        self._receive(sender, ConfigText(version, digest_of(version), text_of(0)))

    def fetch(self, sender, version):
        self._receive(sender, ConfigFetch(version))

    def stored(self, version):
        text = (version, digest_of(version), text_of(version))
        self.effects = self.tracker.on_store_text(*text, self.now)

    def store_empty(self):
        self.effects = self.tracker.on_no_newer_in_store(self.now)

    def _receivers(self, message_class):
        return [
            each.to
            for each in self.effects
            if isinstance(each, Send) and isinstance(each.message, message_class)
        ]

    def has(self, version):
        assert self.tracker.version == version, self.tracker.version
        assert self.tracker.digest == (digest_of(version) if version else "")

    def asks(self, name):
        assert self._receivers(ConfigFetch) == [name], self.effects

    def notifies(self, count):
        assert len(set(self._receivers(ConfigNotice))) == count, self.effects

    def answers(self, name, version):
        notice = ConfigNotice(version, digest_of(version))
        assert self.effects == [Send(name, notice)], self.effects

    def remembers(self, name, version):
        assert self.tracker.offers[version][name] == digest_of(version)
