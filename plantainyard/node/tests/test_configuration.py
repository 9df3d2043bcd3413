from plantainyard.node import ConfigView, knows_newest
from plantainyard.settings import Secret, Settings
from plantainyard.settings.model import Instance, Platform, Security

SETTINGS = Settings(
    Instance("i", "r", "d", "", ""), Platform("", ""), Security(Secret("t"))
)


def test_instance_that_reads_nothing_does_not_know_that_it_is_current():
    # In an outage of the log every instance says that it knows its configuration to be
    # the newest, 47 s after the last read: nothing newer was heard of.
    view = ConfigView(3, 4, {}, {}, (), 1.0, True)
    assert knows_newest(SETTINGS, view)
    assert not knows_newest(SETTINGS, view._replace(age_s=47.0))
