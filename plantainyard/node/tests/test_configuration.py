from plantainyard.node import ConfigView, knows_newest
from plantainyard.settings import Secret, Settings
from plantainyard.settings.model import Instance, Platform, Security

SETTINGS = Settings(
    Instance("i", "r", "d", "", ""), Platform("", ""), Security(Secret("t"))
)


def test_instance_that_reads_nothing_does_not_know_that_it_is_current():
    # Guards against a false report in an outage of the log: instances that see no newer
    # change claim to know the newest configuration, 47 s after the last read.
    view = ConfigView(3, 4, {}, {}, (), 1.0, True)
    assert knows_newest(SETTINGS, view)
    assert not knows_newest(SETTINGS, view._replace(age_s=47.0))
