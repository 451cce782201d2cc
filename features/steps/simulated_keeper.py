"""One member's configuration with the messages and records that reach it."""

import random

from simulated_group import digest_of, text_of

from banyanshelf_core.configuration import ConfigurationKeeper
from banyanshelf_core.messages import ConfigFetch, ConfigNotice, ConfigText
from banyanshelf_core.model import Send


class SimulatedKeeper:
    """A keeper; senders are named by letters."""

    def __init__(self, *peers):
        self.now = 100.0
        self.keeper = ConfigurationKeeper(random.Random(1))
        self.effects = self.keeper.set_peers(peers, self.now)

    def wait(self, seconds):
        self.now += seconds
        self.effects = self.keeper.tick(self.now)

    def _receive(self, sender, message):
        self.effects = self.keeper.receive(sender, message, self.now)

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
        self.effects = self.keeper.store_text(*text, self.now)

    def store_empty(self):
        self.effects = self.keeper.store_empty(self.now)

    def _receivers(self, message_class):
        return [
            each.to
            for each in self.effects
            if isinstance(each, Send) and isinstance(each.message, message_class)
        ]

    def has(self, version):
        assert self.keeper.version == version, self.keeper.version
        assert self.keeper.digest == (digest_of(version) if version else "")

    def asks(self, name):
        assert self._receivers(ConfigFetch) == [name], self.effects

    def notifies(self, count):
        assert len(set(self._receivers(ConfigNotice))) == count, self.effects

    def answers(self, name, version):
        notice = ConfigNotice(version, digest_of(version))
        assert self.effects == [Send(name, notice)], self.effects

    def remembers(self, name, version):
        assert self.keeper.offers[version][name] == digest_of(version)
