"""Model answers through pipelines of backend servers."""

from concurrent import futures

import program


def test_complete_answer_ran_every_layer_once_in_order(shared_fleet):
    """Proves: every layer runs once, in order, for every token."""
    answer = shared_fleet.complete([5, 6, 7], 20)
    tokens = program.answer_tokens(answer)
    assert tokens == program.expected_tokens([5, 6, 7], 20)


def test_streamed_answer_equals_unstreamed_answer(shared_fleet):
    answer = shared_fleet.complete([9, 9], 12, stream=True)
    tokens = program.streamed_tokens(answer.data)
    assert tokens == program.expected_tokens([9, 9], 12)


def test_two_hundred_concurrent_answers_are_not_mixed_up(shared_fleet):
    """Proves: each caller gets the complete answer to its own request."""

    def ask(number):
        prompt = [number, number * 7]
        count = 5 + number % 40
        entry = shared_fleet.entries[number % 2]
        return prompt, count, shared_fleet.complete(prompt, count, entry)

    with futures.ThreadPoolExecutor(200) as pool:
        answers = list(pool.map(ask, range(200)))
    for prompt, count, answer in answers:
        tokens = program.answer_tokens(answer)
        assert tokens == program.expected_tokens(prompt, count)
