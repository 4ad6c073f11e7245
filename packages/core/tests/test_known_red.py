"""The list of tests that are known to fail."""

import pytest
from known_red import ENTRIES_MAX, FILE_NAME, KnownRed, read_known_red
from pytest import LineMatcher

pytest_plugins = ["pytester"]

LINE = "test_a.py::test_red | the fault | issue 7"
INI = """
[pytest]
testpaths = .
asyncio_default_fixture_loop_scope = function
"""
CONFTEST = """
from known_red import pytest_collection_modifyitems, pytest_terminal_summary
"""
TESTS = """
def test_green():
    assert True

def test_red():
    assert {red}
"""


@pytest.mark.parametrize("text", ["", "\n\n", None])
def test_no_entry(tmp_path, text):
    path = tmp_path / FILE_NAME
    if text is not None:
        path.write_text(text)
    assert read_known_red(path) == []


def test_entries(tmp_path):
    path = tmp_path / FILE_NAME
    path.write_text(f"{LINE}\n\nb.py::test_x[a|b] | why | issue 8\n")
    assert read_known_red(path) == [
        KnownRed("test_a.py::test_red", "the fault", "issue 7"),
        KnownRed("b.py::test_x[a|b]", "why", "issue 8"),
    ]


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["a.py::test_x"], "is not: test id | cause | issue"),
        (["a.py::test_x | why"], "is not: test id | cause | issue"),
        (["a.py::test_x |  | issue 7"], "is not: test id | cause | issue"),
        (["a | b | c | d"], "is not: test id | cause | issue"),
        ([LINE, LINE], "names a test twice"),
        ([f"{LINE}{n}" for n in range(ENTRIES_MAX + 1)], "4 lines; 3 are allowed"),
    ],
)
def test_a_list_out_of_form_fails_the_run(tmp_path, lines, message):
    path = tmp_path / FILE_NAME
    path.write_text("\n".join(lines))
    with pytest.raises(pytest.UsageError) as caught:
        read_known_red(path)
    assert message in str(caught.value)


@pytest.mark.parametrize(
    ("red", "lines", "exit_code", "shown"),
    [
        (False, LINE, pytest.ExitCode.OK, ["*1 known red tests*", LINE]),
        (True, LINE, pytest.ExitCode.TESTS_FAILED, ["*XPASS(strict)*", LINE]),
        (False, "", pytest.ExitCode.TESTS_FAILED, ["*1 failed, 1 passed*"]),
        (
            False,
            LINE.replace("red", "gone"),
            pytest.ExitCode.USAGE_ERROR,
            ["*there is no test test_a.py::test_gone*"],
        ),
    ],
)
def test_a_run(pytester, red, lines, exit_code, shown):
    """A listed test that fails lets the run pass, and is printed.

    One that passes, or is not there, fails the run, so that the list stays true. A
    test that is not listed fails it as ever.
    """
    pytester.makeini(INI)
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_a=TESTS.format(red=red))
    (pytester.path / FILE_NAME).write_text(lines)
    result = pytester.runpytest_inprocess()
    assert result.ret == exit_code
    output = result.outlines + result.errlines
    LineMatcher(output).fnmatch_lines_random(shown)


@pytest.mark.parametrize(
    ("cases", "exit_code", "shown"),
    [
        ("False, False", pytest.ExitCode.OK, ["*2 xfailed*"]),
        ("False, True", pytest.ExitCode.TESTS_FAILED, ["*XPASS(strict)*"]),
    ],
    ids=["all fail", "one passes"],
)
def test_an_entry_for_a_table_stands_for_all_its_cases(
    pytester, cases, exit_code, shown
):
    pytester.makeini(INI)
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(
        test_a=f"""
            import pytest

            @pytest.mark.parametrize("good", [{cases}])
            def test_red(good):
                assert good
            """
    )
    (pytester.path / FILE_NAME).write_text(LINE)
    result = pytester.runpytest_inprocess()
    assert result.ret == exit_code
    LineMatcher(result.outlines).fnmatch_lines_random(shown)
