"""The settings of a host on the users' platform that come from its environment."""

import pytest

from greengagepoint.errors import SettingError
from greengagepoint_node.gateway.settings import ADMISSION_VARIABLE, read_environment


@pytest.mark.parametrize(
    ("text", "admission"), [(None, False), ("", False), ("off", False), ("on", True)]
)
def test_admission_is_off_unless_switched_on(text, admission):
    environ = {} if text is None else {ADMISSION_VARIABLE: text}
    assert read_environment(environ)["admission"] is admission


def test_another_value_of_a_switch_is_refused():
    with pytest.raises(SettingError, match="GREENGAGEPOINT_ADMISSION.*'yes'"):
        read_environment({ADMISSION_VARIABLE: "yes"})
