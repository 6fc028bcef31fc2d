from chivespan.errors import ANSWERS, ErrorKind
from tools.errortable import MEANINGS, PAGE, with_table


def test_every_error_kind_has_an_answer_and_a_meaning() -> None:
    assert set(ANSWERS) == set(MEANINGS) == set(ErrorKind)


def test_the_table_of_errors_is_current() -> None:
    page = PAGE.read_text()
    assert with_table(page) == page
